"""What each thing more costs: `python -m wickspring.lab.experiments.capacity` measures, fits and stores it.

Without a name all sweeps are run, each at four sizes or more and for two seeds; `SWEEP ...` runs some.
`target` measures single steps, and a slice of a site, at the target's own size.
Results go to `docs/capacity/SWEEP.json`: the points, and for each figure a line (slope, at 0, spread).
`--plot` draws them beside. `--short` runs two small sizes of each within seconds, and fails where bytes or
messages have become steeper by more than a quarter than `docs/capacity/short.json` says; with `--keep` it
writes that file anew.
`docs/CAPACITY.md` calculates with these slopes.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.runner import run_single
from wickspring.lab.experiments.capacity_sweeps import SWEEPS, measure_target
from wickspring.lab.experiments.linear_fit import COUNTED, Line, Point, find_growth, fit_figures

FOLDER = Path(__file__).resolve().parents[3] / "docs" / "capacity"
SHORT_FILE = "short.json"
TARGET = "target"  # not a sweep: what can be measured at the target's own size
SIGNIFICANT_DIGITS = 5
PLOT_COLUMNS = 4
MIN_PLOTTED_SHARE = 0.1  # of a figure's largest value that its slope must make up to be drawn


def _rounded(value: float) -> float:
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def _round_all(tree: object) -> object:
    """Round the numbers in a tree of dicts."""
    if isinstance(tree, dict):
        return {name: _round_all(value) for name, value in tree.items()}
    return _rounded(tree) if isinstance(tree, float) else tree


class SweepResult(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The points of a sweep, and a line for each figure, as `docs/capacity/SWEEP.json` stores them."""

    sweep: str
    lines: dict[str, Line]
    points: list[Point]


def measure(name: str, seeds: Iterable[int], short: bool = False) -> SweepResult:
    """Run one sweep."""
    sweep = SWEEPS[name]
    run = sweep.run_short if short else sweep.run
    sizes = sweep.short_sizes if short else sweep.sizes
    points = []
    for size in sizes:
        for seed in seeds:
            figures = {figure: _rounded(value) for figure, value in sorted(run(size, seed).items())}
            points.append(Point(size, seed, figures))
    return SweepResult(name, fit_figures(points), points)


def check() -> list[str]:
    """Run the short sweeps; name the figures that have grown since they were stored."""
    text = (FOLDER / SHORT_FILE).read_bytes()
    stored = msgspec.json.decode(text, type=dict[str, dict[str, Line]])
    measured = {name: measure(name, (1,), short=True).lines for name in stored}
    largest_sizes = {name: float(SWEEPS[name].short_sizes[-1]) for name in stored}
    return find_growth(measured, stored, largest_sizes)


def store_short(folder: Path) -> None:
    """Run the short sweeps and store those of their lines that do not depend on the machine."""
    stored = {}
    for name in SWEEPS:
        lines = measure(name, (1,), short=True).lines
        counted = {figure: line for figure, line in lines.items() if figure.endswith(COUNTED)}
        stored[name] = msgspec.to_builtins(counted)
    (folder / SHORT_FILE).write_text(json.dumps(stored, indent=1, sort_keys=True) + "\n")


def _is_sloped(figure: str, line: Line, points: Iterable[Point]) -> bool:
    """Tell whether a line's slope makes up enough of its figure to be drawn."""
    largest_size = max(point.size for point in points)
    largest_value = max(abs(point.figures.get(figure, 0.0)) for point in points)
    rise = abs(line.slope) * largest_size
    return bool(rise > MIN_PLOTTED_SHARE * largest_value > 0)


def draw(result: SweepResult, path: Path) -> None:
    """Draw the lines of a sweep that have a noticeable slope."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    points = result.points
    largest_size = max(point.size for point in points)
    shown = [(name, line) for name, line in result.lines.items() if _is_sloped(name, line, points)]
    rows = max(1, math.ceil(len(shown) / PLOT_COLUMNS))
    figure, axes = pyplot.subplots(rows, PLOT_COLUMNS, figsize=(4 * PLOT_COLUMNS, 2.6 * rows), squeeze=False)
    for (name, line), axis in zip(shown, axes.flat, strict=False):
        values = [(point.size, point.figures[name]) for point in points if name in point.figures]
        axis.plot(*zip(*values, strict=True), "o", markersize=3)
        axis.plot([0, largest_size], [line.at_0, line.at(largest_size)], linewidth=1)
        axis.set_title(name, fontsize=8)
        axis.tick_params(labelsize=7)
    for axis in list(axes.flat)[len(shown) :]:
        axis.axis("off")
    figure.suptitle(result.sweep, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    pyplot.close(figure)


def measure_sweeps(
    *sweeps: str,
    seeds: int = 2,
    out: Path = FOLDER,
    plot: bool = False,
    short: bool = False,
    keep: bool = False,
) -> None:
    """Measure what ingresses, servers, tenants, routes, requests, changes and restarts cost.

    Args:
        sweeps: names of sweeps, or `target`; by default all of them.
        seeds: how many seeds of each size.
        out: folder of the results.
        plot: draw each sweep beside its result.
        short: small sizes, and only compare with the stored lines.
        keep: with `--short`: store the lines instead.
    """
    unknown = [name for name in sweeps if name not in (*SWEEPS, TARGET)]
    if unknown:
        raise CommandError(
            f"no sweep {unknown[0]!r}; there are {', '.join((*SWEEPS, TARGET))}", ExitCode.USAGE
        )
    out.mkdir(parents=True, exist_ok=True)
    if short and keep:
        store_short(out)
        return
    if short:
        problems = check()
        print("\n".join(problems) or "no slope has grown by more than a quarter")
        if problems:
            raise CommandError
        return
    for name in sweeps or SWEEPS:
        if name != TARGET:
            _measure_and_store(name, seeds, out, plot)
    if not sweeps or TARGET in sweeps:
        (out / f"{TARGET}.json").write_text(json.dumps(_round_all(measure_target(1)), indent=1) + "\n")
        print(f"{TARGET}: stored")


def _measure_and_store(name: str, seeds: int, out: Path, plot: bool) -> None:
    result = measure(name, range(1, 1 + seeds))
    (out / f"{name}.json").write_text(json.dumps(msgspec.to_builtins(result), indent=1) + "\n")
    if plot:
        draw(result, out / f"{name}.png")
    print(f"{name}: {len(result.points)} points, {len(result.lines)} lines")


def main() -> None:
    """Run the command that the words of this process name."""
    sys.exit(run_single(measure_sweeps, sys.argv[1:], "capacity"))


if __name__ == "__main__":
    main()
