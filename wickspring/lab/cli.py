"""The group `lab` of the command line: run scenarios, compare and report their results."""

from __future__ import annotations

import sys
from pathlib import Path
from types import TracebackType

import msgspec

from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.tables import format_rows
from wickspring.lab.emulation import shape as shapes
from wickspring.lab.experiments import scenario as scenarios
from wickspring.lab.reports import result as results
from wickspring.lab.reports.record import Record

SCENARIO_COLUMNS = ("scenario", "kind", "seconds", "about")
SITE_COLUMNS = ("site", "about")


class ProgressLine:
    """One line on stderr that says how far a run has come; nothing where stderr is no terminal."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._is_shown = sys.stderr.isatty()

    def __enter__(self) -> ProgressLine:
        """Begin the line."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Leave the line as it is and begin a new one."""
        self._write("\n")

    def __call__(self, at_s: float, record: Record) -> None:
        """Show how far the run has come."""
        text = f"{len(record.requests)} asked, {len(record.dials)} dials"
        self._write(f"\r{at_s:.1f} of {self._seconds:.0f} s  {text}")

    def _write(self, text: str) -> None:
        if self._is_shown:
            sys.stderr.write(text)
            sys.stderr.flush()


class LabCommands:
    """Emulated sites, load, a checker of the rules, and reports."""

    def list(self) -> str:
        """Name the shipped scenarios and sites."""
        shipped = [(name, scenarios.load(name)) for name in scenarios.shipped()]
        rows = [(name, one.kind, f"{one.seconds:g}", one.about) for name, one in shipped]
        sites = [(name, shapes.load(name).about) for name in shapes.shipped()]
        return f"{format_rows(SCENARIO_COLUMNS, rows)}\n{format_rows(SITE_COLUMNS, sites)}"

    def run(
        self,
        scenario: str,
        *,
        out: Path,
        seed: int = 1,
        seconds: float | None = None,
        site: str = "",
        program: Path | None = None,
    ) -> None:
        """Run SCENARIO, a shipped name or a TOML file; write OUT/result.json and a report.

        Fails with 1 where a rule was broken, with 2 where the scenario is at fault.

        Args:
            scenario: a shipped name or a TOML file.
            out: folder of the result; created where it does not exist.
            seed: of the run's random choices.
            seconds: in place of the scenario's.
            site: shape of the site in place of the scenario's: a name or a file.
            program: folder of another build, whose gateways are to serve.
        """
        from wickspring.lab.emulation.site import ROOT, LabError
        from wickspring.lab.experiments import run as runs
        from wickspring.lab.reports import plots

        _refuse_file("--out", out)
        if program is not None:
            _require_folder("--program", program)
        what = _load_scenario(scenario, site, seconds)
        try:
            with ProgressLine(what.seconds) as progress:
                result = runs.run(what, seed, program or ROOT, progress)
        except LabError as error:
            raise CommandError(error) from error
        results.save(result, out)
        path = plots.write(result, out)
        print(
            f"{what.name}: {result.requests} requests, {result.served_share:.3f} served, "
            f"{result.escalate_failed} of {result.escalates} escalates failed, {result.dials} dials, "
            f"{result.rules_broken} rules broken; {path}"
        )
        if result.rules_broken:
            raise CommandError

    def compare(self, first: Path, second: Path) -> str:
        """Set two runs, or two folders of runs over several seeds, side by side."""
        from wickspring.lab.reports import plots

        for path in (first, second):
            _require(path.exists(), f"{path} does not exist")
        try:
            ours, theirs = results.load_all(first), results.load_all(second)
        except results.ResultError as error:
            raise CommandError(error, ExitCode.USAGE) from error
        title = f"{first.name} ({len(ours)} runs) and {second.name} ({len(theirs)} runs)"
        columns = ("figure", first.name, second.name, "ratio")
        return f"{title}\n{format_rows(columns, plots.compare(ours, theirs))}"

    def report(self, folder: Path) -> str:
        """Write the report of a run again from its result."""
        from wickspring.lab.reports import plots

        _require_folder("FOLDER", folder)
        try:
            return str(plots.write(results.load(folder), folder))
        except results.ResultError as error:
            raise CommandError(error, ExitCode.USAGE) from error


def _load_scenario(name: str, site: str, seconds: float | None) -> scenarios.Scenario:
    """Read a scenario; where it is cut short, the faults beyond its new end are left out."""
    try:
        scenario = scenarios.load(name, site)
        if seconds is None:
            return scenario
        faults = tuple(fault for fault in scenario.fault if fault.at_s < seconds)
        return msgspec.structs.replace(scenario, seconds=seconds, fault=faults)
    except scenarios.ScenarioError as error:
        raise CommandError(error, ExitCode.USAGE) from error


def _require(holds: bool, fault: str) -> None:
    if not holds:
        raise CommandError(fault, ExitCode.USAGE)


def _require_folder(name: str, path: Path) -> None:
    _require(path.is_dir(), f"{name}: {path} is not a folder")


def _refuse_file(name: str, path: Path) -> None:
    _require(not path.is_file(), f"{name}: {path} is a file")
