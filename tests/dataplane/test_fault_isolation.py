"""Faults of the program itself: each costs the message that it is met in, and nothing else."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from wickspring.lab.simulation.request_path.raised_faults import STEP_LABELS
from wickspring.lab.simulation.request_path.simulation import Simulation

pytestmark = pytest.mark.raises_faults


def run_seeds(seeds: range, **how: Any) -> Counter[str]:
    seen: Counter[str] = Counter()
    for seed in seeds:
        seen.update(Simulation(seed, server_pairs=2, **how).run().seen)
    return seen


@pytest.mark.parametrize("step", STEP_LABELS)
def test_a_fault_in_one_step_ends_no_process_and_leaves_no_client_waiting(step: str) -> None:
    """Guards against a process that ends, or a request without an answer, by one message."""
    seen = run_seeds(range(30), raised_steps=(step,), raise_share=0.3, fault_share=0.4)
    assert seen[step], "the step was never reached"
    assert seen["told[200]"] > 20


@pytest.mark.parametrize("fault_share", [0.0, 0.6])
def test_faults_in_all_steps_end_no_process_and_run_no_request_twice(fault_share: float) -> None:
    """Guards against faults that are harmless one by one and not together."""
    seen = run_seeds(range(100, 160), raise_share=0.06, fault_share=fault_share)
    assert len([step for step in STEP_LABELS if seen[step]]) > 0.8 * len(STEP_LABELS)
    assert seen["told[200]"] > 100
