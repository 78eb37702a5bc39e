"""Selection of instances: `hall=hall-a,build!=3,n4`.

Terms are separated by commas. `key=value` and `key!=value` all have to hold; where several names stand
alone, an instance has to be one of them. Keys are name, hall, agent, build (the desired one),
state, run, and the labels of the fleet file. A value may end in `*`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wickspring.fleet.model import InstanceRecord

RECORD_KEYS = ("name", "hall", "agent", "build", "state", "run")


class SelectorError(ValueError):
    """A selection that cannot be read, or that names an unknown instance or key."""


@dataclass(slots=True, frozen=True)
class Term:
    """One condition."""

    key: str
    value: str
    equal: bool

    def matches(self, record: InstanceRecord) -> bool:
        """Tell whether an instance meets the condition."""
        fields = {
            "name": record.name,
            "hall": record.hall,
            "agent": record.agent,
            "build": record.desired.build,
            "state": record.observed.state,
            "run": str(record.desired.run).lower(),
        }
        value = fields.get(self.key, record.labels.get(self.key, ""))
        same = value.startswith(self.value[:-1]) if self.value.endswith("*") else value == self.value
        return same == self.equal


@dataclass(slots=True, frozen=True)
class Selector:
    """A whole selection; an empty one selects all instances."""

    names: tuple[str, ...]
    terms: tuple[Term, ...]

    def select(self, records: Iterable[InstanceRecord]) -> tuple[InstanceRecord, ...]:
        """Return the selected instances, ordered by hall and name.

        Raises:
            SelectorError: an instance or a key is unknown.
        """
        known = sorted(records, key=lambda record: (record.hall, record.name))
        missing = [name for name in self.names if name not in {record.name for record in known}]
        if missing:
            raise SelectorError(f"no instance is called {', '.join(missing)}")
        labels = {label for record in known for label in record.labels}
        for term in self.terms:
            if term.key not in RECORD_KEYS and term.key not in labels:
                raise SelectorError(f"no instance has a label {term.key}")
        return tuple(
            record
            for record in known
            if (not self.names or record.name in self.names)
            and all(term.matches(record) for term in self.terms)
        )


def parse_selector(words: Iterable[str]) -> Selector:
    """Read a selection from one or more words.

    Raises:
        SelectorError: a term is empty or not key=value.
    """
    names, terms = list[str](), list[Term]()
    for part in (part.strip() for word in words for part in word.split(",")):
        if not part:
            raise SelectorError("an empty term")
        key, equals, value = part.partition("=")
        equal = not key.endswith("!")
        key = key.rstrip("!").strip()
        if not equals:
            names.append(part)
        elif not key or not value.strip():
            raise SelectorError(f"not key=value: {part!r}")
        else:
            terms.append(Term(key, value.strip(), equal))
    return Selector(tuple(names), tuple(terms))
