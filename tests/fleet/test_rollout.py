"""Operations on a fleet: upgrades, restarts and drains, one batch after another."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from rpds import HashTrieMap

from tests.support.fleet import NOW, RULES, owner_state, record
from wickspring.fleet import owner
from wickspring.fleet.model import FLEET, Kind, Operation, Phase, Step, scope_of
from wickspring.fleet.owner import FleetStatus
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.observation import FleetObservation
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply


class OperationDriver:
    """A coordinator and one owner of instances, whose observed states are set by hand."""

    def __init__(self, kind: Kind, count: int = 3, build: str = "2", batch: int = 1) -> None:
        self.owner_state = owner_state(*(record(f"n{n}") for n in range(count)))
        self.now, self.dead = NOW, frozenset[str]()
        chosen = tuple(self.owner_state.records[f"n{n}"] for n in range(count))
        request = OperationRequest("op", kind, by="x", coordinator="a0", at=NOW, build=build, batch=batch)
        self.operation = plan_operation(request, chosen)

    def advance(self, times: int = 4) -> Operation:
        for _ in range(times):
            observation = FleetObservation(
                self.owner_state.records, {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES, self.dead
            )
            self.operation, requests = coordinator.advance(self.operation, self.now, observation)
            for one in requests:
                self.owner_state, reply = owner.handle_request(
                    self.owner_state, self.now, one.request, RULES, FleetStatus(self.owner_state.records)
                )
                self.operation = receive_reply(self.operation, self.now, one.agent, one.request, reply)
        return self.operation

    def set_observed(self, name: str, state: str, **more: object) -> None:
        old = self.owner_state.records[name]
        fields: dict[str, object] = {
            "state": state,
            "build": old.desired.build,
            "generation": old.desired.generation,
            "version": old.desired.version,
        }
        self.owner_state = owner.observe(
            self.owner_state, name, msgspec.structs.replace(old.observed, **{**fields, **more})
        )

    def step(self, name: str) -> Step:
        found = self.operation.find(name)
        assert found is not None
        return found.step

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self.now += 1.0
            self.advance()


def test_an_upgrade_goes_one_after_another_and_holds_each() -> None:
    driver = OperationDriver(Kind.UPGRADE)
    driver.advance()
    assert [driver.step(f"n{n}") for n in range(3)] == [Step.MOVING, Step.PENDING, Step.PENDING]
    assert driver.owner_state.records["n0"].desired.build == "2"
    driver.set_observed("n0", "starting")
    driver.pass_time(2)
    assert driver.step("n0") is Step.MOVING
    driver.set_observed("n0", "ready")
    driver.advance()
    assert driver.step("n0") is Step.PROVING
    driver.pass_time(RULES.hold_s + 1)
    assert driver.step("n0") is Step.DONE
    assert driver.step("n1") is Step.MOVING
    for name in ("n1", "n2"):
        driver.set_observed(name, "ready")
        driver.pass_time(RULES.hold_s + 3)
    assert driver.advance().phase is Phase.DONE
    assert all(one.claim is None for one in driver.owner_state.records.values())
    assert not driver.owner_state.permits


@pytest.mark.parametrize(
    ("observed", "reason"),
    [
        ({"state": "waiting", "failures": 3, "last_exit": 1}, "ended 3 times, last with 1"),
        ({"state": "ready", "requests": 100, "failed": 50}, "50 of 100 answers failed"),
        ({"state": "silent"}, "was ready, and is silent"),
    ],
)
def test_a_build_that_fails_is_taken_back_from_all_it_reached(
    observed: dict[str, object], reason: str
) -> None:
    driver = OperationDriver(Kind.UPGRADE)
    driver.advance()
    driver.set_observed("n0", "ready")
    driver.pass_time(RULES.hold_s + 2)
    assert driver.step("n0") is Step.DONE
    if observed["state"] != "waiting":
        driver.set_observed("n1", "ready")
        driver.advance()
    driver.set_observed("n1", **observed)  # type: ignore[arg-type]
    driver.advance()
    assert driver.operation.phase is Phase.REVERTING
    assert reason in driver.operation.reason
    assert driver.owner_state.records["n1"].desired.build == "1"
    driver.set_observed("n1", "ready", failures=0)
    driver.pass_time(3)
    assert driver.owner_state.records["n0"].desired.build == "1"
    driver.set_observed("n0", "ready")
    driver.pass_time(3)
    assert driver.advance().phase is Phase.FAILED
    assert [driver.step(f"n{n}") for n in range(3)] == [Step.REVERTED, Step.REVERTED, Step.UNTOUCHED]


def test_a_build_that_never_becomes_ready_ends_in_time() -> None:
    driver = OperationDriver(Kind.UPGRADE)
    driver.advance()
    driver.set_observed("n0", "starting")
    driver.pass_time(RULES.ready_within_s + RULES.drain_within_s + 2)
    assert driver.operation.phase is Phase.REVERTING
    assert "not ready after 30 s" in driver.operation.reason


def test_an_agent_that_is_lost_is_no_fault_of_the_build_and_may_come_back() -> None:
    driver = OperationDriver(Kind.UPGRADE, count=2)
    driver.advance()
    driver.dead = frozenset({"a0"})
    driver.advance(1)
    assert driver.step("n0") is Step.LOST
    assert driver.step("n1") is Step.LOST
    driver = OperationDriver(Kind.UPGRADE, count=1)
    driver.advance()
    driver.set_observed("n0", "ready")
    driver.advance(1)
    assert driver.step("n0") is Step.PROVING


def test_a_restarted_coordinator_waits_for_observations() -> None:
    driver = OperationDriver(Kind.UPGRADE, count=2)
    driver.advance()
    observation = FleetObservation(HashTrieMap(), {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES)
    after, _ = coordinator.advance(driver.operation, NOW + 5.0, observation)
    assert after.instances[0].step is Step.MOVING and after.phase is Phase.RUNNING
    after, _ = coordinator.advance(driver.operation, NOW + 60.0, observation)
    assert after.instances[0].step is Step.LOST
    others = replace(
        observation, records=driver.owner_state.records.remove("n0")
    )  # its agent reports, but not this instance
    after, _ = coordinator.advance(driver.operation, NOW + 5.0, others)
    assert "no agent tells of it" in after.reason


def test_an_instance_whose_agent_has_come_back_proves_itself_anew() -> None:
    driver = OperationDriver(Kind.UPGRADE)
    driver.advance()
    driver.set_observed("n0", "ready")
    driver.advance()
    assert driver.step("n0") is Step.PROVING
    driver.set_observed("n0", "starting", pid=0)
    driver.advance()
    assert driver.step("n0") is Step.MOVING
    driver.set_observed("n0", "ready")
    driver.pass_time(RULES.hold_s + 2)
    assert driver.step("n0") is Step.DONE
    driver.set_observed("n1", "ready")
    driver.advance()
    driver.set_observed("n1", "starting", failures=1)  # it has ended by itself
    driver.advance()
    assert driver.operation.phase is Phase.REVERTING


def test_drains_end_with_who_stopped_and_a_restart_has_a_new_generation() -> None:
    driver = OperationDriver(Kind.DRAIN, count=1)
    driver.advance()
    assert not driver.owner_state.records["n0"].desired.run
    driver.set_observed("n0", "draining")
    driver.advance()
    assert driver.step("n0") is Step.MOVING
    driver.set_observed("n0", "stopped")
    assert driver.advance(6).phase is Phase.DONE
    driver = OperationDriver(Kind.RESTART, count=1)
    driver.advance()
    assert driver.owner_state.records["n0"].desired.generation == 1
    driver.set_observed("n0", "ready")
    driver.pass_time(RULES.hold_s + 3)
    assert driver.operation.phase is Phase.DONE


def test_a_cancelled_operation_ends_what_is_under_way_and_begins_nothing() -> None:
    driver = OperationDriver(Kind.UPGRADE)
    driver.advance()
    driver.operation = coordinator.cancel(driver.operation, driver.now, "boss")
    driver.set_observed("n0", "ready")
    driver.pass_time(RULES.hold_s + 3)
    assert driver.operation.phase is Phase.CANCELLED
    assert [driver.step(f"n{n}") for n in range(3)] == [Step.DONE, Step.UNTOUCHED, Step.UNTOUCHED]
    assert "boss" in driver.operation.reason


def test_nothing_new_is_begun_without_a_quorum() -> None:
    driver = OperationDriver(Kind.UPGRADE)
    observation = FleetObservation(
        driver.owner_state.records, {FLEET: "a0", scope_of("hall-a"): "a0"}, RULES, quorum=False
    )
    after, requests = coordinator.advance(driver.operation, NOW, observation)
    assert requests == []
    assert after.phase is Phase.CLAIMING


def test_a_hall_that_the_file_no_longer_names_loses_its_instances_and_ends_the_operation() -> None:
    records = owner_state(record("n0")).records
    request = OperationRequest("op", Kind.RESTART, by="x", coordinator="a0", at=NOW)
    planned = plan_operation(request, records.values())
    running = msgspec.structs.replace(planned, phase=Phase.RUNNING)
    after, requests = coordinator.advance(running, NOW, FleetObservation(records, {FLEET: "a0"}, RULES))
    assert requests == []
    assert after.phase is Phase.FAILED
    assert "hall:hall-a" in after.instances[0].note
