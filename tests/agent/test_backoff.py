"""Delays between the starts of an instance that fails."""

from __future__ import annotations

from wickspring.agent.backoff import RestartBackoff


def test_the_delay_doubles_up_to_its_most_and_starts_anew_after_a_steady_run() -> None:
    backoff = RestartBackoff()
    assert backoff.delay_s(0.5, 30.0) == 0.0
    delays = []
    for _ in range(8):
        backoff.record_failure(steady=False)
        delays.append(backoff.delay_s(0.5, 30.0))
    assert delays == [0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]
    backoff.record_failure(steady=True)
    assert backoff.delay_s(0.5, 30.0) == 0.5
    backoff.reset()
    assert backoff.delay_s(0.5, 30.0) == 0.0


def test_any_number_of_failures_has_a_delay() -> None:
    backoff = RestartBackoff()
    for _ in range(2000):  # a float overflows after 1024 doublings
        backoff.record_failure(steady=False)
    assert backoff.delay_s(0.5, 30.0) == 30.0
