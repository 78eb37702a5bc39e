"""Hundreds of ingresses that exchange state, in virtual time: the real participants and shares, no socket.

Requests are simpler than on sockets: each goes to a ticket server near its ingress (`routing/aperture.py`),
or now and then to any; a failing server fails it, and it is sent again if a right to retry is to be had.
Exchanges take a while, and are lost where the scenario cuts the path. Their bytes are those of the lines that
links would carry.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.config import build_settings
from wickspring.lab.emulation.peer_ingresses import SAMPLE_S, median_and_p90
from wickspring.lab.emulation.site import Progress
from wickspring.lab.experiments.evaluate import peak
from wickspring.lab.experiments.scenario import NetFault, Scenario, parties
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation.timeline import Timeline
from wickspring.lab.traffic import schedule
from wickspring.peer_state.messages import PeerInfo, PeerMessage
from wickspring.peer_state.participant import Participant, ParticipantSettings
from wickspring.peer_state.shares import Shares
from wickspring.routing.aperture import subset
from wickspring.settings.pairs import flatten
from wickspring.settings.peers_file import Bounds

MS_PER_S = 1000.0
EPOCH_MS = 1_000_000_000.0  # the ingresses' clock at the beginning
AGE_MS = 60_000.0  # of each ingress at the beginning
DELAY_MS = (0.3, 3.0)  # of a message, drawn evenly
EXCHANGE_TIMEOUT_MS = 800.0
INDIRECT_PROBE_MS = 50.0
QUOTA_WINDOW_MS = 4000.0
ANY_SERVER_SHARE = 0.1  # of the requests, that go to any server
PEERS_INTERVAL_MS = 150.0  # between looks for peers that an exchange is due with
EVALUATION_INTERVAL_MS = 250.0  # between evaluations of what other ingresses report of servers
MAX_ATTEMPTS = 3
MAX_SERVER_DRAWS = 8  # for one attempt, to find a server that is not avoided
AVOID_MS = 2000.0  # for which an ingress avoids a server that failed it


class VirtualIngress:
    """One ingress."""

    def __init__(self, fleet: LargePeers, number: int, settings: api.Settings) -> None:
        scenario = fleet.scenario
        self.fleet = fleet
        self.number = number
        self.name = f"n{number:04d}"
        bounds = scenario.peers.budgets if scenario.peers.enabled else Bounds()
        shares = Shares(settings, bounds, EPOCH_MS, EPOCH_MS - AGE_MS, number, scenario.peers.counts)
        hall = f"hall-{number % scenario.servers.halls}"
        info = PeerInfo(f"at-{number}", hall=hall, slot=number, slots=scenario.ingresses.count)
        participant_settings = ParticipantSettings(scenario.peers.round_s, fleet.seed + number)
        self.participant = Participant(self.name, info, shares, fleet.now, participant_settings)
        self.subset = subset(fleet.servers, number, scenario.ingresses.count)
        self.bytes_sent = 0
        self.avoided_until: dict[api.ServerId, float] = {}  # ms, by its own clock
        self.detected_at: dict[api.ServerId, float] = {}  # ms of the run, of servers that it found failing
        if scenario.peers.enabled:
            fleet.every(MS_PER_S * scenario.peers.round_s, self._gossip)
            fleet.every(PEERS_INTERVAL_MS, self._contact_peers)
        if scenario.peers.enabled and scenario.peers.judgements:
            fleet.every(EVALUATION_INTERVAL_MS, self._evaluate_servers)

    # Exchanges.

    def _gossip(self) -> None:
        """Do one round of gossip: with a seed if need be, and with the next member to be probed."""
        self.participant.tick(self.fleet.now)
        target = self.participant.members.next_probe_target()
        if self.participant.should_contact_seed(target):
            self.exchange(self.fleet.draw_seed_of(self.number), True)
        if target is not None:
            self._probe(target, True)

    def _contact_peers(self) -> None:
        for name in self.participant.due_peers(self.fleet.now):
            self._probe(name, False)
        for name in self.participant.lenders(self.fleet.now)[:1]:
            self.exchange(name, False)
        self.participant.shares.expire(self.fleet.now)

    def _evaluate_servers(self) -> None:
        """Avoid the servers that enough other ingresses report, and pass on what is urgent."""
        fleet, now = self.fleet, self.fleet.now
        avoid = self.participant.evaluate_servers(now, fleet.started)
        for server, until in avoid.servers if avoid is not None else ():
            self.avoided_until[server] = until
            self.detected_at.setdefault(server, fleet.timeline.now)
            fleet.wrongly_avoided += server not in fleet.failing
        fleet.evaluated += len(fleet.servers)
        for name in self.participant.take_urgent_receivers():
            self.exchange(name, True)

    def _probe(self, name: str, gossip: bool) -> None:
        """Exchange state with another; where that is lost, probe it through helpers."""
        if self.exchange(name, gossip):
            return
        fleet = self.fleet
        at = fleet.timeline.now + EXCHANGE_TIMEOUT_MS + INDIRECT_PROBE_MS
        fleet.timeline.at(at, partial(self._probe_indirectly, name))

    def _probe_indirectly(self, name: str) -> None:
        fleet, members = self.fleet, self.participant.members
        helpers = members.select_helpers(name)
        if any(fleet.reaches(self.name, one) and fleet.reaches(one, name) for one in helpers):
            members.record_indirect_contact(name)
        else:
            members.suspect(name)

    def exchange(self, name: str, gossip: bool) -> bool:
        """Exchange state with another; False where the message or the answer is lost."""
        fleet = self.fleet
        known_name = name if self.participant.members.info_of(name) else ""
        message = self.participant.message_to(fleet.now, known_name, gossip)
        self.bytes_sent += _line_length(message)
        if not fleet.reaches(self.name, name):
            on_lost = partial(self.participant.on_message_lost, name, message)
            fleet.timeline.at(fleet.timeline.now + EXCHANGE_TIMEOUT_MS, on_lost)
            return False
        fleet.deliver(partial(fleet.find(name).answer, self, message))
        return True

    def answer(self, other: VirtualIngress, message: PeerMessage, reply_is_ignored: bool = False) -> None:
        """Answer another's message."""
        fleet = self.fleet
        reply = self.participant.answer(fleet.now, message)
        self.bytes_sent += _line_length(reply)
        if reply.message is None or reply_is_ignored or not fleet.reaches(self.name, other.name):
            return
        fleet.deliver(partial(other.on_answer, self, message, reply.message, reply.requested))

    def on_answer(
        self, other: VirtualIngress, message: PeerMessage, answer: PeerMessage, requested: tuple[str, ...]
    ) -> None:
        """Apply the answer to a message of this ingress, and send the entries that it requests."""
        self.participant.on_reply(self.fleet.now, answer)
        if requested:
            entries = self.participant.requested_entries(message, requested)
            self.bytes_sent += _line_length(entries)
            self.fleet.deliver(partial(other.answer, self, entries, reply_is_ignored=True))

    # Requests.

    def forward(self, firm: schedule.Firm, units: int) -> None:
        """Forward a firm's request, again where it fails and a right to retry is to be had."""
        fleet, now = self.fleet, self.fleet.now
        window = int(now / QUOTA_WINDOW_MS)
        window_end = (window + 1) * QUOTA_WINDOW_MS
        self.participant.shares.record_usage(
            firm.customer, window, float(units), window_end, firm.first, firm.spread
        )
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.participant.shares.take(now, "retries"):
                break
            if attempt:
                fleet.retried_at.append(now)
            server = self._choose_server(now)
            has_succeeded = server not in fleet.failing
            self.participant.shares.record_outcome(now, server, 0.0, has_succeeded)
            if has_succeeded:
                fleet.served += 1
                return
            self.avoided_until[server] = now + AVOID_MS
            self.detected_at.setdefault(server, fleet.timeline.now)
        fleet.failed += 1

    def _choose_server(self, now: float) -> api.ServerId:
        random = self.fleet.random
        servers = self.fleet.servers if random.random() < ANY_SERVER_SHARE else self.subset
        for _ in range(MAX_SERVER_DRAWS):
            server = random.choice(servers)
            if self.avoided_until.get(server, 0.0) <= now:
                break
        return server


