"""An ingress process of a run that is killed and started again: its own crash, and what the run did to it.

What happened: beside 12 busy processes `ingress-crash` reported "crashed: n2 ended with -9" in one run of
two, though no ingress had crashed: 9 is SIGKILL, which only the run sends.

Why: the start of the next process forgot that the last one had been killed before there was a next one. A
run that ended in between took the killed process for a crashed one; on a busy machine a start takes longer.
"""

from __future__ import annotations

import signal
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest
import trio

from wickspring.lab.emulation import gateway_process
from wickspring.lab.emulation.child_process import ChildProcess
from wickspring.lab.emulation.gateway_process import GatewayFiles, GatewayProcess


class NoProcessError(Exception):
    """No process can be started just now."""


def test_a_killed_process_that_is_being_replaced_has_not_crashed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = GatewayProcess("n0", GatewayFiles(tmp_path, tmp_path, {}, 64, "", tmp_path / "peers.toml"))
    gateway.process = cast(ChildProcess, SimpleNamespace(returncode=-signal.SIGKILL, pid=0))
    gateway.killed = True
    found: list[str] = []

    def start_none(*_: object) -> ChildProcess:
        found.append(gateway.crash)  # the run may end just now
        raise NoProcessError

    monkeypatch.setattr(gateway_process, "ChildProcess", start_none)
    with pytest.raises(NoProcessError):
        trio.run(gateway.start)
    assert [*found, gateway.crash] == ["", ""]


def test_a_process_that_ends_by_itself_has_crashed(tmp_path: Path) -> None:
    gateway = GatewayProcess("n0", GatewayFiles(tmp_path, tmp_path, {}, 64, "", tmp_path / "peers.toml"))
    gateway.process = cast(ChildProcess, SimpleNamespace(returncode=1, pid=0))
    assert gateway.crash == "crashed: n0 ended with 1"
