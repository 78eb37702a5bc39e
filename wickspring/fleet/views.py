"""What every agent knows of the fleet, spread by gossip, and which agents are alive, slow or dead; no I/O.

The gossip is that of `membership/anti_entropy.py`, with a digest of all agents: an agent's entry holds a
heartbeat that it raises in every round, and its instances and operations.

An agent's health is judged by its heartbeats, by whichever way they come (phi accrual: how unlikely so long
a pause is, given earlier pauses). A slow agent's heartbeats come late and go on; a dead agent's stop. Nothing
is ever done to another agent's instances, dead or not: the judgement only says what to wait for, and whether
this agent itself is cut off from most of the others. Times are Unix seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import TypeAlias

import msgspec
from rpds import HashTrieMap

from wickspring.fleet.model import InstanceRecord, Operation, Rules
from wickspring.membership.anti_entropy import AntiEntropyTable, Delta, Entry
from wickspring.membership.failure_detector import PhiAccrualDetector

GOSSIP_FANOUT = 2  # agents that each round of gossip goes to
JUDGEMENT_LIFETIME = 0.2  # of a round, for which a judgement of all agents is used again


class Health(Enum):
    """How an agent is, as far as its heartbeats tell."""

    ALIVE = "alive"
    SLOW = "slow"
    SUSPECT = "suspect"
    DEAD = "dead"
    UNKNOWN = "unheard"  # no heartbeat since this agent started


class AgentContent(msgspec.Struct, frozen=True):
    """What an agent publishes of itself."""

    records: tuple[InstanceRecord, ...] = ()
    operations: tuple[Operation, ...] = ()
    program: str = ""  # its version
    protocol: int = 1
    left: bool = False  # it was ended on purpose


AgentDelta: TypeAlias = Delta[AgentContent]


class FleetView(AntiEntropyTable[AgentContent]):
    """One agent's view of all; `entries` is complete at every moment, for readers without a lock."""

    def __init__(self, agent: str, agents: Iterable[str], now: float, rules: Rules, seed: int = 0) -> None:
        self.agent = agent
        self.agents = tuple(sorted(agents))
        self.rules = rules
        self.random = Random(seed)
        self._detectors: dict[str, PhiAccrualDetector] = {}
        self._records: HashTrieMap[str, InstanceRecord] | None = None
        self._judged_at = -math.inf
        self._reporting = 0  # agents that are neither dead nor unknown
        self._dead: frozenset[str] = frozenset()
        self._all_entries: HashTrieMap[str, Entry[AgentContent]] = HashTrieMap()
        super().__init__(agent, now, AgentContent())

    def _put(self, entry: Entry[AgentContent]) -> None:
        self._all_entries = self._all_entries.insert(entry.owner, entry)
        self.entries = self._all_entries
        self._records = None

    def accepts(self, name: str) -> bool:
        """Tell whether there is such an agent."""
        return name in self.agents

    # Rounds of gossip.

    def publish(self, content: AgentContent) -> None:
        """Raise the own heartbeat, with new content where it differs."""
        self.update_own(content)

    def choose_peers(self, count: int = GOSSIP_FANOUT) -> list[str]:
        """Choose the agents that a round of gossip goes to, at random."""
        others = [agent for agent in self.agents if agent != self.agent]
        return self.random.sample(others, min(count, len(others)))

    def receive(self, delta: AgentDelta, now: float) -> None:
        """Merge entries; each that is newer than the known one counts as a heartbeat of its agent."""
        for old, entry in self.merge(delta.entries):
            detector = self._detectors.get(entry.owner)
            if detector is None or (old is not None and entry.incarnation > old.incarnation):
                self._detectors[entry.owner] = PhiAccrualDetector(now)
            else:
                detector.record_heartbeat(now)

    # Health.

    def health(self, agent: str, now: float) -> Health:
        """Judge an agent by its heartbeats."""
        if agent == self.agent:
            return Health.ALIVE
        detector, entry = self._detectors.get(agent), self.entries.get(agent)
        if detector is None or entry is None:
            return Health.UNKNOWN
        if entry.content is not None and entry.content.left:
            return Health.DEAD
        phi = detector.phi(now, self.rules.gossip_s)
        if phi >= self.rules.dead_phi:
            return Health.DEAD
        if phi >= self.rules.suspect_phi:
            return Health.SUSPECT
        return Health.SLOW if detector.is_slow(self.rules.gossip_s) else Health.ALIVE

    def dead_agents(self, now: float) -> frozenset[str]:
        """Return the agents whose heartbeats have stopped."""
        self._judge(now)
        return self._dead

    def has_quorum(self, now: float) -> bool:
        """Tell whether more than half of all agents report; without them an agent begins nothing new."""
        self._judge(now)
        return 2 * self._reporting > len(self.agents)

    def _judge(self, now: float) -> None:
        """Judge all agents, at most a few times in each round."""
        if 0.0 <= now - self._judged_at < JUDGEMENT_LIFETIME * self.rules.gossip_s:
            return
        healths = {agent: self.health(agent, now) for agent in self.agents}
        self._judged_at = now
        self._dead = frozenset(agent for agent, health in healths.items() if health is Health.DEAD)
        self._reporting = sum(health not in (Health.DEAD, Health.UNKNOWN) for health in healths.values())

    # Contents.

    def records(self) -> HashTrieMap[str, InstanceRecord]:
        """Return all instances as last reported by the agents that own them."""
        if self._records is None:
            records: HashTrieMap[str, InstanceRecord] = HashTrieMap()
            for content in self._contents():
                for record in content.records:
                    records = records.insert(record.name, record)
            self._records = records
        return self._records

    def operations(self) -> list[Operation]:
        """Return all operations that coordinators report, the latest first."""
        found = [operation for content in self._contents() for operation in content.operations]
        return sorted(found, key=lambda operation: operation.at, reverse=True)

    def _contents(self) -> list[AgentContent]:
        return [entry.content for entry in self.entries.values() if entry.content is not None]
