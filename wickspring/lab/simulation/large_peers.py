"""Hundreds of ingresses that talk, in virtual time: real parties, rights, counts and judgements, no socket.

Requests are simpler than on sockets: each goes to a ticket server near its ingress (`routing/aperture.py`),
or now and then to any; a bad one fails it, and it is sent on again where a right to retry can be had. Talks
take a while, and are lost where the scenario cuts the path. Their bytes are those of the lines that links
would carry.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from wickspring import interface as api
from wickspring.config import Bounds, build_settings, flatten
from wickspring.lab.emulation.peer_ingresses import SAMPLE_S, middle_and_ninth
from wickspring.lab.emulation.site import Progress
from wickspring.lab.experiments.evaluate import peak
from wickspring.lab.experiments.scenario import Scenario, parties
from wickspring.lab.reports.record import Record
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation.timeline import Timeline
from wickspring.lab.traffic import schedule as scripts
from wickspring.peer_state.messages import PeerInfo, PeerMessage
from wickspring.peer_state.participant import Participant
from wickspring.peer_state.shares import Shares
from wickspring.routing.aperture import subset

BASE = 1_000_000_000.0  # ms; the ingresses' clock at the beginning
HOP_MS = (0.3, 3.0)
LOST_MS = 800.0  # until an exchange without an answer is given up
WINDOW_MS = 4000.0  # of every customer
FAR = 0.1  # share of the requests that go to any server
MATES_MS, JUDGE_MS = 150.0, 250.0  # between looks at mates, and at hearsay
HELPERS_MS = 50.0
SECOND = 1000.0


class VirtualIngress:
    """One ingress."""

    def __init__(self, fleet: LargePeers, number: int, settings: api.Settings) -> None:
        scenario = fleet.scenario
        self.fleet, self.number, self.name = fleet, number, f"n{number:04d}"
        bounds = scenario.peers.budgets if scenario.peers.enabled else Bounds()
        shares = Shares(settings, bounds, BASE, BASE - 60_000.0, number, scenario.peers.counts)
        hall = f"hall-{number % scenario.servers.halls}"
        about = PeerInfo(f"at-{number}", hall=hall, slot=number, slots=scenario.ingresses.count)
        self.participant = Participant(
            self.name, about, shares, fleet.now, round_s=scenario.peers.round_s, seed=fleet.seed + number
        )
        self.subset = subset(fleet.servers, number, scenario.ingresses.count)
        self.given = 0  # bytes
        self.shunned: dict[api.ServerId, float] = {}
        self.learnt: dict[api.ServerId, float] = {}  # when a bad server was known here, ms of the run
        if scenario.peers.enabled:
            fleet.every(SECOND * scenario.peers.round_s, self._round)
            fleet.every(MATES_MS, self._mates)
        if scenario.peers.enabled and scenario.peers.judgements:
            fleet.every(JUDGE_MS, self._judge)

    # Talks.

    def _round(self) -> None:
        self.participant.tick(self.fleet.now)
        target = self.participant.members.next_probe_target()
        if self.participant.should_contact_seed(target):
            self.talk(self.fleet.seed_of(self.number), True)
        if target is not None:
            self._probe(target, True)

    def _mates(self) -> None:
        for name in self.participant.due_peers(self.fleet.now):
            self._probe(name, False)
        for name in self.participant.lenders(self.fleet.now)[:1]:
            self.talk(name, False)
        self.participant.shares.expire(self.fleet.now)

    def _judge(self) -> None:
        fleet, now = self.fleet, self.fleet.now
        avoid = self.participant.evaluate_servers(now, fleet.started)
        for server, until in avoid.servers if avoid is not None else ():
            self.shunned[server] = until
            self.learnt.setdefault(server, fleet.timeline.now)
            fleet.wrong += server not in fleet.bad
        fleet.looked += len(fleet.servers)
        for name in self.participant.take_urgent_receivers():
            self.talk(name, True)

    def _probe(self, name: str, gossip: bool) -> None:
        if self.talk(name, gossip):
            return
        fleet, members = self.fleet, self.participant.members

        def asked() -> None:
            helpers = members.select_helpers(name)
            if any(fleet.reaches(self.name, one) and fleet.reaches(one, name) for one in helpers):
                members.record_indirect_contact(name)
            else:
                members.suspect(name)

        fleet.timeline.at(fleet.timeline.now + LOST_MS + HELPERS_MS, asked)

    def talk(self, name: str, gossip: bool) -> bool:
        """Make one talk; False where it is lost."""
        fleet = self.fleet
        message = self.participant.message_to(
            fleet.now, name if self.participant.members.info_of(name) else "", gossip
        )
        self.given += len(msgspec.json.encode(message)) + 1
        if not fleet.reaches(self.name, name):
            fleet.timeline.at(
                fleet.timeline.now + LOST_MS, partial(self.participant.on_message_lost, name, message)
            )
            return False
        fleet.timeline.at(fleet.timeline.now + fleet.hop(), partial(fleet.find(name).answer, self, message))
        return True

    def answer(self, other: VirtualIngress, message: PeerMessage, quiet: bool = False) -> None:
        """Answer another's message; `quiet`: of that nothing is to be made."""
        fleet = self.fleet
        reply = self.participant.answer(fleet.now, message)
        self.given += len(msgspec.json.encode(reply)) + 1
        if reply.message is not None and not quiet and fleet.reaches(self.name, other.name):
            fleet.timeline.at(
                fleet.timeline.now + fleet.hop(),
                partial(other.heard, self, message, reply.message, reply.requested),
            )

    def heard(
        self, other: VirtualIngress, message: PeerMessage, answer: PeerMessage, requested: tuple[str, ...]
    ) -> None:
        """Take an answer in."""
        fleet = self.fleet
        self.participant.on_reply(fleet.now, answer)
        if requested:
            entries = self.participant.requested_entries(message, requested)
            self.given += len(msgspec.json.encode(entries)) + 1
            heard = partial(other.answer, self, entries, quiet=True)
            fleet.timeline.at(fleet.timeline.now + fleet.hop(), heard)

    # Requests.

    def request(self, firm: scripts.Firm, units: int) -> None:
        """Send a firm's request on, again where it fails and there is a right to."""
        fleet, now = self.fleet, self.fleet.now
        window = int(now / WINDOW_MS)
        until = (window + 1) * WINDOW_MS
        self.participant.shares.record_usage(
            firm.customer, window, float(units), until, firm.first, firm.spread
        )
        for attempt in range(3):
            if attempt and not self.participant.shares.take(now, "retries"):
                break
            fleet.spends += [now] if attempt else []
            server = self._choose(now)
            good = server not in fleet.bad
            self.participant.shares.record_outcome(now, server, 0.0, good)
            if good:
                fleet.served += 1
                return
            self.shunned[server] = now + 2.0 * SECOND
            self.learnt.setdefault(server, fleet.timeline.now)
        fleet.failed += 1

    def _choose(self, now: float) -> api.ServerId:
        random = self.fleet.random
        servers = self.fleet.servers if random.random() < FAR else self.subset
        for _ in range(8):
            server = random.choice(servers)
            if self.shunned.get(server, 0.0) <= now:
                break
        return server


