"""A large fleet in virtual time: the agents' real reducers, views and operations, and no process.

Messages take a while and are counted; a replaced instance is ready after the time that a real one takes to
start. Agents may be killed for good: their instances go on serving, and no longer report.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from wickspring.fleet import owner, owner_messages
from wickspring.fleet.model import (
    FLEET,
    DesiredState,
    InstanceRecord,
    Kind,
    ObservedState,
    Operation,
    Rules,
    Step,
    scope_of,
)
from wickspring.fleet.rollout import coordinator
from wickspring.fleet.rollout.observation import FleetObservation, Records
from wickspring.fleet.rollout.plan import OperationRequest, plan_operation
from wickspring.fleet.rollout.replies import receive_reply
from wickspring.fleet.rollout.requests import AgentRequest
from wickspring.fleet.views import AgentContent, FleetView
from wickspring.lab.emulation.site import Progress
from wickspring.lab.experiments.scenario import FleetPart, Scenario
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation.timeline import Timeline
from wickspring.membership.anti_entropy import Digest

EPOCH_S = 1_000_000.0  # the agents' clock at the beginning
DELAY_MS = (0.5, 3.0)  # of a message, drawn evenly
START_MS = (900.0, 2500.0)  # of an instance, drawn evenly
REPLACE_DELAY_MS = 10.0  # from a request to an agent until the successor starts
COORDINATION_MS = 100.0  # between steps of the coordinator
REQUEST_RETRY_MS = 2000.0  # after which a request without a reply may be sent again
SAMPLE_MS = 500.0
HALLS = 10
COORDINATOR = "a01"
UPGRADE_AT_MS = 3000.0
PROGRESS_MS = 500.0


class VirtualAgent:
    """One agent: its instances, its view of the fleet, and the operation that it coordinates."""

    def __init__(self, fleet: LargeFleet, name: str, hall: str, names: list[str]) -> None:
        self.fleet = fleet
        self.name = name
        self.hall = hall
        self.owner_state = owner.OwnerState(name)
        self.alive = True
        for instance in names:
            observed = ObservedState("ready", "1", version=1, ready_at=EPOCH_S)
            self.owner_state = owner.register(
                self.owner_state,
                InstanceRecord(instance, hall, name, desired=DesiredState(True, "1", 1), observed=observed),
            )
        self.operation: Operation | None = None
        self.pending_requests: set[str] = set()  # by agent, kind and instance

    def start(self, agents: list[str]) -> None:
        """Start gossip with the agents of these names."""
        fleet = self.fleet
        self.view = FleetView(self.name, agents, fleet.now, fleet.rules, fleet.random.getrandbits(32))
        fleet.every(1000.0 * fleet.rules.gossip_s, self._gossip)

    def records(self) -> Records:
        """Return the fleet as last reported, and the own instances as they are."""
        records = self.view.records()
        for record in self.owner_state.records.values():
            records = records.insert(record.name, record)
        return records

    def _gossip(self) -> None:
        if not self.alive:
            return
        operations = (self.operation,) if self.operation is not None else ()
        self.view.publish(AgentContent(tuple(self.owner_state.records.values()), operations, "virtual"))
        for peer in self.view.choose_peers():
            other = self.fleet.agents[peer]
            self.fleet.send(other, partial(self._answer_digest, other, self.view.digest()))

    def _answer_digest(self, other: VirtualAgent, digest: Digest) -> None:
        """Have another agent answer a digest, and send it the entries that it requests."""
        delta = other.view.delta(digest)

        def on_delta() -> None:
            self.view.receive(delta, self.fleet.now)
            if delta.requested:
                requested = self.view.requested_entries(delta.requested)
                self.fleet.send(other, lambda: other.view.receive(requested, self.fleet.now))

        self.fleet.send(self, on_delta)

    # Requests.

    def request(self, request: owner_messages.Request) -> owner_messages.Reply:
        """Carry out a coordinator's request."""
        now = self.fleet.now
        status = owner.FleetStatus(self.records(), self.view.has_quorum(now), self.view.dead_agents(now))
        after, reply = owner.handle_request(self.owner_state, now, request, self.fleet.rules, status)
        for name, record in after.records.items():
            if record.desired != self.owner_state.records[name].desired:
                self.fleet.timeline.at(
                    self.fleet.timeline.now + REPLACE_DELAY_MS, partial(self._replace, name, record.desired)
                )
        self.owner_state = after
        return reply

    def _replace(self, name: str, desired: DesiredState) -> None:
        """Have the successor of an instance start beside it, as real agents do."""
        record = self.owner_state.records[name]
        self.owner_state = owner.observe(
            self.owner_state, name, msgspec.structs.replace(record.observed, version=desired.version)
        )
        start_ms = self.fleet.random.uniform(*START_MS)

        def on_ready() -> None:
            observed = ObservedState(
                "ready",
                desired.build,
                desired.generation,
                desired.version,
                ready_at=self.fleet.now,
                requests=0,
                starts=2,
            )
            if self.owner_state.records[name].desired.version == desired.version:
                self.owner_state = owner.observe(self.owner_state, name, observed)

        self.fleet.timeline.at(self.fleet.timeline.now + start_ms, on_ready)

    # Coordinating.

    @property
    def has_ended(self) -> bool:
        """Tell whether the operation that this agent coordinates has ended."""
        return self.operation is not None and self.operation.phase.ended

    def advance_operation(self) -> None:
        """Take the operation that this agent coordinates a step further."""
        operation, fleet = self.operation, self.fleet
        if operation is None or operation.phase.ended or not self.alive:
            return
        now = fleet.now
        observation = FleetObservation(
            self.records(),
            fleet.permit_issuers,
            fleet.rules,
            self.view.dead_agents(now),
            self.view.has_quorum(now),
        )
        self.operation, requests = coordinator.advance(operation, now, observation)
        for request in requests:
            kind, instance = type(request.request).__name__, getattr(request.request, "instance", "")
            key = f"{request.agent} {kind} {instance}"
            if key not in self.pending_requests:
                self.pending_requests.add(key)
                fleet.timeline.at(
                    fleet.timeline.now + REQUEST_RETRY_MS, partial(self.pending_requests.discard, key)
                )
                other = fleet.agents[request.agent]
                fleet.send(other, partial(self._deliver_request, other, request, key))

    def _deliver_request(self, other: VirtualAgent, request: AgentRequest, key: str) -> None:
        reply = other.request(request.request)

        def on_reply() -> None:
            self.pending_requests.discard(key)
            if self.operation is not None:
                now = self.fleet.now
                self.operation = receive_reply(self.operation, now, request.agent, request.request, reply)

        self.fleet.send(self, on_reply)


