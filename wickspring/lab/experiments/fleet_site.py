"""A fleet of real processes for a run: its files, its agents, and the commands and faults that it gets.

The observations do not depend on the agents' reports: each instance is asked for `/up` from outside several
times a second.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from wickspring.agent import wire
from wickspring.fleet.model import Rules
from wickspring.fleet.owner import max_down
from wickspring.lab.emulation.site import (
    ROOT,
    LabError,
    Site,
    free_port,
    limits_text,
    write_modified_build,
)
from wickspring.lab.experiments.instance_probe import ProbeResult, probe_instance
from wickspring.lab.experiments.scenario import AgentFault, Command, InstanceFault, Scenario
from wickspring.lab.traffic import schedule as scripts
from wickspring.lab.traffic.client import Load
from wickspring.wire import WireError

START_TIMEOUT_S = 40.0
START_POLL_S = 0.1
SAMPLE_INTERVAL_S = 0.2
AGENT_STOP_TIMEOUT_S = 3.0
LOG_TAIL_CHARS = 600

# Builds that fail: one that never becomes ready, and one whose every attempt at a server fails.
_NEVER_READY_PROGRAM = "import time, sys\ntime.sleep(3600)\n"
_FAILING_PROGRAM = """
import sys
from wickspring import interface as api
from wickspring.net import attempts
from wickspring.net.upstream.exchange import ExchangeResult

def fail(self, start):
    self.ended(start.request, start.attempt, ExchangeResult(api.Status.ERROR))

attempts.AttemptRunner.start = fail
from wickspring.cli import main
sys.exit(main())
"""


def write_bad_build(folder: Path, fault: str) -> None:
    """Write a build with a fault, `never-ready` or any other; all else in it is the present program."""
    write_modified_build(folder, "bad", _NEVER_READY_PROGRAM if fault == "never-ready" else _FAILING_PROGRAM)


@dataclass(slots=True, frozen=True)
class CommandResult:
    """An operator's command that has ended."""

    arguments: str
    exit_code: int
    output: str  # standard output, then standard error