class LargePeers:
    """All ingresses of a run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.timeline = Timeline()
        self.random = Random(f"peers {seed}")
        self.servers = [f"s-{number}".encode() for number in range(scenario.servers.count)]
        self.started = dict.fromkeys(self.servers, 0.0)
        self.failing: set[api.ServerId] = set()
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []  # sources and targets
        self.served = 0
        self.failed = 0
        self.wrongly_avoided = 0  # servers, over all evaluations
        self.evaluated = 0  # servers, over all evaluations
        self.retried_at: list[float] = []  # ms, by the ingresses' clock
        self.script = schedule.draw_script(msgspec.structs.replace(scenario, seconds=0.001), seed)
        self.ingresses = [
            VirtualIngress(self, number, _settings(scenario, self.script, number))
            for number in range(scenario.ingresses.count)
        ]
        self._by_name = {ingress.name: ingress for ingress in self.ingresses}

    @property
    def now(self) -> float:
        """Return the ingresses' time, ms."""
        return EPOCH_MS + self.timeline.now

    def find(self, name: str) -> VirtualIngress:
        """Return an ingress by its name."""
        return self._by_name[name]

    def draw_seed_of(self, number: int) -> str:
        """Return a seed of an ingress's configuration: the first, the second or the last ingress."""
        seeds = [one for one in (0, 1, self.scenario.ingresses.count - 1) if one != number]
        return f"n{self.random.choice(seeds):04d}"

    def deliver(self, on_arrival: Callable[[], None]) -> None:
        """Deliver a message after a delay."""
        self.timeline.at(self.timeline.now + self.random.uniform(*DELAY_MS), on_arrival)

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether an exchange between two succeeds: message and answer must both get through."""
        for sources, targets in self.cuts:
            if (one in sources and other in targets) or (other in sources and one in targets):
                return False
        return True

    def every(self, interval_ms: float, action: Callable[[], None]) -> None:
        """Do something periodically, with a random phase and jitter."""
        self.timeline.every(interval_ms, self.random.random(), action, self.random)

    def start_load(self) -> None:
        """Have requests come at the scenario's rate."""
        firms, clients = self.script.firms, self.scenario.clients

        def send_request() -> None:
            firm = self.random.choice(firms)
            number = (firm.first + self.random.randrange(firm.spread)) % len(self.ingresses)
            self.ingresses[number].forward(firm, self.random.randint(1, clients.most_units))
            pause_ms = self.random.expovariate(clients.rate / MS_PER_S)
            self.timeline.at(self.timeline.now + pause_ms, send_request)

        self.timeline.at(0.0, send_request)

    def schedule_faults(self) -> None:
        """Schedule the scenario's faults of servers and of the network."""
        for fault in self.scenario.fault:
            servers = {f"s-{number}".encode() for number in fault.servers}
            end_ms = MS_PER_S * (fault.at_s + fault.for_s)
            self.timeline.at(MS_PER_S * fault.at_s, partial(self.failing.update, servers))
            self.timeline.at(end_ms, partial(self.failing.difference_update, servers))
        for net_fault in self.scenario.net:
            self._schedule_cuts(net_fault)

    def _schedule_cuts(self, fault: NetFault) -> None:
        """Schedule the cuts of a fault; one of a single direction loses answers, and so acts as both."""
        cut = (
            _ingress_names(parties(self.scenario, fault.source)),
            _ingress_names(parties(self.scenario, fault.target)),
        )
        for number in range(fault.times):
            start_ms = MS_PER_S * (fault.at_s + number * (fault.for_s + fault.off_s))
            self.timeline.at(start_ms, partial(self.cuts.append, cut))
            self.timeline.at(start_ms + MS_PER_S * fault.for_s, partial(self.cuts.remove, cut))


