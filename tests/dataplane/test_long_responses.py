"""Responses that are longer than what is buffered: by their status, and by how long they take."""

from __future__ import annotations

from typing import Any

import h11
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.echo_exchange import EchoServer, Exchange, route_timeout
from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd

LONG = b"0123456789" * 20_000


@pytest.mark.parametrize("prefix", [PURE_PREFIX, EFFECTFUL_PREFIX])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("status", [200, 201, 207, 400, 404, 451])
def test_a_long_response_of_any_final_status_passes_whole(status: int, chunked: bool, prefix: str) -> None:
    """Guards against 502 in place of a server's long response that is no plain 200."""
    exchange = Exchange(prefix=prefix, answer=(LONG, chunked, status))
    response = exchange.play()
    assert response.status_code == status
    assert exchange.body == LONG
    assert (b"x-server-seal", b"1") in list(response.headers)
    assert len(exchange.server.requests) == 1


@pytest.mark.parametrize("status", [408, 429, 500, 503])
def test_a_long_response_that_may_not_pass_as_it_is_is_answered_502(status: int) -> None:
    """Guards against a status that promises "not executed" for a request that has run."""
    assert Exchange(prefix=EFFECTFUL_PREFIX, answer=(LONG, False, status)).play().status_code == 502


class PausingEnd:
    """The server's end of a connection: it pauses in the middle of what it sends."""

    def __init__(self, end: PeerEnd, pause_s: float) -> None:
        self._end = end
        self._pause_s = pause_s
        self._rest = b""

    def __getattr__(self, name: str) -> Any:
        return getattr(self._end, name)

    def send(self, data: bytes) -> None:
        self._end.send(data[: len(data) // 2])
        self._rest = data[len(data) // 2 :]

    async def wait_for_more(self) -> bool:
        if self._rest:
            await trio.sleep(self._pause_s)
            self._end.send(self._rest)
            self._rest = b""
        return await self._end.wait_for_more()


class PausingServer(EchoServer):
    """A server that pauses in the middle of its response."""

    pause_s = 0.0

    async def serve(self, end: PeerEnd) -> None:
        await super().serve(PausingEnd(end, self.pause_s))  # type: ignore[arg-type]


class PausedExchange(Exchange):
    """One request for a long response that pauses in its middle."""

    def __init__(self, pause_s: float, timeout_s: float, deadline_s: float, prefix: str) -> None:
        deadline = (b"X-Deadline-Ms", b"%d" % (1000.0 * deadline_s))
        super().__init__([deadline], prefix=prefix, change=route_timeout(timeout_s))
        self.server = PausingServer([], LONG, False)
        self.server.pause_s = pause_s
        self.faulty_servers = dict.fromkeys(self.faulty_servers, self.server)  # type: ignore[arg-type]
        self.is_whole = False
        self.lasted_s = 0.0

    async def client(self, number: int) -> None:
        began_at = trio.current_time()
        try:
            await super().client(number)
            self.is_whole = self.body == LONG
        except (AssertionError, h11.RemoteProtocolError):
            self.is_whole = False  # the connection has ended before the response was whole
        self.lasted_s = trio.current_time() - began_at


TOLERANCE_S = 0.3  # for connecting, and for the margin before a deadline


@pytest.mark.parametrize("prefix", [PURE_PREFIX, EFFECTFUL_PREFIX])
def test_a_long_response_may_pause_for_as_long_as_its_request_may_last(prefix: str) -> None:
    """Guards against a request that has run and is cut off by a constant, 15 s into a pause (review/4)."""
    exchange = PausedExchange(16.75, timeout_s=30.0, deadline_s=30.0, prefix=prefix)
    exchange.run()
    assert exchange.is_whole


@pytest.mark.parametrize(("timeout_s", "deadline_s"), [(2.0, 6.0), (6.0, 2.0)])
def test_a_long_response_that_stops_ends_with_the_time_of_its_request(
    timeout_s: float, deadline_s: float
) -> None:
    """Guards against a client that waits past timeout_s for a server that has fallen silent (review/6)."""
    exchange = PausedExchange(100.0, timeout_s, deadline_s, PURE_PREFIX)
    exchange.run()
    assert not exchange.is_whole
    assert exchange.lasted_s == pytest.approx(2.0, abs=TOLERANCE_S)


@settings(max_examples=25, deadline=None)
@given(pause_s=st.floats(0.0, 18.0), timeout_s=st.floats(0.5, 19.0), deadline_s=st.floats(0.5, 19.0))
def test_the_time_of_its_request_alone_bounds_a_long_response(
    pause_s: float, timeout_s: float, deadline_s: float
) -> None:
    """Guards against any other bound on a response that has begun."""
    exchange = PausedExchange(pause_s, timeout_s, deadline_s, PURE_PREFIX)
    exchange.run()
    allowed_s = min(timeout_s, deadline_s)
    if pause_s < allowed_s - TOLERANCE_S:
        assert exchange.is_whole
    assert exchange.lasted_s <= allowed_s + TOLERANCE_S