class LargePeers:
    """All ingresses of a run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.timeline, self.random = Timeline(), Random(f"peers {seed}")
        count = scenario.ingresses.count
        self.servers = [f"s-{number}".encode() for number in range(scenario.servers.count)]
        self.started = dict.fromkeys(self.servers, 0.0)
        self.bad: set[api.ServerId] = set()
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.served = self.failed = self.wrong = self.looked = 0
        self.spends: list[float] = []
        self.script = scripts.draw_script(msgspec.structs.replace(scenario, seconds=0.001), seed)
        self.ingresses = [
            VirtualIngress(self, number, _settings(scenario, self.script, number)) for number in range(count)
        ]
        self._by_name = {one.name: one for one in self.ingresses}

    @property
    def now(self) -> float:
        """Return the ingresses' time, ms."""
        return BASE + self.timeline.now

    def find(self, name: str) -> VirtualIngress:
        """Return an ingress by its name."""
        return self._by_name[name]

    def seed_of(self, number: int) -> str:
        """Return a seed of the configuration: one of three."""
        seeds = [one for one in (0, 1, self.scenario.ingresses.count - 1) if one != number]
        return f"n{self.random.choice(seeds):04d}"

    def hop(self) -> float:
        """Return what a message takes, ms."""
        return self.random.uniform(*HOP_MS)

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether a talk from one to another comes about: messages and answers must get through."""
        for sources, targets in self.cuts:
            if (one in sources and other in targets) or (other in sources and one in targets):
                return False
        return True

    def every(self, ms: float, action: Callable[[], None]) -> None:
        """Do something again and again, from a moment drawn, out of step."""
        self.timeline.every(ms, self.random.random(), action, self.random)

    def load(self) -> None:
        """Have requests come at the scenario's rate."""
        firms, clients = self.script.firms, self.scenario.clients

        def come() -> None:
            firm = self.random.choice(firms)
            place = (firm.first + self.random.randrange(firm.spread)) % len(self.ingresses)
            self.ingresses[place].request(firm, self.random.randint(1, clients.most_units))
            self.timeline.at(self.timeline.now + self.random.expovariate(clients.rate / SECOND), come)

        self.timeline.at(0.0, come)

    def faults(self) -> None:
        """Have the scenario's faults come at their times."""
        for fault in self.scenario.fault:
            names = {f"s-{number}".encode() for number in fault.servers}
            self.timeline.at(SECOND * fault.at_s, partial(self.bad.update, names))
            end = SECOND * (fault.at_s + fault.for_s)
            self.timeline.at(end, partial(self.bad.difference_update, names))
        for net in self.scenario.net:
            sources = frozenset(f"n{int(name[1:]):04d}" for name in parties(self.scenario, net.source))
            targets = frozenset(f"n{int(name[1:]):04d}" for name in parties(self.scenario, net.target))
            cut = (sources, targets)  # one way too takes words or answers away
            for turn in range(net.times):
                at = SECOND * (net.at_s + turn * (net.for_s + net.off_s))
                self.timeline.at(at, partial(self.cuts.append, cut))
                self.timeline.at(at + SECOND * net.for_s, partial(self.cuts.remove, cut))


