"""Checks of a scenario's values that its types do not express; errors name the file and the key."""

from __future__ import annotations

from collections.abc import Iterator

from wickspring.lab.experiments.scenario import Fault, FaultKind, NetFault, Scenario, ScenarioError, party

MAX_NUMBER = 1e7
SOCKET_FAULTS = (
    FaultKind.INGRESS_CRASH,
    FaultKind.INGRESS_PAUSED,
    FaultKind.INGRESS_THROTTLED,
    FaultKind.HALL_LOST,
)
VIRTUAL_FAULTS = (FaultKind.RESET_ALL, FaultKind.SLOW)


def check_scenario(scenario: Scenario, file: str) -> None:
    """Raise ScenarioError for the first value that is out of range."""
    for problem in _problems(scenario):
        raise ScenarioError(f"{file}: {problem}")


def _problems(scenario: Scenario) -> Iterator[str]:
    yield from _number_problems(scenario)
    for index, fault in enumerate(scenario.fault):
        yield from _fault_problems(scenario, index, fault)
    for index, net_fault in enumerate(scenario.net):
        yield from _net_fault_problems(scenario, index, net_fault)
    yield from _peer_problems(scenario)
    if not 0 <= scenario.clients.skew <= 1:
        yield f"clients.skew must lie between 0 and 1: {scenario.clients.skew}"
    if scenario.kind == "virtual":
        for index, fault in enumerate(scenario.fault):
            if fault.kind not in VIRTUAL_FAULTS:
                yield f"fault[{index}].kind: {fault.kind} is not for virtual time"
    limits_problem = scenario.ingresses.connections.faults()
    if limits_problem:
        yield f"ingresses.connections: {limits_problem}"
    if not 0 <= scenario.closing.share <= 1:
        yield f"closing.share must lie between 0 and 1: {scenario.closing.share}"


def _number_problems(scenario: Scenario) -> Iterator[str]:
    minimums = (
        ("seconds", scenario.seconds, 0.5),
        ("servers.count", scenario.servers.count, 1),
        ("servers.cores", scenario.servers.cores, 1),
        ("servers.halls", scenario.servers.halls, 1),
        ("clients.rate", scenario.clients.rate, 0.1),
        ("clients.firms", scenario.clients.firms, 1),
        ("ingresses.count", scenario.ingresses.count, 1),
        ("ingresses.sockets", scenario.ingresses.sockets, 32),
        ("counter.per_s", scenario.counter.per_s, 1),
    )
    for key, value, minimum in minimums:
        if not minimum <= value < MAX_NUMBER:
            yield f"{key} must be {minimum} or more: {value}"


def _fault_problems(scenario: Scenario, index: int, fault: Fault) -> Iterator[str]:
    key = f"fault[{index}]"
    if not 0 <= fault.at_s < scenario.seconds:
        yield f"{key}.at_s lies outside the run: {fault.at_s}"
    for server in fault.servers:
        if not 0 <= server < scenario.servers.count:
            yield f"{key}.servers: there is no server {server}"
    for ingress in fault.ingresses:
        if not 0 <= ingress < scenario.ingresses.count:
            yield f"{key}.ingresses: there is no ingress {ingress}"
    if not 0 <= fault.hall < scenario.servers.halls:
        yield f"{key}.hall: there is no hall {fault.hall}"
    if fault.kind == FaultKind.COUNTER_FLUSH and not 0 < fault.size <= 1:
        yield f"{key}.size must lie between 0 and 1: {fault.size}"
    if fault.kind in SOCKET_FAULTS and scenario.kind != "sockets":
        yield f"{key}.kind: {fault.kind} is for sockets alone"


def _net_fault_problems(scenario: Scenario, index: int, fault: NetFault) -> Iterator[str]:
    key = f"net[{index}]"
    if not 0 <= fault.at_s < scenario.seconds:
        yield f"{key}.at_s lies outside the run: {fault.at_s}"
    if fault.times < 1 or fault.bytes_s <= 0:
        yield f"{key}: times must be 1 or more, bytes_s above 0"
    for end, names in (("source", fault.source), ("target", fault.target)):
        for name in names:
            if not party(scenario, name):
                yield f"{key}.{end}: there is no {name!r}"


def _peer_problems(scenario: Scenario) -> Iterator[str]:
    for liar in scenario.peers.liars:
        if not 0 <= liar < scenario.ingresses.count:
            yield f"peers.liars: there is no ingress {liar}"
    budget_problem = scenario.peers.budgets.faults()
    if budget_problem:
        yield f"peers.budgets.{budget_problem}"
