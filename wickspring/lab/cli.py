"""The laboratory's commands."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from wickspring.lab.emulation import shape as shapes
from wickspring.lab.experiments import scenario as scenarios
from wickspring.lab.reports import result as results
from wickspring.lab.reports.record import Record


class Progress:
    """A bar on a terminal; nothing elsewhere."""

    def __init__(self, seconds: float) -> None:
        from rich.console import Console
        from rich.progress import BarColumn, TextColumn
        from rich.progress import Progress as Bar

        columns = (BarColumn(), TextColumn("{task.completed:.1f} of {task.total:.0f} s  {task.fields[text]}"))
        self.bar = Bar(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty())
        self.task = self.bar.add_task("", total=seconds, text="")

    def __call__(self, at_s: float, record: Record) -> None:
        """Show how far the run has come."""
        text = f"{len(record.asked)} asked, {len(record.dials)} dials"
        self.bar.update(self.task, completed=at_s, text=text)


@click.group()
def lab() -> None:
    """Emulated sites, load, a checker of the rules, and reports."""


@lab.command("list")
def list_scenarios() -> None:
    """Name the shipped scenarios."""
    from rich.console import Console
    from rich.table import Table

    table = Table("scenario", "kind", "seconds", "about", box=None)
    for name in scenarios.shipped():
        one = scenarios.load(name)
        table.add_row(name, one.kind, f"{one.seconds:g}", one.about)
    Console().print(table)
    table = Table("site", "about", box=None)
    for name in shapes.shipped():
        table.add_row(name, shapes.load(name).about)
    Console().print(table)


@lab.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True)
@click.option("--seconds", type=float, help="In place of the scenario's.")
@click.option("--site", default="", help="Shape of the site in place of the scenario's: a name or a file.")
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Folder of another build, whose gateways are to serve.",
)
def run(scenario: str, seed: int, out: Path, seconds: float | None, site: str, program: Path | None) -> None:
    """Run SCENARIO, a shipped name or a TOML file; write OUT/result.json and a report.

    Fails with 1 where a rule was broken, with 2 where the scenario is at fault.
    """
    import msgspec

    from wickspring.lab.emulation.site import ROOT, LabError
    from wickspring.lab.experiments import run as runs
    from wickspring.lab.reports import plots

    try:
        what = scenarios.load(scenario, site)
        if seconds is not None:
            faults = tuple(fault for fault in what.fault if fault.at_s < seconds)
            what = msgspec.structs.replace(what, seconds=seconds, fault=faults)
    except scenarios.ScenarioError as error:
        click.echo(error, err=True)
        raise SystemExit(2) from error
    progress = Progress(what.seconds)
    try:
        with progress.bar:
            result = runs.run(what, seed, program or ROOT, progress)
    except LabError as error:
        click.echo(error, err=True)
        raise SystemExit(1) from error
    results.save(result, out)
    path = plots.write(result, out)
    click.echo(
        f"{what.name}: {result.requests} requests, {result.served_share:.3f} served, "
        f"{result.escalate_failed} of {result.escalates} escalates failed, {result.dials} dials, "
        f"{result.rules_broken} rules broken; {path}"
    )
    raise SystemExit(int(result.rules_broken > 0))


@lab.command()
@click.argument("first", type=click.Path(path_type=Path, exists=True))
@click.argument("second", type=click.Path(path_type=Path, exists=True))
def compare(first: Path, second: Path) -> None:
    """Set two runs, or two folders of runs over several seeds, side by side."""
    from rich.console import Console
    from rich.table import Table

    from wickspring.lab.reports import plots

    try:
        ours, theirs = results.load_all(first), results.load_all(second)
    except results.ResultError as error:
        click.echo(error, err=True)
        raise SystemExit(2) from error
    title = f"{first.name} ({len(ours)} runs) and {second.name} ({len(theirs)} runs)"
    table = Table("figure", first.name, second.name, "ratio", title=title, box=None)
    for row in plots.compare(ours, theirs):
        table.add_row(*row)
    Console().print(table)


@lab.command("report")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def report_again(folder: Path) -> None:
    """Write the report of a run again from its result."""
    from wickspring.lab.reports import plots

    try:
        click.echo(plots.write(results.load(folder), folder))
    except results.ResultError as error:
        click.echo(error, err=True)
        raise SystemExit(2) from error
