"""The operators' page names every event that the gateway logs, and no other."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PARTS = ("common", "controlplane", "dataplane")


def test_every_event_is_on_the_operators_page() -> None:
    sources = [path.read_text() for part in PARTS for path in (ROOT / "wickspring" / part).rglob("*.py")]
    logged = {name for text in sources for name in re.findall(r'\blog_event\(\s*"(\w+)"', text)}
    page = (ROOT / "docs" / "operators" / "gateway.md").read_text()
    table = page[page.index("| event | of | says |") :].split("\n\n")[0]
    named = {name for row in table.splitlines()[2:] for name in re.findall(r"`(\w+)`", row.split("|")[1])}
    assert logged and named == logged