class LargeFleet:
    """All agents of a run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        part = scenario.fleet or FleetPart()
        self.timeline, self.random = Timeline(), Random(f"fleet {seed}")
        self.rules = Rules(hold_s=part.hold_s, ready_within_s=part.ready_within_s, gossip_s=0.5)
        self.messages = 0
        names = [f"a{number:02d}" for number in range(part.agents)]
        per = scenario.ingresses.count // part.agents
        self.agents: dict[str, VirtualAgent] = {}
        self.permit_issuers = {FLEET: names[0]}
        for number, name in enumerate(names):
            hall = f"h{number % HALLS}"
            self.permit_issuers.setdefault(scope_of(hall), name)
            instances = [f"n{number * per + index:04d}" for index in range(per)]
            self.agents[name] = VirtualAgent(self, name, hall, instances)
        for agent in self.agents.values():
            agent.start(names)
        self.floor_broken = self.samples = 0

    @property
    def now(self) -> float:
        """Return the agents' time, s."""
        return EPOCH_S + self.timeline.now / 1000.0

    def every(self, ms: float, action: Callable[[], None]) -> None:
        """Do something periodically, with a random phase."""
        self.timeline.every(ms, self.random.random(), action)

    def send(self, to: VirtualAgent, action: Callable[[], None]) -> None:
        """Send a message; one to a dead agent is lost."""
        self.messages += 1

        def arrive() -> None:
            if to.alive:
                action()

        self.timeline.at(self.timeline.now + self.random.uniform(*DELAY_MS), arrive)

    def kill(self, number: int) -> None:
        """Kill an agent for good."""
        list(self.agents.values())[number].alive = False

    def sample(self) -> None:
        """Count this sample if a hall has too many instances down, whatever is reported of them."""
        down, size = dict[str, int](), dict[str, int]()
        for agent in self.agents.values():
            for record in agent.owner_state.records.values():
                size[record.hall] = size.get(record.hall, 0) + 1
                down[record.hall] = down.get(record.hall, 0) + (not record.observed.ready)
        self.samples += 1
        self.floor_broken += any(
            down[hall] > owner.max_down(size[hall], self.rules.down_share_hall) for hall in size
        )


def run(scenario: Scenario, seed: int, progress: Progress | None = None) -> Result:
    """Roll a large fleet to a new build; agents named in `fleet.kill` are killed for good."""
    part = scenario.fleet or FleetPart()
    started_cpu_s = time.process_time()
    fleet = LargeFleet(scenario, seed)
    timeline = fleet.timeline
    coordinator = fleet.agents[COORDINATOR]
    fleet.every(COORDINATION_MS, coordinator.advance_operation)
    fleet.every(SAMPLE_MS, fleet.sample)
    timeline.at(UPGRADE_AT_MS, partial(_start_upgrade, coordinator))
    for fault in part.kill:
        timeline.at(1000.0 * fault.at_s, partial(fleet.kill, fault.agent))
    end = 1000.0 * scenario.seconds
    while timeline.now < end and not coordinator.has_ended:
        timeline.run(min(end, timeline.now + PROGRESS_MS))
        if progress is not None:
            progress(timeline.now / 1000.0, Record())
    return _result(scenario, seed, fleet, time.process_time() - started_cpu_s)


def _start_upgrade(agent: VirtualAgent) -> None:
    """Plan an upgrade of all instances, in batches of a tenth."""
    records = tuple(agent.records().values())
    request = OperationRequest(
        "upgrade",
        Kind.UPGRADE,
        by="operator",
        coordinator=agent.name,
        at=agent.fleet.now,
        build="2",
        batch=max(1, len(records) // 10),
    )
    agent.operation = plan_operation(request, records)


def _result(scenario: Scenario, seed: int, fleet: LargeFleet, cpu_s: float) -> Result:
    operation = fleet.agents[COORDINATOR].operation
    result = Result(scenario.name, seed, scenario.seconds)
    result.instances = scenario.ingresses.count
    result.messages = fleet.messages
    result.hall_floor_broken = result.rules_broken = fleet.floor_broken
    result.peak_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    if operation is None or not operation.phase.ended:
        result.rules_broken += 1
        result.violations.append("the operation has not ended")
    else:
        result.roll_s = operation.ended_at - operation.at
        result.operations = {operation.id: f"{operation.phase.value} {operation.reason}".strip()}
        result.rolled = sum(instance.step is Step.DONE for instance in operation.instances)
        result.did_not_follow = len(operation.incomplete)
    result.gateway = {
        "cpu_s": cpu_s,
        "messages_per_instance": fleet.messages / max(1, result.instances),
    }
    return result
