"""Lab runs of several ingresses that exchange state, with partitions, crashes and false reports."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from wickspring.lab.emulation import peer_ingresses
from wickspring.lab.experiments import scenario
from wickspring.lab.experiments.run import run
from wickspring.lab.reports.result import Result


@pytest.fixture
def recorded_runs(monkeypatch: pytest.MonkeyPatch) -> list[peer_ingresses.PeerIngresses]:
    """Record the peer state of each run, with the last view of each ingress."""
    kept: list[peer_ingresses.PeerIngresses] = []
    real = peer_ingresses.PeerIngresses.add_figures

    def add_figures(self: peer_ingresses.PeerIngresses, result: Result, record: Any) -> None:
        kept.append(self)
        real(self, result, record)

    monkeypatch.setattr(peer_ingresses.PeerIngresses, "add_figures", add_figures)
    return kept


def run_with_faults(
    name: str, seconds: float, *faults: scenario.Fault | scenario.NetFault, **changes: Any
) -> Result:
    """Run a scenario with these faults in place of its own, on at least six ingress processes."""
    one = scenario.load(name)
    clients = msgspec.structs.replace(one.clients, rate=40.0)
    one = msgspec.structs.replace(
        one,
        seconds=seconds,
        clients=clients,
        fault=tuple(fault for fault in faults if isinstance(fault, scenario.Fault)),
        net=tuple(fault for fault in faults if isinstance(fault, scenario.NetFault)),
        **changes,
    )
    result = run(one, 1, alone=False)
    assert [text for text in result.violations if not text.startswith("late:")] == []
    assert result.budget_overspent_worst == 0.0
    assert result.ingresses >= 6
    return result


def test_partitioned_ingresses_keep_every_bound_and_rejoin(
    recorded_runs: list[peer_ingresses.PeerIngresses],
) -> None:
    cut = scenario.NetFault(
        at_s=1.0, for_s=2.5, kind="cut", source=("hall:0",), target=("not-hall:0", "counter")
    )
    broken = scenario.Fault(at_s=1.0, for_s=4.0, kind=scenario.FaultKind.FAILING, servers=(1, 4))
    result = run_with_faults("peers-split", 9.0, cut, broken)
    assert result.served > 0
    views = recorded_runs[0].views
    assert sorted(views) == list(range(6))
    for view in views.values():  # the last view before the end, while some may be leaving
        assert {one.name for one in view.members} == {f"n{number}" for number in range(6)}
        assert any(one.hall != view.hall and one.state != "gone" for one in view.members)


def test_paused_crashed_and_partitioned_ingresses_keep_every_bound(
    recorded_runs: list[peer_ingresses.PeerIngresses],
) -> None:
    faults = (
        scenario.Fault(at_s=1.0, for_s=3.0, kind=scenario.FaultKind.INGRESS_PAUSED, ingresses=(1,)),
        scenario.Fault(at_s=1.5, for_s=1.5, kind=scenario.FaultKind.INGRESS_CRASH, ingresses=(2, 3)),
        scenario.NetFault(at_s=1.0, for_s=3.0, kind="cut", source=("n4",), one_way=True),
        scenario.NetFault(at_s=4.5, for_s=0.5, kind="half", source=("n5",)),
        scenario.NetFault(at_s=5.2, for_s=0.1, kind="reset", source=("all",)),
        scenario.Fault(at_s=0.5, for_s=5.0, kind=scenario.FaultKind.FAILING, servers=(0, 1, 2, 3, 4, 5)),
    )
    result = run_with_faults("peers-paused", 7.0, *faults)
    assert result.gateway.get("broken[no_event_raises]", 0.0) == 0.0
    assert len(recorded_runs[0].views) == 6


def test_one_false_reporter_of_nine_excludes_no_server() -> None:
    assert run_with_faults("peers-liar", 5.0).judged_wrong_share == 0.0


def test_ingresses_exchange_usage_while_the_counter_is_unresponsive(
    recorded_runs: list[peer_ingresses.PeerIngresses],
) -> None:
    unresponsive = scenario.Fault(at_s=1.0, for_s=4.0, kind=scenario.FaultKind.COUNTER_SILENT)
    result = run_with_faults("peers-counter-lost", 5.0, unresponsive)
    assert result.served > 0
    # The effect on the quota is tested in test_peer_usage_counts.py.
    for number, view in recorded_runs[0].views.items():
        assert view.customers > 0
        assert {one.slot for one in view.members if one.last_received_s >= 0.0} >= set(range(6)) - {number}


def test_sixty_simulated_ingresses_converge_and_learn_of_a_failing_server() -> None:
    one = scenario.load("peers-large")
    few = msgspec.structs.replace(
        one,
        seconds=16.0,
        ingresses=msgspec.structs.replace(one.ingresses, count=60),
        clients=msgspec.structs.replace(one.clients, rate=400.0, firms=600),
        net=tuple(msgspec.structs.replace(net, at_s=3.0, for_s=3.0) for net in one.net),
        fault=tuple(msgspec.structs.replace(fault, at_s=9.0, for_s=6.5) for fault in one.fault),
    )
    result = run(few, 1)
    assert result.violations == []  # membership has converged, and no bound was exceeded
    assert result.judged_worst_s < result.judged_alone_s == 6.5
    assert result.judged_wrong_share < 0.001
    assert result.peer_bytes_s < 6000.0  # mostly while membership converges
