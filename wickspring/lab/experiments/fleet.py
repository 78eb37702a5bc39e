"""Runs a fleet under load: agents and instances as processes, operators' commands, agents killed.

What is observed is independent of the agents' word: each instance is asked for `/up` from outside several
times a second, and every answer and attempt is recorded and held to the rules as in any other run.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections import defaultdict
from functools import partial
from pathlib import Path
from random import Random

import msgspec
import trio

from wickspring.agent import wire
from wickspring.fleet.home import down_most
from wickspring.fleet.model import Rules
from wickspring.lab.emulation.site import (
    ROOT,
    LabError,
    Progress,
    Site,
    free_port,
    limits_text,
    listen,
    odd_build,
    tell,
)
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.scenario import AgentFault, Command, FleetPart, InstanceFault, Scenario
from wickspring.lab.reports.result import Result
from wickspring.lab.traffic import schedule as scripts
from wickspring.lab.traffic.client import Load
from wickspring.wire import WireError

UP_WITHIN_S = 40.0
SAMPLE_S = 0.2

_NEVER = "import time, sys\ntime.sleep(3600)\n"
_FAILS = """
import sys
from wickspring import interface as api
from wickspring.net import runtime
from wickspring.net.upstream.carrier import Reply

def fail(self, start):
    self._attempt_ended(start.request, start.attempt, Reply(api.Status.ERROR))

