"""What each thing more costs: `python -m wickspring.lab.experiments.capacity` measures, fits and stores it.

Without a name all sweeps are played, each at four sizes or more and for two seeds; `SWEEP ...` plays some.
`target` measures single steps, and a slice of a site, at the target's own size.
Results go to `docs/capacity/SWEEP.json`: the points, and for each figure a line (slope, at 0, spread).
`--plot` draws them beside. `--short` plays two small sizes of each within seconds, and fails where bytes or
messages have become steeper by more than a quarter than `docs/capacity/short.json` says; with `--keep` it
writes that file anew.
`docs/CAPACITY.md` reckons with these slopes.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import click

from wickspring.lab.experiments.capacity_sweeps import SWEEPS, target
from wickspring.lab.experiments.linear_fit import COUNTED, fits, grown

FOLDER = Path(__file__).resolve().parents[3] / "docs" / "capacity"
SHORT = "short.json"
TARGET = "target"  # not a sweep: what can be measured at the target's own size
DIGITS = 5
COLUMNS = 4


def _rounded(value: float) -> float:
    return float(f"{value:.{DIGITS}g}")


def _short(tree: Any) -> Any:
    if isinstance(tree, dict):
        return {name: _short(value) for name, value in tree.items()}
    return _rounded(tree) if isinstance(tree, float) else tree


def measure(name: str, seeds: Iterable[int], short: bool = False) -> dict[str, Any]:
    """Play one sweep; its points and lines."""
    sweep = SWEEPS[name]
    run, sizes = (sweep.short, sweep.short_sizes) if short else (sweep.run, sweep.sizes)
    points = []
    for size in sizes:
        for seed in seeds:
            figures = {one: _rounded(value) for one, value in sorted(run(size, seed).items())}
            points.append({"size": size, "seed": seed, "figures": figures})
    return {"sweep": name, "lines": fits(points), "points": points}


def check() -> list[str]:
    """Play the short form; name what has grown since it was put away."""
    before = json.loads((FOLDER / SHORT).read_text())
    now = {name: measure(name, (1,), short=True)["lines"] for name in before}
    return grown(now, before, {name: float(SWEEPS[name].short_sizes[-1]) for name in before})


def plot(result: Mapping[str, Any], path: Path) -> None:
    """Draw the lines of a sweep whose slope shows."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    points = result["points"]
    most = max(one["size"] for one in points)
    shown = [
        (name, line)
        for name, line in result["lines"].items()
        if abs(line["slope"]) * most > 0.1 * max(abs(p["figures"].get(name, 0.0)) for p in points) > 0
    ]
    rows = max(1, math.ceil(len(shown) / COLUMNS))
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(4 * COLUMNS, 2.6 * rows), squeeze=False)
    for (name, line), axis in zip(shown, axes.flat, strict=False):
        found = [(p["size"], p["figures"][name]) for p in points if name in p["figures"]]
        axis.plot(*zip(*found, strict=True), "o", markersize=3)
        axis.plot([0, most], [line["at_0"], line["at_0"] + line["slope"] * most], linewidth=1)
        axis.set_title(name, fontsize=8)
        axis.tick_params(labelsize=7)
    for axis in list(axes.flat)[len(shown) :]:
        axis.axis("off")
    figure.suptitle(result["sweep"], fontsize=10)
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    pyplot.close(figure)


@click.command()
@click.argument("sweeps", nargs=-1, type=click.Choice([*SWEEPS, TARGET]))
@click.option("--seeds", default=2, help="how many seeds of each size")
@click.option("--out", type=click.Path(path_type=Path), default=FOLDER, help="folder of the results")
@click.option("--plot", "plots", is_flag=True, help="draw each sweep beside its result")
@click.option("--short", is_flag=True, help="small sizes, and only compare with what is put away")
@click.option("--keep", is_flag=True, help="with --short: put away instead")
def main(sweeps: tuple[str, ...], seeds: int, out: Path, plots: bool, short: bool, keep: bool) -> None:
    """Measure what ingresses, servers, tenants, routes, requests, changes and restarts cost."""
    out.mkdir(parents=True, exist_ok=True)
    if short and keep:
        lines = {
            name: {k: v for k, v in measure(name, (1,), short=True)["lines"].items() if k.endswith(COUNTED)}
            for name in SWEEPS
        }
        (out / SHORT).write_text(json.dumps(lines, indent=1, sort_keys=True) + "\n")
        return
    if short:
        found = check()
        click.echo("\n".join(found) or "no slope has grown by more than a quarter")
        raise SystemExit(int(bool(found)))
    for name in [one for one in sweeps or SWEEPS if one != TARGET]:
        result = measure(name, range(1, 1 + seeds))
        (out / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")
        if plots:
            plot(result, out / f"{name}.png")
        click.echo(f"{name}: {len(result['points'])} points, {len(result['lines'])} lines")
    if not sweeps or TARGET in sweeps:
        (out / f"{TARGET}.json").write_text(json.dumps(_short(target(1)), indent=1) + "\n")
        click.echo(f"{TARGET}: put away")


if __name__ == "__main__":
    main()
