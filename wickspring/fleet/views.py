"""What every agent knows of the fleet, spread by gossip, and who of the agents is dead, slow or well.

An agent's entry is its own to write: a beat that it raises at every round, and its instances and
operations under a content number that it raises when they change. Rounds are push and pull: a digest of
all beats goes to a peer, which returns what it has newer and names what it wants. So a change reaches n
agents in about log2 n rounds, and a beat costs a few bytes where nothing has changed.

Whether an agent lives is judged by its beats, by whichever way they come (phi accrual: how unlikely so long a
pause is, given the pauses seen). A slow agent's beats come late and go on; a dead one's stop. Nothing is ever
done to another agent's instances, dead or not: the judgement only says what to wait for, and whether this
agent itself is cut off from most of the others.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec
from rpds import HashTrieMap

from wickspring.fleet.model import Operation, Record, Rules

PAUSES = 20  # pauses between beats that the judgement remembers
LEAST_DEVIATION = 0.25  # of the mean pause: beats over a calm network come too evenly to judge by
JUDGED_SHARE = 0.2  # of a round, for which a judgement holds
SLOW_TIMES = 3.0  # the mean pause over the usual one from which an agent is called slow


class Health(Enum):
    """How an agent is, as far as its beats tell."""

    ALIVE = "alive"
    SLOW = "slow"
    SUSPECT = "suspect"
    DEAD = "dead"
    UNHEARD = "unheard"  # of since this agent began


class Content(msgspec.Struct, frozen=True):
    """What an agent tells of itself."""

    records: tuple[Record, ...] = ()
    operations: tuple[Operation, ...] = ()
    program: str = ""  # its version
    protocol: int = 1
    left: bool = False  # it was ended on purpose


class Entry(msgspec.Struct, frozen=True):
    """An agent's own word."""

    agent: str
    incarnation: float = 0.0  # when the agent began: a later one outdoes an earlier one's beats
    beat: int = 0
    number: int = 0  # of its content
    content: Content | None = Content()  # None where only the beat is told

    @property
    def newness(self) -> tuple[float, int]:
        """Compare entries of one agent by this."""
        return self.incarnation, self.beat


class Digest(msgspec.Struct, frozen=True):
    """What a round begins with: incarnation, beat and content number by agent."""

    sender: str
    heard: dict[str, tuple[float, int, int]]


class News(msgspec.Struct, frozen=True):
    """What a round answers with: entries that the other lacks, and the agents it has newer ones of."""

    entries: tuple[Entry, ...] = ()
    wants: tuple[str, ...] = ()


@dataclass(slots=True)
class Pulse:
    """The pauses between an agent's beats, by the hearer's own clock."""

    last: float
    pauses: deque[float] = field(default_factory=lambda: deque(maxlen=PAUSES))
    mean: float = 0.0
    deviation: float = 0.0

    def beat(self, now: float) -> None:
        """Note a beat."""
        self.pauses.append(max(0.0, now - self.last))
        self.last = now
        self.mean = sum(self.pauses) / len(self.pauses)
        variance = sum((pause - self.mean) ** 2 for pause in self.pauses) / len(self.pauses)
        self.deviation = math.sqrt(variance)

    def phi(self, now: float, usual: float) -> float:
        """Return -log10 of the chance that the next beat is still to come after so long a pause."""
        mean = max(usual, self.mean)
        deviation = max(self.deviation, LEAST_DEVIATION * mean) if self.pauses else mean
        late = (now - self.last - mean) / deviation
        if late <= 0.0:
            return 0.0
        # The normal distribution's tail, by a logistic curve that is close to it (Bowling, 2009).
        power = late * (1.5976 + 0.070565 * late * late)
        return power / math.log(10.0) if power > 30.0 else math.log10(1.0 + math.exp(power))

    def slow(self, usual: float) -> bool:
        """Tell whether its beats have been coming late."""
        return len(self.pauses) >= 3 and self.mean > SLOW_TIMES * usual


