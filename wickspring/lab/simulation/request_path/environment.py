"""What a simulated data plane finds in place of sockets and the clock."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import trio

from wickspring.common.connection import ReconnectingClient
from wickspring.dataplane import process
from wickspring.lab.simulation.clock import VirtualClock
from wickspring.lab.simulation.request_path.ledger import InvariantBrokenError
from wickspring.net import host


class SilentDatagrams:
    """Stands in for the datagrams of pilots among themselves."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port

    def send(self, ip: str, data: bytes) -> None:
        """Lose it."""

    async def receive(self) -> tuple[bytes, str]:
        """Wait for ever."""
        await trio.sleep_forever()
        raise AssertionError


class _ErrorCollector(logging.Handler):
    """Keeps what the pilot logs of errors of its own."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__(logging.ERROR)
        self.errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one."""
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, InvariantBrokenError):
            self.errors.append(f"{record.getMessage()} {error!r}")


@contextmanager
def simulated_environment(errors: list[str]) -> Iterator[None]:
    """Let pilots be built without sockets and with a virtual clock."""

    async def nothing(_: ReconnectingClient) -> None: ...

    handler, logger = _ErrorCollector(errors), logging.getLogger("wickspring")
    logger.addHandler(handler)
    try:
        with (
            mock.patch.object(host, "Clock", VirtualClock),
            mock.patch.object(process, "Udp", SilentDatagrams),
            mock.patch.object(ReconnectingClient, "run", nothing),
        ):
            yield
    finally:
        logger.removeHandler(handler)
