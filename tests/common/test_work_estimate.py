"""The estimate of how long begun work takes, from samples of an event loop."""

from __future__ import annotations

import pytest

from wickspring.net.loop_monitor import TurnSample
from wickspring.net.work_estimate import FIRST_COST_MS, MAX_COST_MS, REFUSAL_COST, WorkEstimate

SAMPLE_MS = 20.0


def run(work: WorkEstimate, share: float, for_ms: float, cost_ms: float = 2.0, idle_ms: float = 0.0) -> None:
    """Have a process be busy for a time with a share of a processor, on requests of one cost."""
    for _ in range(int(for_ms / SAMPLE_MS)):
        processor_ms = share * SAMPLE_MS
        for _ in range(round(processor_ms / cost_ms)):
            work.count_admitted()
        work.record_turns(TurnSample(processor_ms, SAMPLE_MS, idle_ms), in_progress=10)


def test_a_process_that_loses_most_of_its_processor_knows_it_within_a_second() -> None:
    work = WorkEstimate()
    run(work, 1.0, 2000.0)
    assert work.time_ms(100) == pytest.approx(200.0, rel=0.05)
    run(work, 0.2, 800.0)
    assert work.time_ms(100) == pytest.approx(1000.0, rel=0.1)
    run(work, 1.0, 2000.0)
    assert work.time_ms(100) == pytest.approx(200.0, rel=0.1)


def test_the_cost_of_a_request_is_learnt_and_refusals_count_little() -> None:
    work = WorkEstimate()
    run(work, 1.0, 8000.0, cost_ms=4.0)
    assert work.request_cost_ms == pytest.approx(4.0, rel=0.05)
    for _ in range(400):  # refusals take as much as requests
        work.count_admitted()
        for _ in range(round(1.0 / REFUSAL_COST)):
            work.count_refused()
        work.record_turns(TurnSample(8.0, 8.0, 0.0), in_progress=1)
    assert work.request_cost_ms == pytest.approx(4.0, rel=0.05)
    assert work.processor_share == pytest.approx(0.5, rel=0.05)  # what they leave of it


def test_other_work_of_a_process_without_requests_is_no_cost_of_requests() -> None:
    work = WorkEstimate()
    for _ in range(10_000):
        work.record_turns(TurnSample(SAMPLE_MS, SAMPLE_MS, 0.0), in_progress=0)
    assert work.request_cost_ms == pytest.approx(FIRST_COST_MS)
    for _ in range(10_000):
        work.record_turns(TurnSample(SAMPLE_MS, SAMPLE_MS, 0.0), in_progress=1)
    assert work.request_cost_ms == MAX_COST_MS


def test_a_turn_without_any_time_says_nothing() -> None:
    work = WorkEstimate()
    work.record_turns(TurnSample(0.0, 0.0, 10.0), in_progress=1)
    assert work.processor_share == 1.0


def test_a_process_is_saturated_once_it_waits_for_its_processor_alone() -> None:
    work = WorkEstimate()
    run(work, 0.3, 1000.0, idle_ms=10.0)
    assert not work.is_saturated
    run(work, 0.3, 600.0)
    assert work.is_saturated
    run(work, 0.3, 200.0, idle_ms=10.0)
    assert not work.is_saturated
