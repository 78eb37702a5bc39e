"""What a simulated data plane finds in place of sockets and the clock."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import trio

from wickspring.common.reconnecting_client import ReconnectingClient
from wickspring.dataplane import process
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.invariants import InvariantBrokenError
from wickspring.lab.simulation.request_path.raised_faults import RaisedFaultError
from wickspring.net import http_server


class SilentDatagrams:
    """A datagram socket on which everything is lost."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port

    def send(self, ip: str, data: bytes) -> None:
        """Lose it."""

    async def receive(self) -> tuple[bytes, str]:
        """Wait forever."""
        await trio.sleep_forever()
        raise AssertionError


class _ErrorCollector(logging.Handler):
    """Collects the errors that a data plane logs of itself."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__(logging.ERROR)
        self.errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        """Collect one; a broken invariant is raised elsewhere, and a raised fault was asked for."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, InvariantBrokenError | RaisedFaultError):
            self.errors.append(f"{record.getMessage()} {error!r}")


@contextmanager
def simulated_environment(errors: list[str]) -> Iterator[None]:
    """Have data planes built without sockets and with a virtual clock; collect their errors."""

    async def stay_disconnected(_: ReconnectingClient) -> None: ...

    handler = _ErrorCollector(errors)
    logger = logging.getLogger("wickspring")
    logger.addHandler(handler)
    try:
        with (
            mock.patch.object(http_server, "Clock", VirtualClock),
            mock.patch.object(process, "Udp", SilentDatagrams),
            mock.patch.object(ReconnectingClient, "run", stay_disconnected),
        ):
            yield
    finally:
        logger.removeHandler(handler)