runtime.Runtime._start = fail
from wickspring.cli import main
sys.exit(main())
"""


def bad_build(folder: Path, what: str) -> None:
    """Write a build that fails in a given way; all else in it is the present program."""
    odd_build(folder, "bad", _NEVER if what == "never-ready" else _FAILS)


async def answers_up(address: str) -> bool:
    """Ask an instance from outside whether it serves."""
    host, _, port = address.rpartition(":")
    with trio.move_on_after(0.5):
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                return (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200")
        except (OSError, trio.BrokenResourceError):
            return False
    return False


class FleetSite:
    """The fleet of a run."""

    def __init__(self, scenario: Scenario, seed: int, site: Site, folder: Path, program: Path) -> None:
        assert scenario.fleet is not None
        self.scenario, self.part, self.site, self.folder, self.program = (
            scenario,
            scenario.fleet,
            site,
            folder,
            program,
        )
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
        self.ended: list[tuple[str, int, str]] = []  # commands: words, exit code, output
        self.floor_broken = 0
        self.samples = 0
        self.load: Load | None = None

    def hall(self, index: int) -> str:
        """Return an instance's hall."""
        return f"hall-{chr(97 + index % self.part.agents)}"

    def write(self, discoveries: list[str], counter: str, script: scripts.Script) -> None:
        """Write the fleet file and all that it names."""
        lines = ['first_build = "1"', f"overlap = {str(self.part.overlap).lower()}", "backoff_first_s = 0.2"]
        lines += ["[rules]"]
        lines += [f"{key} = {value}" for key, value in msgspec.to_builtins(self.rules).items()]
        for number in range(self.part.agents):
            lines += [
                "[[agent]]",
                f'name = "a{number}"',
                f'hall = "{self.hall(number)}"',
                f'address = "127.0.0.1:{free_port()}"',
                f'state = "a{number}"',
            ]
        two = self.program
        if self.part.bad:
            two = self.folder / "build-2"
            bad_build(two, self.part.bad)
        for name, path in (("1", self.program), ("2", two)):
            lines += ["[[build]]", f'name = "{name}"', f'path = "{path}"', f'python = "{sys.executable}"']
        (self.folder / "connections.toml").write_text(limits_text(self.scenario))
        for number, address in enumerate(self.addresses):
            config = {
                "name": f"n{number}",
                "listen": address,
                "seed": f"{self.seed + number:x}",
                "discovery": discoveries[number],
                "counter": counter,
                "limits": {
                    "cores": 1.0,
                    "memory_mb": self.scenario.ingresses.memory_mb,
                    "sockets": self.scenario.ingresses.sockets,
                },
                "known": {"version": 0, "full": True, "servers": []},
                "settings": scripts.gateway_settings(self.scenario, script, number),
            }
            (self.folder / f"n{number}.json").write_text(json.dumps(config))
            lines += [
                "[[instance]]",
                f'name = "n{number}"',
                f'agent = "a{number % self.part.agents}"',
                f'config = "n{number}.json"',
                'connections = "connections.toml"',
                f'labels = {{ tier = "{"even" if number % 2 == 0 else "odd"}" }}',
            ]
        self.file.write_text("\n".join(lines) + "\n")

    def start_agent(self, number: int) -> None:
        """Start an agent, or start it again."""
        with (self.folder / f"a{number}.log").open("ab") as log:
            self.agents[number] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "wickspring",
                    "fleet",
                    "agent",
                    f"a{number}",
                    "--fleet",
                    str(self.file),
                ],
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

    async def up(self) -> None:
        """Wait until every instance serves, and every agent says so."""
        with trio.move_on_after(UP_WITHIN_S):
            while True:
                try:
                    told = [await self.show(number) for number in range(self.part.agents)]
                except WireError:
                    told = []
                ready = [sum(one.seen.ready for one in answer.records) for answer in told]
                if told and min(ready) == len(self.addresses) and all(answer.quorum for answer in told):
                    return
                await trio.sleep(0.1)
        logs = "\n".join(path.read_text()[-600:] for path in sorted(self.folder.glob("a*.log")))
        raise LabError(f"the fleet did not come up; the agents' logs end:\n{logs}")

    async def command(self, command: Command, nursery: trio.Nursery) -> None:
        """Give a command at its time, as an operator would."""
        await trio.sleep(max(0.0, 1000.0 * command.at_s - self.site.clock.now()) / 1000.0)
        words = [sys.executable, "-m", "wickspring", "fleet", *command.words, "--fleet", str(self.file)]
        process = await trio.run_process(
            words, cwd=ROOT, capture_stdout=True, capture_stderr=True, check=False
        )
        output = (process.stdout + process.stderr).decode()
        self.ended.append((" ".join(command.words), process.returncode, output))

    async def kill(self, fault: AgentFault) -> None:
        """Kill an agent, and start it again after a time."""
        await trio.sleep(max(0.0, 1000.0 * fault.at_s - self.site.clock.now()) / 1000.0)
        process = self.agents[fault.agent]
        if process is not None:
            process.kill()
            process.wait()
        await trio.sleep(fault.for_s)
        self.start_agent(fault.agent)

    async def lose(self, fault: InstanceFault) -> None:
        """Kill an instance's process."""
        await trio.sleep(max(0.0, 1000.0 * fault.at_s - self.site.clock.now()) / 1000.0)
        for record in (await self.show(fault.instance % self.part.agents)).records:
            if record.name == f"n{fault.instance}" and record.seen.pid:
                os.kill(record.seen.pid, signal.SIGKILL)

    async def sample(self) -> None:
        """Ask every instance again and again whether it serves, and hold each hall to its floor."""
        while True:
            ups: list[bool] = [False] * len(self.addresses)

            async def one(index: int, ups: list[bool] = ups) -> None:
                ups[index] = await answers_up(self.addresses[index])

            async with trio.open_nursery() as nursery:
                for index in range(len(self.addresses)):
                    nursery.start_soon(one, index)
            self.samples += 1
            if self.load is not None:  # as the front does, which asks for /up as well
                self.load.closed = {index for index, up in enumerate(ups) if not up}
            down, size = defaultdict[str, int](int), defaultdict[str, int](int)
            for index, up in enumerate(ups):
                size[self.hall(index)] += 1
                down[self.hall(index)] += not up
            share = self.rules.down_share_hall
            self.floor_broken += any(down[hall] > down_most(size[hall], share) for hall in size)
            await trio.sleep(SAMPLE_S)

    def stop(self) -> None:
        """End agents and instances, those that this run has started."""
        for process in self.agents:
            if process is not None and process.poll() is None:
                process.terminate()
        for process in self.agents:
            if process is not None:
                try:
                    process.wait(3.0)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        for path in self.folder.glob("a*/*.pid"):
            try:
                pid, token = int(path.read_text()), path.name.split(".")[-2]
                environment = Path(f"/proc/{pid}/environ").read_bytes()
                if f"GW_TOKEN={token}".encode() in environment:
                    os.kill(pid, signal.SIGKILL)
            except (OSError, ValueError):
                continue


