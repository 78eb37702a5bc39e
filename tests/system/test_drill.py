"""The judge of the gateway's drills finds what it is there to find."""

from __future__ import annotations

import pytest

from wickspring.lab.emulation.local_gateway import StandInServer
from wickspring.lab.experiments.drill import DRILLS, RULES, Ask, Ledger


def served(number: int, once: bool = False, status: int = 200) -> Ask:
    id_ = f"d{number}"
    return Ask(id_, once, 0.01 * number, 0.02, status, f"{id_} by i-1\n".encode())


@pytest.mark.parametrize("defect", ["none", *RULES])
def test_each_broken_rule_is_found(defect: str) -> None:
    asks, server = (
        [served(number, number % 2 == 0) for number in range(200)],
        StandInServer("", "s", [], "i-1"),
    )
    server.ran.update(ask.id for ask in asks)
    ledger = Ledger(40.0 if defect != "over_quota" else 20.0, asks)
    if defect == "ran_twice":
        server.ran["d2"] += 1
        server.ran["d3"] += 1  # this one may
    elif defect == "promises_broken":
        asks[7].status = 503
    elif defect == "lies_taken":
        asks[8].body = asks[9].body
    elif defect == "drained_late":
        server.late = 1
    judged = ledger.judge([server])
    assert {rule for rule in RULES if judged[rule]} == ({defect} if defect != "none" else set())
    assert "calm" in DRILLS
