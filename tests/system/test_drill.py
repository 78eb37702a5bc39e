"""The check of a drill's rules finds each broken rule."""

from __future__ import annotations

import msgspec
import pytest

from wickspring.lab.emulation.stand_in_server import StandInServer
from wickspring.lab.experiments.drill import DRILLS, ClientRequest, RequestLog, Violations

RULES = Violations.__struct_fields__


def served(number: int, effectful: bool = False) -> ClientRequest:
    request_id = f"d{number}"
    return ClientRequest(
        request_id, effectful, 0.01 * number, 0.02, status=200, body=f"{request_id} by i-1\n".encode()
    )


@pytest.mark.parametrize("defect", ["none", *RULES])
def test_each_broken_rule_is_found(defect: str) -> None:
    requests = [served(number, effectful=number % 2 == 0) for number in range(200)]
    server = StandInServer("", "s", [], "i-1")
    server.executions.update(request.id for request in requests)
    log = RequestLog(40.0 if defect != "over_quota" else 20.0, requests)
    if defect == "executed_twice":
        server.executions["d2"] += 1
        server.executions["d3"] += 1  # this one may
    elif defect == "executed_after_refusal":
        requests[7].status = 503
    elif defect == "foreign_answers":
        requests[8].body = requests[9].body
    elif defect == "late_after_drain":
        server.late_requests = 1
    violations = log.violations([server])
    counts = msgspec.structs.asdict(violations)
    assert {rule for rule in RULES if counts[rule]} == ({defect} if defect != "none" else set())
    assert violations.total == sum(counts.values())
    assert "calm" in DRILLS
