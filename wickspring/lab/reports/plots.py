"""Reports: plots of one run, and two sets of runs side by side."""

from __future__ import annotations

from pathlib import Path
from statistics import mean, stdev
from typing import Any

import matplotlib

from wickspring.lab.reports.result import Result, Series

matplotlib.use("Agg")

SHOWN = (
    "requests",
    "served_share",
    "served_in_aim_share",
    "refused",
    "failed",
    "latency_p50_ms",
    "latency_p99_ms",
    "rules_broken",
    "answers_lost",
    "answers_doubled",
    "forbidden_copies",
    "drain_ms_most",
    "cold_load_most",
    "dials",
    "dials_per_s_peak",
    "dials_per_s_peak_server",
    "reuse_share",
    "sent_on_dead_per_1000",
    "escalates",
    "escalate_failed",
    "escalate_failed_share",
    "connections_peak",
    "beyond_quota_share",
    "beyond_quota_worst",
    "counter_calls_per_request",
    "cpu_ms_per_request",
    "peak_rss_mb",
)


def number(value: float) -> str:
    """Write a figure as people read it."""
    return f"{value:d}" if isinstance(value, int) else f"{value:.4g}"


def plot(result: Result, path: Path) -> None:
    """Draw service, latency, connections, dials and dead writes over time."""
    from matplotlib.figure import Figure

    series: Series = result.series
    bin_s = series.bin_ms / 1000.0
    at = [index * bin_s for index in range(len(series.offered))]
    figure = Figure(figsize=(9, 11), layout="constrained")
    axes: Any = figure.subplots(5, 1, sharex=True)
    each = 1.0 / bin_s
    for name, style in (("offered", "k:"), ("served", "g-"), ("refused", "b-"), ("failed", "r-")):
        axes[0].plot(at, [value * each for value in getattr(series, name)], style, label=name, lw=1)
    axes[0].set_ylabel("requests a second")
    axes[1].plot(at, series.latency_ms, "g-", lw=1, label="median of the served")
    axes[1].set_ylabel("latency, ms")
    axes[2].plot(at, series.open, "k-", lw=1, label="open")
    axes[2].set_ylabel("connections")
    axes[3].plot(at, [value * each for value in series.dials], "b-", lw=1, label="dials")
    axes[3].plot(at, [value * each for value in series.ends], "r-", lw=1, label="ends")
    axes[3].set_ylabel("a second")
    axes[4].plot(at, [value * each for value in series.dead_writes], "r-", lw=1, label="written to the dead")
    axes[4].set_ylabel("a second")
    axes[4].set_xlabel("seconds")
    for axis in axes:
        axis.legend(loc="upper right", fontsize="small")
        axis.grid(alpha=0.3)
        axis.set_ylim(bottom=0)
    figure.suptitle(f"{result.scenario}, seed {result.seed}")
    figure.savefig(path, dpi=100)


def write(result: Result, folder: Path) -> Path:
    """Write the report of one run beside its result; return its path."""
    plot(result, folder / "plot.png")
    lines = [f"# {result.scenario}, seed {result.seed}", "", "![over time](plot.png)", ""]
    lines += ["| figure | value |", "| --- | ---: |"]
    lines += [f"| {name} | {number(getattr(result, name))} |" for name in SHOWN]
    if result.violations:
        lines += ["", "## Broken rules", "", *(f"- {text}" for text in result.violations)]
    if result.gateway:
        lines += ["", "## The gateways' own figures, summed", "", "| figure | value |", "| --- | ---: |"]
        lines += [f"| {name} | {number(value)} |" for name, value in sorted(result.gateway.items())]
    path = folder / "report.md"
    path.write_text("\n".join(lines) + "\n")
    return path


def spread(values: list[float]) -> str:
    """Write mean and standard deviation."""
    return f"{mean(values):.4g}" + (f" ± {stdev(values):.2g}" if len(values) > 1 else "")


def compare(ours: list[Result], theirs: list[Result]) -> list[tuple[str, str, str, str]]:
    """Return figure, first, second and the ratio of the means, with spreads over seeds."""
    rows = []
    for name in SHOWN:
        first = [float(getattr(one, name)) for one in ours]
        second = [float(getattr(one, name)) for one in theirs]
        ratio = f"{mean(second) / mean(first):.3f}" if mean(first) else "-"
        rows.append((name, spread(first), spread(second), ratio))
    return rows
