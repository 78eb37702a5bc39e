"""Selection of instances by names, halls, states and labels."""

from __future__ import annotations

import pytest

from tests.support.fleet import record
from wickspring.fleet.selector import SelectorError, parse_selector


@pytest.mark.parametrize(
    ("words", "selected"),
    [
        ((), "n0 n1 n2 n3"),
        (("hall=hall-a",), "n0 n1"),
        (("hall=hall-a,build!=3",), "n0"),
        (("n3", "n0"), "n0 n3"),
        (("tier=gold",), "n2"),
        (("tier!=gold,hall=hall-*",), "n0 n1 n3"),
        (("state=ready", "run=true"), "n0 n1 n2 n3"),
        (("build=9",), ""),
    ],
)
def test_selection(words: tuple[str, ...], selected: str) -> None:
    known = [
        record("n0"),
        record("n1", build="3"),
        record("n2", "hall-b", labels={"tier": "gold"}),
        record("n3", "hall-b"),
    ]
    assert " ".join(one.name for one in parse_selector(words).select(known)) == selected


@pytest.mark.parametrize("words", [("n9",), ("hal=hall-a",), ("=x",), ("hall=",), (",",)])
def test_a_selection_that_makes_no_sense_is_refused(words: tuple[str, ...]) -> None:
    with pytest.raises(SelectorError):
        parse_selector(words).select([record("n0")])
