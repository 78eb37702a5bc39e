"""Log lines: one for each event, whatever its values hold."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wickspring.logs import format_pairs, quote


@given(st.text())
def test_a_value_from_outside_stays_on_its_line(value: str) -> None:
    """Guards against a header or a name that begins a log line of its own."""
    line = format_pairs([("event", "x"), ("reason", value), ("last", 1)])
    assert line.splitlines() == [line]
    assert line.startswith("event=x reason=")
    assert line.endswith(" last=1")


def test_values_are_quoted_where_they_have_to_be() -> None:
    assert quote("plain/1:2") == "plain/1:2"
    assert quote("São João") == '"São João"'
    assert quote('a "b" \\ c') == '"a \\"b\\" \\\\ c"'
    assert quote("a\nb\r\x85\u2028") == '"a\\nb\\r\\x85\\u2028"'
