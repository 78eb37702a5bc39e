"""Bodies of requests that come slowly: how long they may take."""

from __future__ import annotations

import h11
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.echo_exchange import Exchange, route_timeout
from wickspring.lab.emulation.local_gateway import API_KEY, HOST
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX
from wickspring.net.calls import BODY_BYTES_PER_MS, BODY_MS, MAX_BUFFERED_BODY

BUFFERED_BYTES, STREAMED_BYTES = 20_000, 200_000
PIECES = 40
SWEEP_S = 0.6  # within which a body that may take no longer is ended
TOLERANCE_S = 0.1
SHORTEST_S = BODY_MS / 1000.0  # that every body may take, whatever the deadline,
BYTES_PER_S = 1000.0 * BODY_BYTES_PER_MS  # and more by its size


class SlowBody(Exchange):
    """One request whose body comes in pieces, with a pause before each."""

    def __init__(self, size: int, pause_s: float, timeout_s: float, deadline_s: float) -> None:
        super().__init__(change=route_timeout(timeout_s))
        self.size, self.pause_s, self.deadline_s = size, pause_s, deadline_s
        self.lasted_s = 0.0
        self.status = 0  # 0: the connection ended without a response

    async def client(self, number: int) -> None:
        end = self.connect_client()
        http = h11.Connection(h11.CLIENT)
        fields = [
            ("Host", HOST),
            ("X-Key", API_KEY),
            ("X-Attempt-Id", "a1"),
            ("X-Deadline-Ms", f"{1000.0 * self.deadline_s:.0f}"),
            ("Content-Length", str(self.size)),
        ]
        end.send(http.send(h11.Request(method="POST", target=f"{EFFECTFUL_PREFIX}x", headers=fields)) or b"")
        began_at = trio.current_time()
        for _ in range(PIECES):
            await trio.sleep(self.pause_s)
            if end.received or end.ended:
                break
            end.send(http.send(h11.Data(data=b"b" * (self.size // PIECES))) or b"")
        while not end.received and await end.wait_for_more():
            pass
        self.lasted_s = trio.current_time() - began_at
        head = await end.read(len(end.received))
        self.status = int(head.split(b" ", 2)[1]) if head else 0


@pytest.mark.parametrize("size", [BUFFERED_BYTES, STREAMED_BYTES])
def test_a_body_may_take_as_long_as_its_request_may_last(size: int) -> None:
    """Guards against an upload that is cut after a constant, though it flows (review/5)."""
    exchange = SlowBody(size, 0.25, timeout_s=15.0, deadline_s=15.0)
    exchange.run()
    assert exchange.status == 200 and exchange.lasted_s > 9.9


@pytest.mark.parametrize(("timeout_s", "deadline_s"), [(4.0, 9.0), (9.0, 4.0)])
@pytest.mark.parametrize(("size", "status"), [(BUFFERED_BYTES, 408), (STREAMED_BYTES, 504)])
def test_a_body_that_takes_longer_is_answered_at_the_end_of_its_time(
    size: int, status: int, timeout_s: float, deadline_s: float
) -> None:
    """Guards against a body without a bound, and against a promise for one that has been passed on."""
    exchange = SlowBody(size, 0.25, timeout_s, deadline_s)
    exchange.run()
    assert exchange.status == status
    assert 4.0 - TOLERANCE_S <= exchange.lasted_s <= 4.0 + SWEEP_S


@pytest.mark.parametrize("size", [BUFFERED_BYTES, STREAMED_BYTES])
def test_the_time_of_a_request_runs_from_its_first_bytes(size: int) -> None:
    """Guards against a client that has no answer by its deadline, since its body came slowly."""
    exchange = SlowBody(size, 0.2, timeout_s=15.0, deadline_s=10.0)
    exchange.run()
    taken_s = 0.2 * (PIECES if size == BUFFERED_BYTES else PIECES * MAX_BUFFERED_BODY / size)
    left_s = float(exchange.server.requests[0][b"x-deadline-ms"]) / 1000.0
    assert left_s == pytest.approx(10.0 - taken_s, abs=0.3)


def test_a_body_may_not_stop_for_longer_than_a_connection_may_be_idle() -> None:
    """Guards against a connection that is held for as long as a client without a deadline likes."""
    exchange = SlowBody(BUFFERED_BYTES, 60.0, timeout_s=500.0, deadline_s=500.0)
    exchange.run()
    assert exchange.status == 408
    assert exchange.lasted_s == pytest.approx(60.0)  # the client has looked after its first pause


@settings(max_examples=30, deadline=None)
@given(
    size=st.sampled_from((BUFFERED_BYTES, STREAMED_BYTES)),
    pause_s=st.floats(0.0, 0.4),
    timeout_s=st.floats(0.5, 19.0),
    deadline_s=st.floats(0.5, 19.0),
)
def test_the_time_of_its_request_alone_bounds_a_body_that_flows(
    size: int, pause_s: float, timeout_s: float, deadline_s: float
) -> None:
    """Guards against any other bound on a body, and against an end without an answer."""
    exchange = SlowBody(size, pause_s, timeout_s, deadline_s)
    exchange.run()
    allowed_s = min(timeout_s, deadline_s)
    is_in_time = PIECES * pause_s < allowed_s - TOLERANCE_S
    assert exchange.status in ((200,) if is_in_time else (200, 408, 503, 504))
    longest_s = max(allowed_s, SHORTEST_S + size / BYTES_PER_S)
    assert exchange.lasted_s <= longest_s + SWEEP_S + pause_s
