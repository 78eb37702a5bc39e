"""Quota counts at the control plane: units added, given back and reported to the owner of each count."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from wickspring.common.connection import PeerConnection
from wickspring.common.messages import AddQuota, QuotaRefund, QuotaSpent, QuotaTotal, UsageReport
from wickspring.common.reconnecting_client import ReconnectingClient
from wickspring.dataplane.control_client.connections import ControlPlaneConnections
from wickspring.dataplane.control_client.listener import ControlListener

ADD_TIMEOUT_MS = 90.0  # for an add to be answered, beyond which the data plane decides alone
NOT_OWNER_LIMIT = -1  # limit by which nodes of earlier versions say that they do not own the count


class QuotaReplyHandler(Protocol):
    """Handles the reply to one add."""

    def on_total(self, reply: QuotaTotal, /) -> None:
        """Handle that the owner has added the unit."""

    def on_owner_moved(self) -> None:
        """Handle that the node asked does not own the count, and has not added the unit."""


@dataclass(slots=True)
class _PendingAdd:
    """An add that has not been answered yet."""

    client: ReconnectingClient
    handler: QuotaReplyHandler


class QuotaClient:
    """Has the usage of tenants counted."""

    def __init__(
        self, connections: ControlPlaneConnections, numbers: Iterator[int], listener: ControlListener
    ) -> None:
        self._connections = connections
        self._numbers = numbers
        self._listener = listener
        self._pending: dict[int, _PendingAdd] = {}

    def add(self, tenant: str, is_retry: bool, handler: QuotaReplyHandler) -> int:
        """Add a unit to a tenant's count.

        Return a number to `abandon` the add by, or 0 where the owner is not reachable.
        """
        client = self._connections.live_owner_client(tenant)
        if client is None:
            return 0
        number = next(self._numbers)
        self._pending[number] = _PendingAdd(client, handler)
        client.send(AddQuota(number, tenant, is_retry, self._connections.owners.epoch))
        return number

    def abandon(self, number: int, late_handler: QuotaReplyHandler) -> None:
        """Wait no longer for an add; a late reply goes to `late_handler`, if one comes."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.handler = late_handler

    def on_total(self, reply: QuotaTotal) -> None:
        """Pass the reply to an add on to its handler."""
        if reply.limit == NOT_OWNER_LIMIT:
            self.on_owner_moved(reply.request_number)
            return
        pending = self._pending.pop(reply.request_number, None)
        if pending is not None:
            pending.handler.on_total(reply)

    def on_owner_moved(self, number: int) -> None:
        """Tell the handler of an add that the node asked does not own the count."""
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.handler.on_owner_moved()

    def on_disconnect(self, client: ReconnectingClient) -> None:
        """Forget adds on a connection that has ended: the next one begins with a usage report."""
        lost = [number for number, pending in self._pending.items() if pending.client is client]
        for number in lost:
            del self._pending[number]

    def report_spent(self, tenant: str) -> None:
        """Report a unit that the owner has not counted, and that was forwarded all the same."""
        client = self._connections.owner_client(tenant)
        if client is not None:
            client.send(QuotaSpent(tenant))

    def refund(self, tenant: str) -> None:
        """Take back the unit of a request that has not been executed and never will be."""
        client = self._connections.owner_client(tenant)
        if client is not None:
            client.send(QuotaRefund(tenant))

    def send_usage(self, connection: PeerConnection) -> None:
        """Report all recent usage to a node, which may own counts from now on."""
        for report in self._listener.usage_reports():
            connection.send(UsageReport(report.tenant, report.windows, report.share))

    def send_usage_to_members(self) -> None:
        """Report all recent usage to all members of a new view."""
        for ip in self._connections.owners.members:
            client = self._connections.clients.get(ip)
            if client is not None and client.connection is not None:
                self.send_usage(client.connection)
