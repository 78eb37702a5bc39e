"""Runs a scenario by its kind: on sockets, as a fleet of processes, or in virtual time."""

from __future__ import annotations

from pathlib import Path

import msgspec

from wickspring.lab.emulation.site import ROOT, Progress
from wickspring.lab.experiments import fleet
from wickspring.lab.experiments.scenario import Scenario
from wickspring.lab.experiments.socket_run import run_on_sockets
from wickspring.lab.reports.result import Result
from wickspring.lab.simulation import large_fleet, large_peers
from wickspring.lab.simulation.ingress_site import site as ingress_site


def run(
    scenario: Scenario,
    seed: int,
    program: Path = ROOT,
    progress: Progress | None = None,
    alone: bool = True,
) -> Result:
    """Run a scenario; `program` is the folder of the build whose gateways are to serve.

    Where gateways exchange messages it is run again with that off, unless `alone` is False.
    Raises LabError where the run could not be made.
    """
    if scenario.kind == "fleet":
        return fleet.run(scenario, seed, program, progress)
    if scenario.kind == "virtual-fleet":
        return large_fleet.run(scenario, seed, progress)
    if scenario.kind == "virtual-peers":
        return large_peers.run(scenario, seed, progress)
    if scenario.kind == "virtual":
        return ingress_site.run(scenario, seed, progress)
    result = run_on_sockets(scenario, seed, program, progress)
    if scenario.peers.enabled and alone:
        peers_off = msgspec.structs.replace(scenario.peers, enabled=False)
        other = run_on_sockets(msgspec.structs.replace(scenario, peers=peers_off), seed, program, progress)
        _add_comparison(result, other)
    return result


def _add_comparison(result: Result, other: Result) -> None:
    """Add the figures of the same run without exchanges between gateways."""
    result.served_share_alone = other.served_share
    result.judged_alone_s = other.judged_worst_s
    result.quota_error_alone = other.quota_error_worst
    result.served_inside_share_alone = other.served_inside_share
    result.cpu_ms_per_request_alone = other.cpu_ms_per_request
    result.peak_rss_alone_mb = other.peak_rss_mb
