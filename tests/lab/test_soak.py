"""Short soaks of a gateway of processes, and the checks that judge them."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

import msgspec
import pytest

from wickspring.lab.emulation.stand_in_server import Execution
from wickspring.lab.experiments.soak.checks import GONE_AFTER_S, MAX_GONE, SoakViolations, check_soak
from wickspring.lab.experiments.soak.observations import Observations, SoakRequest, Trouble
from wickspring.lab.experiments.soak.plan import UNPLANNED, StepKind, draw_plan
from wickspring.lab.experiments.soak.run import SoakOptions, run_soak

RATE = 20.0
CONTROL_PLANES = ("c1", "c2", "c3")
DATA_PLANES = ("d1", "d2")


@pytest.mark.parametrize("seed", [1, 2])
def test_a_gateway_keeps_the_rules_under_overlapping_faults_and_changes(seed: int, loopback_net: int) -> None:
    result = run_soak(seed, SoakOptions(seconds=12.0, net=loopback_net))
    assert result.violations.total == 0, result
    assert result.served > 100 and result.steps > 4


def test_planned_work_alone_loses_nothing(loopback_net: int) -> None:
    """Ends of processes in series, reloads and changes, under clients that use connections to the end."""
    options = SoakOptions(seconds=20.0, rate=400.0, net=loopback_net, planned_only=True)
    result = run_soak(1, options)
    assert result.violations.total == 0, result
    assert result.served > 500 and result.steps > 20


def observe_served_requests() -> Observations:
    """Return a run in which every rule is kept."""
    seen = Observations(acknowledged_version=3, read_back_version=3)
    for number in range(100):
        request_id, at = f"r{number}", 0.1 * number
        body = f"{request_id} by i-1\n".encode()
        seen.requests.append(SoakRequest(request_id, number % 2 == 0, "d1", at, 200, body, at + 0.05))
        seen.executions.append(Execution(request_id, at + 0.01, at + 0.04))
    return seen


def run_twice(seen: Observations) -> None:
    seen.executions.append(Execution("r2", 5.0, 5.1))
    seen.executions.append(Execution("r3", 5.0, 5.1))  # this one may


def refuse_an_executed_one(seen: Observations) -> None:
    seen.requests[4].status = 503


def answer_with_anothers_body(seen: Observations) -> None:
    seen.requests[5].body = seen.requests[6].body


def pass_the_ceiling(seen: Observations) -> None:
    for number in range(200):
        seen.requests.append(
            SoakRequest(f"x{number}", False, "d1", 2.0, 200, f"x{number} by i".encode(), 2.1)
        )
        seen.executions.append(Execution(f"x{number}", 2.05, 2.06))


def work_on_for_clients_that_have_left(seen: Observations) -> None:
    for number in range(1, 2 * MAX_GONE + 4, 2):  # repeatable ones
        request, execution = seen.requests[number], seen.executions[number]
        request.status, request.left_at = 0, request.sent_at + 0.02
        execution.ends_at = request.left_at + GONE_AFTER_S + 0.1


def work_on_at_a_paused_data_plane(seen: Observations) -> None:
    work_on_for_clients_that_have_left(seen)
    paused_until = seen.requests[2 * MAX_GONE + 3].sent_at
    seen.troubles.append(Trouble("d1", 0.0, paused_until))


def lose_an_answer(seen: Observations) -> None:
    seen.requests[50].status = 0
    seen.requests[70].status = 0  # its data plane was killed
    seen.troubles.append(Trouble("d1", 7.03, 7.5))


def give_an_upload_no_more_time(seen: Observations) -> None:
    seen.requests[5].status, seen.executions[5].request_id = 408, "r7"


def lose_the_configuration(seen: Observations) -> None:
    seen.read_back_version = 2


def end_by_itself(seen: Observations) -> None:
    seen.own_ends.append("d1: 1")


def not_come_back(seen: Observations) -> None:
    seen.not_ready.append("d2")


def alter_a_field(seen: Observations) -> None:
    seen.requests[5].user, seen.requests[5].echoed_user = b"Jos\xe9", b"Jos?"


DEFECTS: dict[str, Callable[[Observations], None]] = {
    "executed_twice": run_twice,
    "executed_after_refusal": refuse_an_executed_one,
    "foreign_answers": answer_with_anothers_body,
    "altered_fields": alter_a_field,
    "over_quota": pass_the_ceiling,
    "went_on": work_on_for_clients_that_have_left,
    "lost": lose_an_answer,
    "cut_short": give_an_upload_no_more_time,
    "config_lost": lose_the_configuration,
    "own_ends": end_by_itself,
    "not_ready": not_come_back,
}


def test_every_rule_has_a_defect() -> None:
    assert set(DEFECTS) == set(SoakViolations.__struct_fields__)
    assert check_soak(observe_served_requests(), RATE).total == 0


@pytest.mark.parametrize("rule", DEFECTS)
def test_each_broken_rule_is_found(rule: str) -> None:
    seen = observe_served_requests()
    DEFECTS[rule](seen)
    counts = msgspec.structs.asdict(check_soak(seen, RATE))
    assert {name for name, count in counts.items() if count} == {rule}


def test_a_paused_data_plane_may_learn_late_that_a_client_has_left() -> None:
    seen = observe_served_requests()
    work_on_at_a_paused_data_plane(seen)
    assert check_soak(seen, RATE).went_on == 0


def test_a_request_that_is_never_answered_is_lost_whether_it_was_executed_or_not() -> None:
    seen = observe_served_requests()
    seen.requests.append(SoakRequest("hung", False, "d1", 2.0, ended_at=6.0, timed_out=True))
    closed_at_once = SoakRequest("closed", False, "d1", 2.0, fully_sent_at=2.0, ended_at=2.1)
    seen.requests.append(closed_at_once)  # may be sent again
    seen.requests.append(SoakRequest("half", False, "d1", 2.0, ended_at=9.0))  # was never sent whole
    assert check_soak(seen, RATE).lost == 1
    seen.requests.append(SoakRequest("dropped", False, "d1", 2.0, fully_sent_at=2.5, ended_at=4.0))
    assert check_soak(seen, RATE).lost == 2


def test_a_plan_is_the_same_for_a_seed_and_has_every_kind_of_step() -> None:
    plans = [draw_plan(seed, 15.0, CONTROL_PLANES, DATA_PLANES) for seed in range(40)]
    assert plans == [draw_plan(seed, 15.0, CONTROL_PLANES, DATA_PLANES) for seed in range(40)]
    assert {step.kind for plan in plans for step in plan} == set(StepKind)
    planned = [draw_plan(seed, 15.0, CONTROL_PLANES, DATA_PLANES, planned_only=True) for seed in range(40)]
    assert {step.kind for plan in planned for step in plan} == set(StepKind) - UNPLANNED
    pairs = [list(pairwise(plan)) for plan in plans]
    overlapping = [steps for steps in pairs if any(b.at_s - a.at_s < a.for_s for a, b in steps)]
    assert len(overlapping) > 20