class View:
    """One agent's view of all; `entries` is whole at every moment, for readers without a lock."""

    def __init__(self, agent: str, agents: Iterable[str], now: float, rules: Rules, seed: int = 0) -> None:
        self.agent, self.agents, self.rules = agent, tuple(sorted(agents)), rules
        self.entries: HashTrieMap[str, Entry] = HashTrieMap({agent: Entry(agent, now)})
        self.random = Random(seed)
        self._pulses: dict[str, Pulse] = {}
        self._began = now
        self._records: HashTrieMap[str, Record] | None = None
        self._judged_at, self._heard = -math.inf, 0
        self._dead: frozenset[str] = frozenset()

    # Rounds.

    def tick(self, content: Content) -> None:
        """Raise the own beat, with new content where it differs."""
        own = self.entries[self.agent]
        number = own.number + (own.content != content)
        self._put(Entry(self.agent, own.incarnation, own.beat + 1, number, content))

    def peers(self, count: int = 2) -> list[str]:
        """Choose whom to talk to in this round."""
        others = [agent for agent in self.agents if agent != self.agent]
        return self.random.sample(others, min(count, len(others)))

    def digest(self) -> Digest:
        """Begin a round."""
        heard = {name: (one.incarnation, one.beat, one.number) for name, one in self.entries.items()}
        return Digest(self.agent, heard)

    def answer(self, digest: Digest) -> News:
        """Answer a digest."""
        news, wants = list[Entry](), list[str]()
        for name, own in self.entries.items():
            theirs = digest.heard.get(name)
            if theirs is None or own.newness > (theirs[0], theirs[1]):
                news.append(self._since(own, theirs))
        for name, (incarnation, beat, _) in digest.heard.items():
            mine = self.entries.get(name)
            if name in self.agents and (mine is None or (incarnation, beat) > mine.newness):
                wants.append(name)
        return News(tuple(news), tuple(wants))

    def follow(self, wants: Iterable[str]) -> News:
        """Send what the other wants."""
        entries = (self.entries.get(name) for name in wants)
        return News(tuple(one for one in entries if one is not None))

    @staticmethod
    def _since(own: Entry, theirs: tuple[float, int, int] | None) -> Entry:
        same = theirs is not None and theirs[0] == own.incarnation and theirs[2] == own.number
        return msgspec.structs.replace(own, content=None) if same else own

    def learn(self, news: News, now: float) -> None:
        """Take entries in; what is older than the own knowledge is passed over."""
        for entry in news.entries:
            if entry.agent == self.agent or entry.agent not in self.agents:
                continue
            old = self.entries.get(entry.agent)
            if old is not None and entry.newness <= old.newness:
                continue
            if entry.content is None:
                if old is None or (old.incarnation, old.number) != (entry.incarnation, entry.number):
                    continue  # a beat alone, and its content has not come this way yet
                entry = msgspec.structs.replace(entry, content=old.content)
            pulse = self._pulses.get(entry.agent)
            if pulse is None or (old is not None and entry.incarnation > old.incarnation):
                self._pulses[entry.agent] = Pulse(now)
            else:
                pulse.beat(now)
            self._put(entry)

    def _put(self, entry: Entry) -> None:
        self.entries = self.entries.insert(entry.agent, entry)
        self._records = None

    # Readings.

    def health(self, agent: str, now: float) -> Health:
        """Judge an agent by its beats."""
        if agent == self.agent:
            return Health.ALIVE
        pulse, entry = self._pulses.get(agent), self.entries.get(agent)
        if pulse is None or entry is None:
            return Health.UNHEARD
        if entry.content is not None and entry.content.left:
            return Health.DEAD
        phi = pulse.phi(now, self.rules.gossip_s)
        if phi >= self.rules.dead_phi:
            return Health.DEAD
        if phi >= self.rules.suspect_phi:
            return Health.SUSPECT
        return Health.SLOW if pulse.slow(self.rules.gossip_s) else Health.ALIVE

    def dead(self, now: float) -> frozenset[str]:
        """Return the agents that were heard of once and are not any more."""
        self._judge(now)
        return self._dead

    def quorum(self, now: float) -> bool:
        """Tell whether this agent hears more than half of all; one that does not begins nothing new."""
        self._judge(now)
        return 2 * self._heard > len(self.agents)

    def _judge(self, now: float) -> None:
        """Judge all agents, a few times a round: everything that is asked for needs it."""
        if 0.0 <= now - self._judged_at < JUDGED_SHARE * self.rules.gossip_s:
            return
        healths = {agent: self.health(agent, now) for agent in self.agents}
        self._judged_at = now
        self._dead = frozenset(agent for agent, health in healths.items() if health is Health.DEAD)
        self._heard = sum(health not in (Health.DEAD, Health.UNHEARD) for health in healths.values())

    def records(self) -> HashTrieMap[str, Record]:
        """Return all instances as last told by their own agents."""
        if self._records is None:
            records: HashTrieMap[str, Record] = HashTrieMap()
            for entry in self.entries.values():
                for record in entry.content.records if entry.content is not None else ():
                    records = records.insert(record.name, record)
            self._records = records
        return self._records

    def operations(self) -> list[Operation]:
        """Return all operations that coordinators tell of, the latest first."""
        found = [
            operation
            for entry in self.entries.values()
            for operation in (entry.content.operations if entry.content is not None else ())
        ]
        return sorted(found, key=lambda operation: operation.at, reverse=True)
