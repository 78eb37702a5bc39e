"""The rules of the service, each with its checker.

They are checked by what clients, ticket servers and discovery observed, never by what the gateways report of
themselves: one final answer in time for whatever was sent, no copy that its class forbids, nothing new to a
draining server, no cold server overloaded, no ceiling passed, and only answers that a ticket server sent.

To add a rule: a member of `Rule`, a checker in a module of this package, and its entry in `CHECKERS`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

from wickspring.lab.checks import answers, cold_servers, copies, drains, quotas
from wickspring.lab.checks.observed_run import ObservedRun


class Rule(StrEnum):
    """A rule, by the name that violations in `result.json` begin with."""

    LOST = "lost"
    DOUBLED = "doubled"
    LATE = "late"
    FORBIDDEN = "forbidden"
    FOREIGN = "foreign"
    DRAINS = "drains"
    COLD = "cold"
    BESIDE = "beside"
    CEILINGS = "ceilings"


Checker = Callable[[ObservedRun], Iterator[str]]
CHECKERS: Mapping[Rule, Checker] = MappingProxyType(
    {
        Rule.LOST: answers.find_lost,
        Rule.DOUBLED: answers.find_doubled,
        Rule.LATE: answers.find_late,
        Rule.FORBIDDEN: copies.find_forbidden,
        Rule.FOREIGN: answers.find_foreign,
        Rule.DRAINS: drains.find_after_drain,
        Rule.COLD: cold_servers.find_overloaded,
        Rule.BESIDE: copies.find_overlapping,
        Rule.CEILINGS: quotas.find_above_ceiling,
    }
)


@dataclass(slots=True, frozen=True)
class Findings:
    """The violations of each rule; a violation names the request, server or customer concerned."""

    violations: Mapping[Rule, tuple[str, ...]]

    def count(self, rule: Rule) -> int:
        """Return how often a rule was broken."""
        return len(self.violations[rule])

    @property
    def total(self) -> int:
        """Return how often any rule was broken."""
        return sum(len(violations) for violations in self.violations.values())


def check(run: ObservedRun) -> Findings:
    """Check a run against all rules; ceilings only where its plans are given."""
    return Findings({rule: tuple(checker(run)) for rule, checker in CHECKERS.items()})
