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

from wickspring.lab.emulation.ticket_servers import _overlap
from wickspring.lab.reports.record import Arrival, InFlightAttempt


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
    """`first` is the one that came first; where not read in order, the second was read before it."""

    async def main() -> None:
        pairs = [socket.socketpair() for _ in range(2)]
        attempts = []
        for number, (near, _) in enumerate(pairs):
            arrived_at = 100.0 * number
            arrival = Arrival(f"s-{number}", 0, "one", arrived_at, arrived_at, reused=False)
            attempts.append(InFlightAttempt(arrival, trio.socket.from_stdlib_socket(near)))
        for is_open, (_, far) in zip((first_open, second_open), pairs, strict=True):
            if not is_open:
                far.close()
        first, second = attempts
        read_before, read_now = (first, second) if read_in_order else (second, first)
        assert _overlap(read_before, read_now) is expected
        for near, far in pairs:
            near.close()
            far.close()

    trio.run(main)