def _ingress_names(parties_of_fault: Iterable[str]) -> frozenset[str]:
    """Return the names of ingresses here, from those that scenarios use (`n7`)."""
    return frozenset(f"n{int(name[1:]):04d}" for name in parties_of_fault)


def _line_length(message: object) -> int:
    """Return the bytes of a message's line, with the end of line."""
    return len(msgspec.json.encode(message)) + 1


def _settings(scenario: Scenario, script: schedule.Script, number: int) -> api.Settings:
    return build_settings(flatten(schedule.gateway_settings(scenario, script, number)), number)


def run(scenario: Scenario, seed: int, progress: Progress | None) -> Result:
    """Run a scenario of kind `virtual-peers`; where its ingresses exchange state, once more without that."""
    result = _run(scenario, seed, progress)
    if scenario.peers.enabled:
        peers_off = msgspec.structs.replace(scenario.peers, enabled=False)
        alone = _run(msgspec.structs.replace(scenario, peers=peers_off), seed, None)
        result.served_share_alone = alone.served_share
        result.judged_alone_s = alone.judged_worst_s
    return result


def _run(scenario: Scenario, seed: int, progress: Progress | None) -> Result:
    started_cpu_s = time.process_time()
    fleet = LargePeers(scenario, seed)
    fleet.start_load()
    fleet.schedule_faults()
    if progress is not None:
        fleet.every(MS_PER_S * SAMPLE_S, lambda: progress(fleet.timeline.now / MS_PER_S, Record()))
    fleet.timeline.run(MS_PER_S * scenario.seconds)
    result = Result(scenario.name, seed, scenario.seconds)
    _add_figures(result, fleet)
    _add_violations(result, fleet)
    cpu_ms = MS_PER_S * (time.process_time() - started_cpu_s)
    result.cpu_ms_per_request = cpu_ms / max(1, result.requests)
    result.peak_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result


