"""The operators' page names every event that the gateway logs, and no other."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("common", "controlplane", "dataplane")
PROGRAMS = ("wickspring.controlplane.process", "wickspring.dataplane.server")
LIST_SHARED_MODULES = f"""
import sys, {", ".join(PROGRAMS)}
shared = ("wickspring.net.", "wickspring.fault_isolation")
print(*(m.__file__ for n, m in sys.modules.items() if n.startswith(shared)), sep="\\n")
"""


def shared_modules() -> list[Path]:
    """Return the modules of the ingress that the gateway's programs load; what they log shows as events."""
    command = [sys.executable, "-c", LIST_SHARED_MODULES]
    return [Path(line) for line in subprocess.check_output(command, cwd=ROOT, text=True).splitlines()]


def test_every_event_is_on_the_operators_page() -> None:
    logged: set[str] = set()
    for package in PACKAGES:
        modules = sorted((ROOT / "wickspring" / package).rglob("*.py"))
        assert modules, f"no modules in {package}"
        for module in modules:
            logged.update(re.findall(r'\blog_event\(\s*"(\w+)"', module.read_text()))
    for module in shared_modules():
        logged.update(re.findall(r'\blog\.\w+\(\s*"(\w+)"', module.read_text()))
    page = (ROOT / "docs" / "operators" / "gateway.md").read_text()
    section = page.split("\n## Log events\n", 1)[1].split("\n## ", 1)[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    named = [name for row in rows for name in re.findall(r"`(\w+)`", row.split("|")[1])]
    assert logged and sorted(named) == sorted(logged)