async def _run(scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> Result:
    part = scenario.fleet or FleetPart()
    script = scripts.draw_script(scenario, seed)
    site = Site(scenario, seed, script)
    with tempfile.TemporaryDirectory(prefix="wl-") as name:
        fleet = FleetSite(scenario, seed, site, Path(name), program)
        async with trio.open_nursery() as nursery:
            for server in site.servers:
                await server.start(nursery)
                site.tell(server, late_ms=0.0)
            counter = await listen(nursery, site.counter.serve)
            discoveries = [await listen(nursery, one.serve) for one in site.discoveries]
            fleet.write(discoveries, counter, script)
            try:
                for number in range(part.agents):
                    fleet.start_agent(number)
                await fleet.up()
                load = Load(
                    scenario, site.tries, site.record, site.clock, Random(f"load {seed}"), fleet.addresses
                )
                fleet.load = load
                site.record.dials.clear()
                site.clock.start(in_s=0.2)
                await site.faults(nursery)
                nursery.start_soon(fleet.sample)
                if progress is not None:
                    nursery.start_soon(tell, scenario, site, progress)
                async with trio.open_nursery() as given:
                    for command in part.command:
                        given.start_soon(fleet.command, command, nursery)
                    for fault in part.kill:
                        given.start_soon(fleet.kill, fault)
                    for loss in part.lose:
                        given.start_soon(fleet.lose, loss)
                    await load.run(script.requests, nursery)
                    given.cancel_scope.deadline = trio.current_time() + part.extra_s
                with trio.move_on_after(scenario.shape.deadline_ms / 1000.0 + 1.0):
                    while load.ended < load.begun:
                        await trio.sleep(0.02)
                view = await _final(fleet)
                await load.close()
            finally:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(fleet.stop)
            nursery.cancel_scope.cancel()
        result = evaluate(scenario, seed, script, site.tries, site.record)
    _judge(result, fleet, view, part)
    return result


async def _final(fleet: FleetSite) -> wire.Answer:
    for number in range(fleet.part.agents):
        try:
            return await fleet.show(number)
        except WireError:
            continue
    raise LabError("no agent answers at the end")


def _judge(result: Result, fleet: FleetSite, view: wire.Answer, part: FleetPart) -> None:
    result.instances = len(view.records)
    upgrades = [one for one in view.operations if one.kind.value == "upgrade"]
    names = {one.instance for operation in upgrades for one in operation.instances}
    goal = upgrades[0].build if upgrades else ""
    result.rolled = sum(
        one.name in names and one.seen.build == goal and one.seen.ready for one in view.records
    )
    result.did_not_follow = sum(
        len(one.did_not_follow) for one in view.operations if one.phase.value != "refused"
    )
    for operation in view.operations:
        result.operations[operation.id] = f"{operation.phase.value} {operation.reason}".strip()
        if operation.kind.value == "upgrade" and operation.ended_at:
            result.roll_s = operation.ended_at - operation.at
        if not operation.phase.ended:
            result.violations.append(f"not ended: {operation.id} is {operation.phase.value}")
            result.rules_broken += 1
    result.hall_floor_broken = fleet.floor_broken
    if fleet.floor_broken:
        result.violations.append(f"hall floor: broken in {fleet.floor_broken} of {fleet.samples} samples")
        result.rules_broken += fleet.floor_broken
    for words, code, output in fleet.ended:
        result.operations[f"command {words}"] = f"exit {code}: {output.strip().splitlines()[-1:]}"


def run(scenario: Scenario, seed: int, program: Path, progress: Progress | None = None) -> Result:
    """Run a fleet scenario."""
    return trio.run(partial(_run, scenario, seed, program, progress))
