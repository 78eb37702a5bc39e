"""Attempts of one request at two servers: in flight at once, or one after another and read late.

What happened: beside 8 and more busy processes `ingress-crash` found 1 to 3 requests with an attempt sent
while an earlier one was in flight, which its site forbids.

Why: a laboratory that is late may read two attempts in the other order. The one that it read first was
open, being the later; the one that it read then had been closed by its ingress before that.

What showed it: request d6094feb4cbea2b1, whose attempts were in the kernels of s-2, s-7 and s-1 at 400, 570
and 768 ms and were read as s-2, s-1, s-7; the log of its ingress has start and stop of each in turn, at
328, 506 and 682 ms of the same second.
"""

from __future__ import annotations

import socket

import pytest
import trio

from wickspring.lab.emulation.ticket_connections import reset
from wickspring.lab.emulation.ticket_servers import _overlap
from wickspring.lab.reports.record import Arrival, InFlightAttempt

GAP_MS = 100.0  # between the arrivals of two attempts


class TwoAttempts:
    """Two attempts of one request on connections of TCP; the first came `GAP_MS` before the second."""

    def __init__(self, listener: socket.socket) -> None:
        pairs = [self._connect(listener) for _ in range(2)]
        self.far = [far for _, far in pairs]
        self.attempts = [
            InFlightAttempt(
                Arrival(f"s-{number}", 0, "one", GAP_MS * number, GAP_MS * number, reused=False),
                trio.socket.from_stdlib_socket(near),
            )
            for number, (near, _) in enumerate(pairs)
        ]

    def _connect(self, listener: socket.socket) -> tuple[socket.socket, socket.socket]:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
        return near, far

    def overlap(self, read_in_order: bool, now: float) -> bool:
        """Judge them at a time, by which of them is read last."""
        first, second = self.attempts
        return _overlap(first, second, now) if read_in_order else _overlap(second, first, now)

    def close(self) -> None:
        for far, attempt in zip(self.far, self.attempts, strict=True):
            far.close()
            attempt.sock.close()


def judge(is_open: tuple[bool, bool], read_in_order: bool, closed_at: float, resets: bool = False) -> bool:
    """Close what is not open at a time (ms), and judge both attempts a little later."""

    async def main() -> bool:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            two = TwoAttempts(listener)
            for stays_open, far in zip(is_open, two.far, strict=True):
                if not stays_open:
                    if resets:
                        reset(far)
                    far.close()
            await trio.sleep(0.02)
            try:
                return two.overlap(read_in_order, closed_at + 20.0)
            finally:
                two.close()

    return trio.run(main)


@pytest.mark.parametrize(
    ("first_open", "second_open", "read_in_order", "expected"),
    [
        (True, True, True, True),
        (True, True, False, True),
        (False, True, True, False),
        (False, True, False, False),  # of the two, the one that came first has been closed
        (True, False, True, True),  # it was open when the second came, which was given up since
        (True, False, False, True),
        (False, False, True, False),
    ],
)
def test_attempts_overlap_only_where_both_were_open(
    first_open: bool, second_open: bool, read_in_order: bool, expected: bool
) -> None:
    """What is closed was closed before the second came; where not read in order, that was read before it."""
    assert judge((first_open, second_open), read_in_order, GAP_MS / 2.0) is expected


@pytest.mark.parametrize("read_in_order", [True, False])
@pytest.mark.parametrize("second_open", [True, False])
def test_an_attempt_closed_after_the_next_had_come_overlaps_it(
    second_open: bool, read_in_order: bool
) -> None:
    """Guards against a check that took any close for an earlier one (since 08ed9ba)."""
    assert judge((False, second_open), read_in_order, 3.0 * GAP_MS)


@pytest.mark.parametrize("closed_at", [GAP_MS / 2.0, 3.0 * GAP_MS])
def test_an_attempt_that_was_reset_at_an_unknown_time_and_is_read_last_overlaps(closed_at: float) -> None:
    assert judge((False, True), read_in_order=False, closed_at=closed_at, resets=True)