class FleetSite:
    """The fleet of a run: its files, its agents' processes, and the faults and commands that it gets."""

    def __init__(self, scenario: Scenario, seed: int, site: Site, folder: Path, program: Path) -> None:
        assert scenario.fleet is not None
        self.scenario = scenario
        self.part = scenario.fleet
        self.site = site
        self.folder = folder
        self.program = program
        self.seed = seed
        self.file = folder / "fleet.toml"
        self.rules = Rules(
            hold_s=self.part.hold_s,
            ready_within_s=self.part.ready_within_s,
            drain_within_s=6.0,
            gossip_s=0.3,
            lease_s=8.0,
        )
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(scenario.ingresses.count)]
        self.agents: list[subprocess.Popen[bytes] | None] = [None] * self.part.agents
        self.command_results: list[CommandResult] = []
        self.floor_violations = 0  # samples in which too many instances of a hall were down, a hall at a time
        self.samples = 0
        self.floor_probes: Counter[ProbeResult] = (
            Counter()
        )  # of halls below their floor: what was not serving
        self.load: Load | None = None

    def hall(self, index: int) -> str:
        """Return an instance's hall."""
        return f"hall-{chr(97 + index % self.part.agents)}"

    def write_files(self, discoveries: list[str], counter: str, script: scripts.Script) -> None:
        """Write the fleet file and all that it names.

        `discoveries` are the addresses of the instances' discovery services, `counter` that of the counter.
        """
        (self.folder / "connections.toml").write_text(limits_text(self.scenario))
        lines = ['first_build = "1"', f"overlap = {str(self.part.overlap).lower()}", "backoff_first_s = 0.2"]
        lines.append("[rules]")
        lines.extend(f"{key} = {value}" for key, value in msgspec.to_builtins(self.rules).items())
        for number in range(self.part.agents):
            lines.extend(self._agent_lines(number))
        lines.extend(self._build_lines("1", self.program))
        lines.extend(self._build_lines("2", self._second_build()))
        for number, discovery in enumerate(discoveries):
            settings = scripts.gateway_settings(self.scenario, script, number)
            config = self._instance_config(number, discovery, counter, settings)
            (self.folder / f"n{number}.json").write_text(json.dumps(config))
            lines.extend(self._instance_lines(number))
        self.file.write_text("\n".join(lines) + "\n")

    def _agent_lines(self, number: int) -> list[str]:
        return [
            "[[agent]]",
            f'name = "a{number}"',
            f'hall = "{self.hall(number)}"',
            f'address = "127.0.0.1:{free_port()}"',
            f'state = "a{number}"',
        ]

    def _build_lines(self, name: str, program: Path) -> list[str]:
        return ["[[build]]", f'name = "{name}"', f'path = "{program}"', f'python = "{sys.executable}"']

    def _second_build(self) -> Path:
        """Return the program that an upgrade goes to; written here if the scenario wants a bad one."""
        if not self.part.bad:
            return self.program
        path = self.folder / "build-2"
        write_bad_build(path, self.part.bad)
        return path

    def _instance_config(
        self, number: int, discovery: str, counter: str, settings: dict[str, object]
    ) -> dict[str, object]:
        ingresses = self.scenario.ingresses
        return {
            "name": f"n{number}",
            "listen": self.addresses[number],
            "seed": f"{self.seed + number:x}",
            "discovery": discovery,
            "counter": counter,
            "limits": {"cores": 1.0, "memory_mb": ingresses.memory_mb, "sockets": ingresses.sockets},
            "known": {"version": 0, "full": True, "servers": []},
            "settings": settings,
        }

    def _instance_lines(self, number: int) -> list[str]:
        tier = "even" if number % 2 == 0 else "odd"
        return [
            "[[instance]]",
            f'name = "n{number}"',
            f'agent = "a{number % self.part.agents}"',
            f'config = "n{number}.json"',
            'connections = "connections.toml"',
            f'labels = {{ tier = "{tier}" }}',
        ]

    def start_agent(self, number: int) -> None:
        """Start an agent, or start it again."""
        arguments = ["fleet", "agent", f"a{number}", "--fleet", str(self.file)]
        with (self.folder / f"a{number}.log").open("ab") as log:
            self.agents[number] = subprocess.Popen(
                [sys.executable, "-m", "wickspring", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    async def show(self, number: int = 0) -> wire.Answer:
        """Ask an agent for its view."""
        path = str((self.folder / f"a{number}" / "local").resolve())
        return await wire.exchange(path, f"a{number}", wire.Show(1000))

    async def wait_until_ready(self) -> None:
        """Wait until every instance serves, and every agent reports it.

        Raises:
            LabError: the fleet was not ready within `START_TIMEOUT_S`.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._is_ready():
                await trio.sleep(START_POLL_S)
            return
        tails = [path.read_text()[-LOG_TAIL_CHARS:] for path in sorted(self.folder.glob("a*.log"))]
        raise LabError("the fleet did not come up; the agents' logs end:\n" + "\n".join(tails))

    async def _is_ready(self) -> bool:
        try:
            reports = [await self.show(number) for number in range(self.part.agents)]
        except WireError:
            return False
        ready = [sum(record.observed.ready for record in report.records) for report in reports]
        complete = bool(reports) and min(ready) == len(self.addresses)
        return complete and all(report.quorum for report in reports)

    async def _sleep_until(self, at_s: float) -> None:
        """Wait for a time of the run."""
        await trio.sleep(max(0.0, 1000.0 * at_s - self.site.clock.now()) / 1000.0)

    async def run_command(self, command: Command) -> None:
        """Give a command at its time, as an operator would."""
        await self._sleep_until(command.at_s)
        arguments = [sys.executable, "-m", "wickspring", "fleet", *command.words, "--fleet", str(self.file)]
        process = await trio.run_process(
            arguments, cwd=ROOT, capture_stdout=True, capture_stderr=True, check=False
        )
        output = (process.stdout + process.stderr).decode()
        self.command_results.append(CommandResult(" ".join(command.words), process.returncode, output))

    async def kill_agent(self, fault: AgentFault) -> None:
        """Kill an agent, and start it again after a time."""
        await self._sleep_until(fault.at_s)
        process = self.agents[fault.agent]
        if process is not None:
            process.kill()
            process.wait()
        await trio.sleep(fault.for_s)
        self.start_agent(fault.agent)

    async def kill_instance(self, fault: InstanceFault) -> None:
        """Kill an instance's process."""
        await self._sleep_until(fault.at_s)
        for record in (await self.show(fault.instance % self.part.agents)).records:
            if record.name == f"n{fault.instance}" and record.observed.pid:
                os.kill(record.observed.pid, signal.SIGKILL)

    async def sample(self) -> None:
        """Ask every instance again and again whether it serves, and check the floor of each hall."""
        while True:
            probes = await self._probe_all()
            serving = [probe is ProbeResult.SERVES for probe in probes]
            self.samples += 1
            if self.load is not None:  # as the front does, which asks for /up as well
                self.load.closed = {index for index, is_up in enumerate(serving) if not is_up}
            self.floor_violations += self._count_halls_below_floor(probes)
            await trio.sleep(SAMPLE_INTERVAL_S)

    async def _probe_all(self) -> list[ProbeResult]:
        probes = [ProbeResult.TIMED_OUT] * len(self.addresses)

        async def probe(index: int) -> None:
            probes[index] = await probe_instance(self.addresses[index])

        async with trio.open_nursery() as nursery:
            for index in range(len(self.addresses)):
                nursery.start_soon(probe, index)
        return probes

    def _count_halls_below_floor(self, probes: list[ProbeResult]) -> int:
        down: defaultdict[str, list[ProbeResult]] = defaultdict(list)
        size = Counter[str]()
        for index, probe in enumerate(probes):
            size[self.hall(index)] += 1
            if probe is not ProbeResult.SERVES:
                down[self.hall(index)].append(probe)
        share = self.rules.down_share_hall
        below = [hall for hall in size if len(down[hall]) > max_down(size[hall], share)]
        for hall in below:
            self.floor_probes.update(down[hall])
        return len(below)

    def stop(self) -> None:
        """End agents and instances, those that this run has started."""
        agents = [process for process in self.agents if process is not None]
        for process in agents:
            if process.poll() is None:
                process.terminate()
        for process in agents:
            try:
                process.wait(AGENT_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for path in self.folder.glob("a*/*.pid"):
            _kill_instance_process(path)


def _kill_instance_process(path: Path) -> None:
    """Kill the process that a pid file names, if its environment shows that this run has started it."""
    try:
        pid = int(path.read_text())
        token = path.name.split(".")[-2]
        environment = Path(f"/proc/{pid}/environ").read_bytes()
        if f"GW_TOKEN={token}".encode() in environment:
            os.kill(pid, signal.SIGKILL)
    except (OSError, ValueError):
        return  # it has ended, or the file was half written