def _add_figures(result: Result, fleet: LargePeers) -> None:
    """Add what became of requests, and the cost and use of exchanges."""
    result.requests = fleet.served + fleet.failed
    result.served = fleet.served
    result.failed = fleet.failed
    result.served_share = fleet.served / max(1, result.requests)
    result.ingresses = result.instances = len(fleet.ingresses)
    bytes_s = [ingress.bytes_sent / fleet.scenario.seconds for ingress in fleet.ingresses]
    result.peer_bytes_s = sum(bytes_s) / len(bytes_s)
    result.judged_wrong_share = fleet.wrongly_avoided / max(1, fleet.evaluated)
    result.judged_s, result.judged_worst_s = median_and_p90(_detection_times_s(fleet))


def _add_violations(result: Result, fleet: LargePeers) -> None:
    """Add an overspent budget of retries, and ingresses that do not know all others."""
    peers = fleet.scenario.peers
    if not peers.enabled:
        return
    if peers.budgets.retries_per_s:
        spent = peak(fleet.retried_at, closed=False)
        result.budget_overspent_worst = max(0.0, spent / peers.budgets.retries_per_s - 1.0)
    known = min(len(ingress.participant.members.entries) for ingress in fleet.ingresses)
    if known < len(fleet.ingresses):
        result.violations.append(f"members: one knows {known} of {len(fleet.ingresses)}")
    if result.budget_overspent_worst > 0:
        result.violations.append(f"budget: retries passed by {result.budget_overspent_worst:.3f}")
    result.rules_broken = len(result.violations)


def _detection_times_s(fleet: LargePeers) -> list[float]:
    """Return for each failing server and each ingress when it was detected, at most the fault's end."""
    times_s = []
    for fault in fleet.scenario.fault:
        start_ms = MS_PER_S * fault.at_s
        end_ms = MS_PER_S * (fault.at_s + fault.for_s)
        for number in fault.servers:
            for ingress in fleet.ingresses:
                detected_at = ingress.detected_at.get(f"s-{number}".encode(), end_ms)
                times_s.append((min(max(detected_at, start_ms), end_ms) - start_ms) / MS_PER_S)
    return times_s
