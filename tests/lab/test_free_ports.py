"""Ports that runs of the laboratory are given."""

from __future__ import annotations

import subprocess
import sys
from random import SystemRandom

import pytest

from wickspring.lab.emulation.site import FIRST_PORT, free_port

PORTS = range(FIRST_PORT + 7_001, FIRST_PORT + 7_200)
HOLD = """
import sys
from random import SystemRandom
from wickspring.lab.emulation import site
SystemRandom.randrange = lambda self, first, end: int(sys.argv[1])
print(site.free_port(), flush=True)
sys.stdin.read()
"""


def test_two_runs_at_once_are_given_different_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against agents of two fleets at one address: one cannot listen, the other hears both."""
    taken = free_port()
    drawn = iter([taken, *PORTS])
    monkeypatch.setattr(SystemRandom, "randrange", lambda *_: next(drawn))
    mine = free_port()
    assert mine != taken
    with subprocess.Popen(
        [sys.executable, "-c", HOLD, str(mine + 1)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        assert other.stdout is not None
        theirs = int(other.stdout.readline())
        drawn = iter([theirs, *PORTS])
        monkeypatch.setattr(SystemRandom, "randrange", lambda *_: next(drawn))
        assert free_port() not in (taken, mine, theirs)
        other.communicate()
