"""What must always hold: asserted in debug builds, counted under `python -O`."""

from __future__ import annotations

from collections import Counter

broken: Counter[str] = Counter()
"""How often each invariant was found broken in this process."""


def check_invariant(condition: bool, name: str) -> bool:
    """Return whether an invariant holds; the caller must do what is safe where it does not.

    Raises:
        AssertionError: it does not hold, in a debug build. Under `python -O` it is counted in `broken`.
    """
    assert condition, name
    if not condition:
        broken[name] += 1
    return condition
