"""The operators' page names every event that the gateway logs, and no other."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("common", "controlplane", "dataplane")


def test_every_event_is_on_the_operators_page() -> None:
    logged: set[str] = set()
    for package in PACKAGES:
        modules = sorted((ROOT / "wickspring" / package).rglob("*.py"))
        assert modules, f"no modules in {package}"
        for module in modules:
            logged.update(re.findall(r'\blog_event\(\s*"(\w+)"', module.read_text()))
    page = (ROOT / "docs" / "operators" / "gateway.md").read_text()
    section = page.split("\n## Log events\n", 1)[1].split("\n## ", 1)[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    named = [name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])]
    assert logged and sorted(named) == sorted(logged)
