"""Periodic tasks of a control-plane node: expiry, replication of counts and heartbeats, and saving."""

from __future__ import annotations

import math

import trio

from wickspring.common import logs
from wickspring.common.config_status import QuorumContact
from wickspring.controlplane.components import Components
from wickspring.controlplane.services import Services

INTERVAL_MS = 250.0
INTERVAL_JITTER = 0.1  # share by which intervals vary
LIVENESS_INTERVAL_MS = 500.0  # between two reports of heartbeats to the other nodes
SAVE_INTERVAL_MS = 1500.0  # between two saves of the endpoints
SHORTFALL_LOG_DELAY_MS = 3000.0  # that a lack of fault tolerance must last to be logged


class ToleranceLog:
    """Logs which of the faults named in the settings the present view would not survive."""

    def __init__(self) -> None:
        self._shortfalls: list[str] = []
        self._since = math.inf  # when they were first seen; infinite once they are logged

    def update(self, now: float, shortfalls: list[str]) -> None:
        """Log shortfalls in one line once they have lasted for `SHORTFALL_LOG_DELAY_MS`."""
        if shortfalls != self._shortfalls:
            self._shortfalls = shortfalls
            self._since = now
        elif now - self._since > SHORTFALL_LOG_DELAY_MS:
            self._since = math.inf
            if shortfalls:
                logs.log_event("fault_tolerance_shortfall", missing="; ".join(shortfalls))


class Maintenance:
    """Runs the periodic tasks."""

    def __init__(self, components: Components, services: Services) -> None:
        self._components = components
        self._data_planes = services.data_planes
        self._endpoints = services.endpoints
        self._quota = services.quota
        self._view = services.view
        self._tolerance_log = ToleranceLog()
        self._announced_nodes: list[str] = []
        self._liveness_sent_at = 0.0
        self._saved_at = 0.0

    async def run(self) -> None:
        """Run all tasks again and again."""
        self._announced_nodes = self._view.reachable_nodes()
        while True:
            jitter = self._components.random.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
            await trio.sleep(INTERVAL_MS * jitter / 1000.0)
            await self._run_once(self._components.clock.now())

    async def _run_once(self, now: float) -> None:
        contact = self._components.contact.observe()
        if contact is QuorumContact.STABLE:
            self._tolerance_log.update(now, self._components.replication.tolerance_shortfalls())
        self._announce_nodes()
        self._replicate_liveness(now)
        self._quota.replicate()
        self._close_timed_out_sessions()
        await self._quota.save_data_planes()
        await self._save_endpoints(now)
        self._endpoints.expire(now, contact)

    def _announce_nodes(self) -> None:
        nodes = self._view.reachable_nodes()
        if nodes != self._announced_nodes:
            self._announced_nodes = nodes
            self._view.broadcast()

    def _replicate_liveness(self, now: float) -> None:
        due = now - self._liveness_sent_at >= LIVENESS_INTERVAL_MS
        if due and self._endpoints.replicate_liveness():
            self._liveness_sent_at = now

    def _close_timed_out_sessions(self) -> None:
        """Close sessions without a reset: their data planes may be cut off, and go on in isolation."""
        for data_plane in self._data_planes.close_timed_out():
            self._quota.data_plane_timed_out(data_plane)

    async def _save_endpoints(self, now: float) -> None:
        if now - self._saved_at >= SAVE_INTERVAL_MS and self._endpoints.needs_save:
            self._saved_at = now
            await self._endpoints.save()
