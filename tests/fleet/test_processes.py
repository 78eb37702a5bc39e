"""Processes of instances: found again, replaced by their program, and killed in time."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import trio
import trio.testing

from tests.support.fleet import fleet_file
from wickspring.agent import processes
from wickspring.agent.instance_controller import InstanceController
from wickspring.agent.node import Node
from wickspring.fleet import owner
from wickspring.fleet.file import load_fleet
from wickspring.fleet.model import DesiredState, ObservedState


def test_a_process_is_found_again_by_pid_start_and_token_alone(tmp_path: Path) -> None:
    pid_file = tmp_path / "p.pid"
    code = [sys.executable, "-c", "import time; time.sleep(60)"]
    started = processes.launch(code, tmp_path, {"PATH": "/usr/bin:/bin"}, tmp_path / "log", pid_file, "tok")
    try:
        while not pid_file.exists():
            pass
        start_ticks = processes.start_ticks(started.pid)
        assert processes.find(started.pid, start_ticks, "tok", pid_file) == (started.pid, start_ticks)
        assert processes.find(0, 0, "tok", pid_file) == (
            started.pid,
            start_ticks,
        )  # the agent was killed before it stored the pid
        assert processes.find(started.pid, start_ticks + 1, "tok", pid_file) == (
            0,
            0,
        )  # the pid is in use by another process
        assert processes.find(started.pid, start_ticks, "other", pid_file) == (0, 0)
    finally:
        started.kill()
        started.wait()
    assert processes.find(started.pid, start_ticks, "tok", pid_file) == (0, 0)


def test_a_process_is_known_while_it_becomes_its_program(tmp_path: Path) -> None:
    # Its environment reads empty for a moment then; an agent that came back took it for another's.
    for number in range(40):
        pid_file = tmp_path / f"{number}.pid"
        path = {"PATH": "/usr/bin:/bin"}
        started = processes.launch(["/bin/sleep", "60"], tmp_path, path, tmp_path / "log", pid_file, "tok")
        try:
            while not pid_file.exists():
                pass
            start_ticks = processes.start_ticks(started.pid)
            assert all(
                processes.find(started.pid, start_ticks, "tok", pid_file) == (started.pid, start_ticks)
                for _ in range(20)
            )
        finally:
            started.kill()
            started.wait()


def test_one_that_ignores_sigterm_is_killed_in_time(tmp_path: Path) -> None:
    async def main() -> None:
        path = fleet_file(tmp_path)
        node = Node(load_fleet(path), "a0")
        code = (
            "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
            "print(1, flush=True); time.sleep(60)"
        )
        stubborn = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
        assert stubborn.stdout is not None
        stubborn.stdout.readline()
        controller: InstanceController = node.instances.controllers["n0"]
        process = processes.InstanceProcess(
            stubborn.pid, processes.start_ticks(stubborn.pid), "t", "1", 0, reported_ready=True
        )
        controller.processes.current = process
        node.instances.owner_state = owner.observe(node.instances.owner_state, "n0", ObservedState())
        held = node.instances.owner_state.records["n0"]
        stop = msgspec.structs.replace(held, desired=DesiredState(False, "1", 2))
        node.instances.owner_state = msgspec.structs.replace(
            node.instances.owner_state, records=node.instances.owner_state.records.insert("n0", stop)
        )
        now = node.context.now()
        controller.step(now)
        assert process.alive
        assert node.instances.owner_state.records["n0"].observed.state == "draining"
        controller.step(now + 60.0)
        with trio.fail_after(20):
            await process.wait()
        controller.step(now + 61.0)
        assert node.instances.owner_state.records["n0"].observed.state == "stopped"
        assert "killed" in node.instances.owner_state.records["n0"].observed.note
        stubborn.stdout.close()

    trio.run(main)
