"""Fleets of real agents and instances, in short forms of the laboratory's scenarios. Bounds are far off."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest

from tests.lab.short_scenarios import assert_rules_kept
from wickspring.lab.experiments import scenario
from wickspring.lab.experiments.fleet_site import FleetSite
from wickspring.lab.experiments.run import run
from wickspring.lab.reports.result import Result


def fleet(name: str, seconds: float, count: int = 6, **changes: Any) -> scenario.Scenario:
    one = scenario.load(name)
    assert one.fleet is not None
    return msgspec.structs.replace(
        one,
        seconds=seconds,
        fault=tuple(fault for fault in one.fault if fault.at_s < seconds),
        ingresses=msgspec.structs.replace(one.ingresses, count=count),
        clients=msgspec.structs.replace(one.clients, rate=60.0),
        fleet=msgspec.structs.replace(one.fleet, **{"hold_s": 0.5, **changes}),
    )


STOPPED_S = 1.0  # from the end of the fleet to the end of the run; several samples


def ends(result: Result, word: str) -> list[str]:
    return [text for name, text in result.operations.items() if name.startswith(word)]


def test_a_rolling_upgrade_loses_nothing() -> None:
    result = assert_rules_kept(run(fleet("rolling-upgrade", 10.0), 1))
    assert (result.instances, result.rolled, result.did_not_follow) == (6, 6, 0)
    assert result.served_share > 0.95
    assert result.answers_lost == result.answers_doubled == result.hall_floor_broken == 0
    assert result.drain_ms_most < 550.0
    assert ends(result, "command upgrade")[0].startswith("exit 0")


def test_agents_killed_during_an_upgrade_restart_and_resume() -> None:
    result = assert_rules_kept(run(fleet("agent-killed", 14.0), 1))
    assert (result.rolled, result.did_not_follow) == (6, 0)
    assert ends(result, "upgrade") == ["done"]
    assert result.answers_lost == 0


def test_an_instance_lost_during_an_upgrade_is_restarted() -> None:
    result = run(fleet("instance-lost", 12.0), 1)
    assert result.answers_doubled == result.forbidden_copies == 0
    assert result.answers_lost < 20  # what the killed processes held went with them, and no more
    assert result.rolled + result.did_not_follow == 6
    assert ends(result, "upgrade")[0].split()[0] in ("done", "failed")


def test_of_two_conflicting_drains_one_succeeds_and_the_other_is_rejected() -> None:
    result = assert_rules_kept(run(fleet("conflicting-drains", 8.0), 1))
    words = ends(result, "drain")
    assert sorted(text.split()[0] for text in words) == ["done", "refused"]
    refused = next(text for text in words if text.startswith("refused"))
    assert "n1 is held by" in refused
    codes = sorted(text.split(":")[0] for text in ends(result, "command drain"))
    assert codes == ["exit 0", "exit 3"]


def test_a_fleet_that_its_run_has_stopped_is_not_sampled(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against reporting a hall as below its floor because the run itself has ended the instances.
    stop = FleetSite.stop

    def stop_and_wait(site: FleetSite) -> None:
        stop(site)
        time.sleep(STOPPED_S)

    monkeypatch.setattr(FleetSite, "stop", stop_and_wait)
    assert run(fleet("conflicting-drains", 1.0), 1).hall_floor_broken == 0


@pytest.mark.parametrize(("name", "reason"), [("bad-build", "answers failed"), ("never-ready", "not ready")])
def test_a_failing_build_is_rolled_back_automatically(name: str, reason: str) -> None:
    result = run(fleet(name, 10.0, hold_s=2.0), 1)
    assert result.answers_lost == result.answers_doubled == result.forbidden_copies == 0
    assert (result.rolled, result.did_not_follow) == (0, 6)
    [text] = ends(result, "upgrade")
    assert text.startswith("failed")
    assert reason in text
    assert ends(result, "command upgrade")[0].startswith("exit 1")


def test_a_large_fleet_is_upgraded_in_virtual_time_without_some_agents() -> None:
    for name in ("large-fleet", "large-fleet-lost"):
        one = fleet(name, 400.0, count=60, agents=12)
        assert one.fleet is not None
        kills = tuple(fault for fault in one.fleet.kill if fault.agent in (3, 8))
        one = msgspec.structs.replace(one, fleet=msgspec.structs.replace(one.fleet, kill=kills))
        result = run(one, 1)
        assert result.violations == []
        assert result.hall_floor_broken == 0
        assert result.rolled + result.did_not_follow == 60
        assert result.rolled == 60 if not kills else result.rolled >= 40
        assert result.messages > 0