def _settings(scenario: Scenario, script: scripts.Script, number: int) -> api.Settings:
    return build_settings(flatten(scripts.gateway_settings(scenario, script, number)), number)


def run(scenario: Scenario, seed: int, progress: Progress | None) -> Result:
    """Run a scenario of kind `virtual-peers`; where its ingresses talk, once more without that."""
    result = _run(scenario, seed, progress)
    if scenario.peers.enabled:
        off = msgspec.structs.replace(scenario.peers, enabled=False)
        alone = _run(msgspec.structs.replace(scenario, peers=off), seed, None)
        result.served_share_alone, result.judged_alone_s = alone.served_share, alone.judged_worst_s
    return result


def _run(scenario: Scenario, seed: int, progress: Progress | None) -> Result:
    began = time.process_time()
    fleet = LargePeers(scenario, seed)
    fleet.load()
    fleet.faults()
    if progress is not None:
        fleet.every(SECOND * SAMPLE_S, lambda: progress(fleet.timeline.now / SECOND, Record()))
    fleet.timeline.run(SECOND * scenario.seconds)
    result = Result(scenario.name, seed, scenario.seconds)
    result.requests, result.served, result.failed = fleet.served + fleet.failed, fleet.served, fleet.failed
    result.served_share = fleet.served / max(1, result.requests)
    result.ingresses = result.instances = len(fleet.ingresses)
    given = [one.given / scenario.seconds for one in fleet.ingresses]
    result.peer_bytes_s = sum(given) / len(given)
    result.judged_wrong_share = fleet.wrong / max(1, fleet.looked)
    result.judged_s, result.judged_worst_s = _judged(fleet)
    bound = scenario.peers.budgets.retries_per_s
    if bound and scenario.peers.enabled:
        result.budget_overspent_worst = max(0.0, peak(fleet.spends, closed=False) / bound - 1.0)
    known = [len(ingress.participant.members.entries) for ingress in fleet.ingresses]
    if scenario.peers.enabled and min(known) < len(fleet.ingresses):
        result.violations.append(f"members: one knows {min(known)} of {len(fleet.ingresses)}")
    if result.budget_overspent_worst > 0:
        result.violations.append(f"budget: retries passed by {result.budget_overspent_worst:.3f}")
    result.rules_broken = len(result.violations)
    result.cpu_ms_per_request = SECOND * (time.process_time() - began) / max(1, result.requests)
    result.peak_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result


def _judged(fleet: LargePeers) -> tuple[float, float]:
    took = []
    for fault in fleet.scenario.fault:
        begin, end = SECOND * fault.at_s, SECOND * (fault.at_s + fault.for_s)
        for number in fault.servers:
            for one in fleet.ingresses:
                at = one.learnt.get(f"s-{number}".encode(), end)
                took.append((min(max(at, begin), end) - begin) / SECOND)
    return middle_and_ninth(took)
