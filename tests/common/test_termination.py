"""What a process records of signals before its event loop runs."""

from __future__ import annotations

from wickspring.common.termination import Termination

GRACE_S = 6.0


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def test_the_grace_period_runs_from_the_first_request_to_end() -> None:
    clock = ManualClock()
    termination = Termination(clock)
    assert not termination.is_requested and termination.time_left_s(GRACE_S) == GRACE_S
    termination.request()
    clock.now_s += 2.0
    termination.request()
    assert termination.is_requested and termination.time_left_s(GRACE_S) == GRACE_S - 2.0
    clock.now_s += GRACE_S
    assert termination.time_left_s(GRACE_S) == 0.0
