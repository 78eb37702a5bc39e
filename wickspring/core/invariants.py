"""What must always hold: asserted in debug builds, counted under `python -O`."""

from __future__ import annotations

from collections import Counter

broken: Counter[str] = Counter()
"""How often each invariant was found broken in this process."""


def holds(condition: bool, name: str) -> bool:
    """Check one invariant; the caller must still do the safe thing where it does not hold."""
    assert condition, name
    if not condition:
        broken[name] += 1
    return condition
