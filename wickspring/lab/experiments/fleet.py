"""Runs a fleet under load: agents and instances as processes, operators' commands, agents killed.

Every answer and attempt is recorded and checked against the rules as in any other run.
"""

from __future__ import annotations

import tempfile
from functools import partial
from pathlib import Path
from random import Random

import trio

from wickspring.agent import wire
from wickspring.lab.emulation.site import (
    LabError,
    Progress,
    Site,
    listen,
    report_progress,
)
from wickspring.lab.experiments.evaluate import evaluate
from wickspring.lab.experiments.fleet_site import FleetSite
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.rare_garbage_collection import rare_garbage_collection
from wickspring.lab.reports.result import Result
from wickspring.lab.traffic import schedule as scripts
from wickspring.lab.traffic.client import Load
from wickspring.wire import WireError

LOAD_DELAY_S = 0.2  # from the start of the run's clock to the first request
FINISH_POLL_S = 0.02
FINISH_MARGIN_S = 1.0  # beyond the longest deadline, until the last answers are in


async def _run(scenario: Scenario, seed: int, program: Path, progress: Progress | None) -> Result:
    script = scripts.draw_script(scenario, seed)
    site = Site(scenario, seed, script)
    with tempfile.TemporaryDirectory(prefix="wl-") as folder:
        fleet = FleetSite(scenario, seed, site, Path(folder), program)
        async with trio.open_nursery() as nursery:
            await _start_services(fleet, script, nursery)
            try:
                view = await _drive(fleet, script, nursery, progress)
            finally:
                with trio.CancelScope(shield=True):
                    await trio.to_thread.run_sync(fleet.stop)
            nursery.cancel_scope.cancel()
        result = evaluate(scenario, seed, script, site.requests, site.record)
    _add_fleet_results(result, fleet, view)
    return result


async def _start_services(fleet: FleetSite, script: scripts.Script, nursery: trio.Nursery) -> None:
    """Start ticket servers, counter and discovery, and write the fleet's files with their addresses."""
    site = fleet.site
    for server in site.servers:
        await server.start(nursery)
        site.announce(server, late_ms=0.0)
    counter = await listen(nursery, site.counter.serve)
    discoveries = [await listen(nursery, discovery.serve) for discovery in site.discoveries]
    fleet.write_files(discoveries, counter, script)


async def _drive(
    fleet: FleetSite, script: scripts.Script, nursery: trio.Nursery, progress: Progress | None
) -> wire.Answer:
    """Start the agents, play the load with its faults and commands, and return an agent's last view."""
    site = fleet.site
    scenario = fleet.scenario
    for number in range(fleet.part.agents):
        fleet.start_agent(number)
    await fleet.wait_until_ready()
    random = Random(f"load {fleet.seed}")
    load = Load(scenario, site.requests, site.record, site.clock, random, fleet.addresses)
    fleet.load = load
    site.record.dials.clear()
    site.clock.start(in_s=LOAD_DELAY_S)
    site.start_faults(nursery)
    if progress is not None:
        nursery.start_soon(report_progress, scenario, site, progress)
    async with trio.open_nursery() as sampling:  # it ends before the fleet is stopped
        sampling.start_soon(fleet.sample)
        await _play(fleet, load, script, nursery)
        with trio.move_on_after(scenario.shape.deadline_ms / 1000.0 + FINISH_MARGIN_S):
            while load.ended < load.begun:
                await trio.sleep(FINISH_POLL_S)
        view = await _final_view(fleet)
        sampling.cancel_scope.cancel()
    await load.close()
    return view


async def _play(fleet: FleetSite, load: Load, script: scripts.Script, nursery: trio.Nursery) -> None:
    """Send all requests while commands and faults run; these may go on for `extra_s` after the last."""
    part = fleet.part
    async with trio.open_nursery() as events:
        for command in part.command:
            events.start_soon(fleet.run_command, command)
        for agent_fault in part.kill:
            events.start_soon(fleet.kill_agent, agent_fault)
        for instance_fault in part.lose:
            events.start_soon(fleet.kill_instance, instance_fault)
        await load.run(script.requests, nursery)
        events.cancel_scope.deadline = trio.current_time() + part.extra_s


async def _final_view(fleet: FleetSite) -> wire.Answer:
    """Ask the agents for their view until one answers.

    Raises:
        LabError: none did.
    """
    for number in range(fleet.part.agents):
        try:
            return await fleet.show(number)
        except WireError:
            continue
    raise LabError("no agent answers at the end")


def _add_fleet_results(result: Result, fleet: FleetSite, view: wire.Answer) -> None:
    """Add what became of instances, operations and commands."""
    result.instances = len(view.records)
    result.rolled = _count_upgraded(view)
    result.did_not_follow = sum(
        len(operation.incomplete) for operation in view.operations if operation.phase.value != "refused"
    )
    for operation in view.operations:
        result.operations[operation.id] = f"{operation.phase.value} {operation.reason}".strip()
        if operation.kind.value == "upgrade" and operation.ended_at:
            result.roll_s = operation.ended_at - operation.at
        if not operation.phase.ended:
            result.violations.append(f"not ended: {operation.id} is {operation.phase.value}")
            result.rules_broken += 1
    result.hall_floor_broken = fleet.floor_violations
    if fleet.floor_violations:
        found = ", ".join(f"{count} {probe}" for probe, count in fleet.floor_probes.items())
        result.violations.append(
            f"hall floor: broken in {fleet.floor_violations} of {fleet.samples} samples ({found})"
        )
        result.rules_broken += fleet.floor_violations
    for command in fleet.command_results:
        last_line = command.output.strip().splitlines()[-1:]
        result.operations[f"command {command.arguments}"] = f"exit {command.exit_code}: {last_line}"


def _count_upgraded(view: wire.Answer) -> int:
    """Count the instances of upgrades that are ready with the first upgrade's build."""
    upgrades = [operation for operation in view.operations if operation.kind.value == "upgrade"]
    names = {instance.instance for upgrade in upgrades for instance in upgrade.instances}
    build = upgrades[0].build if upgrades else ""
    return sum(
        record.name in names and record.observed.build == build and record.observed.ready
        for record in view.records
    )


def run(scenario: Scenario, seed: int, program: Path, progress: Progress | None = None) -> Result:
    """Run a fleet scenario."""
    with rare_garbage_collection():
        return trio.run(partial(_run, scenario, seed, program, progress))
