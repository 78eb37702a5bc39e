"""What every agent knows of the fleet, spread by gossip, and who of the agents is dead, slow or well.

The gossip is that of `membership/anti_entropy.py`, with a digest of all: an agent's entry holds a heartbeat
that it raises at every round, and its instances and operations.

Whether an agent lives is judged by its beats, by whichever way they come (phi accrual: how unlikely so long a
pause is, given the pauses seen). A slow agent's beats come late and go on; a dead one's stop. Nothing is ever
done to another agent's instances, dead or not: the judgement only says what to wait for, and whether this
agent itself is cut off from most of the others.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from random import Random

import msgspec
from rpds import HashTrieMap

from wickspring.fleet.model import InstanceRecord, Operation, Rules
from wickspring.membership.anti_entropy import AntiEntropyTable, Delta, Entry
from wickspring.membership.failure_detector import PhiAccrualDetector

JUDGED_SHARE = 0.2  # of a round, for which a judgement holds


class Health(Enum):
    """How an agent is, as far as its beats tell."""

    ALIVE = "alive"
    SLOW = "slow"
    SUSPECT = "suspect"
    DEAD = "dead"
    UNHEARD = "unheard"  # of since this agent began


class Content(msgspec.Struct, frozen=True):
    """What an agent tells of itself."""

    records: tuple[InstanceRecord, ...] = ()
    operations: tuple[Operation, ...] = ()
    program: str = ""  # its version
    protocol: int = 1
    left: bool = False  # it was ended on purpose


AgentNews = Delta[Content]


class View(AntiEntropyTable[Content]):
    """One agent's view of all; `entries` is whole at every moment, for readers without a lock."""

    def __init__(self, agent: str, agents: Iterable[str], now: float, rules: Rules, seed: int = 0) -> None:
        self.agent, self.agents, self.rules = agent, tuple(sorted(agents)), rules
        self.random = Random(seed)
        self._pulses: dict[str, PhiAccrualDetector] = {}
        self._began = now
        self._records: HashTrieMap[str, InstanceRecord] | None = None
        self._judged_at, self._heard = -math.inf, 0
        self._dead: frozenset[str] = frozenset()
        self._whole: HashTrieMap[str, Entry[Content]] = HashTrieMap()
        super().__init__(agent, now, Content())

    def _put(self, entry: Entry[Content]) -> None:
        self._whole = self._whole.insert(entry.owner, entry)
        self.entries = self._whole
        self._records = None

    def accepts(self, name: str) -> bool:
        """Tell whether there is such an agent."""
        return name in self.agents

    # Rounds.

    def tick(self, content: Content) -> None:
        """Raise the own beat, with new content where it differs."""
        self.update_own(content)

    def peers(self, count: int = 2) -> list[str]:
        """Choose whom to talk to in this round."""
        others = [agent for agent in self.agents if agent != self.agent]
        return self.random.sample(others, min(count, len(others)))

    def hear(self, news: AgentNews, now: float) -> None:
        """Take entries in; each that is news is a beat of its agent."""
        for old, entry in self.merge(news.entries):
            pulse = self._pulses.get(entry.owner)
            if pulse is None or (old is not None and entry.incarnation > old.incarnation):
                self._pulses[entry.owner] = PhiAccrualDetector(now)
            else:
                pulse.record_heartbeat(now)

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
        return Health.SLOW if pulse.is_slow(self.rules.gossip_s) else Health.ALIVE

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

    def records(self) -> HashTrieMap[str, InstanceRecord]:
        """Return all instances as last told by their own agents."""
        if self._records is None:
            records: HashTrieMap[str, InstanceRecord] = HashTrieMap()
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
