"""Straight lines through measured points, and the check that none has become steeper."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from statistics import fmean, linear_regression
from typing import Any

GROWTH = 1.25  # times as steep as the line put away, beyond which the check fails
SHARE = 0.1  # of the figure at the largest size that a slope must make up to be held to that
COUNTED = ("_bytes", "_messages", "_bytes_s", "_messages_s")  # figures that do not hang on the machine

Point = Mapping[str, Any]  # "size", "seed" and "figures"


def _power(points: list[tuple[float, float]]) -> float:
    if any(x <= 0 or y <= 0 for x, y in points):
        return 0.0
    logs = [(math.log(x), math.log(y)) for x, y in points]
    return round(linear_regression([x for x, _ in logs], [y for _, y in logs]).slope, 2)


def fit(points: Iterable[tuple[float, float]]) -> dict[str, Any]:
    """Fit a line; the spread is the largest distance of a point from it, as a share of the largest figure.

    The power is the slope of the logarithms: 1 for what grows evenly, 2 for what grows with the square.
    """
    at = list(points)
    xs, ys = [x for x, _ in at], [y for _, y in at]
    if len(set(xs)) < 2:
        return {
            "slope": 0.0,
            "at_0": fmean(ys),
            "spread": 0.0,
            "power": 0.0,
            "sizes": 1,
            "points": len(at),
        }
    line = linear_regression(xs, ys)
    most = max(map(abs, ys)) or 1.0
    spread = max(abs(y - line.intercept - line.slope * x) for x, y in at) / most
    return {
        "slope": float(f"{line.slope:.5g}"),
        "at_0": float(f"{line.intercept:.5g}"),
        "spread": round(spread, 4),
        "power": _power(at),
        "sizes": len(set(xs)),
        "points": len(at),
    }


def fits(points: Iterable[Point]) -> dict[str, dict[str, Any]]:
    """Fit each figure of a sweep over its sizes."""
    by_name: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for point in points:
        for name, value in point["figures"].items():
            by_name[name].append((float(point["size"]), float(value)))
    return {name: fit(found) for name, found in sorted(by_name.items())}


def at(line: Mapping[str, Any], size: float) -> float:
    """Return what a line says of a size."""
    return float(line["at_0"]) + float(line["slope"]) * size


def grown(now: Mapping[str, Any], before: Mapping[str, Any], largest: Mapping[str, float]) -> list[str]:
    """Name the figures that have become steeper, or larger at the largest size, by more than a quarter."""
    found = []
    for sweep, lines in before.items():
        for name, line in lines.items():
            if not name.endswith(COUNTED):
                continue
            size = largest[sweep]
            fresh = now[sweep].get(name)
            if fresh is None:
                found.append(f"{sweep}: {name} is no longer measured")
                continue
            was, is_ = at(line, size), at(fresh, size)
            steep = line["slope"] * size > SHARE * was
            if steep and fresh["slope"] > GROWTH * line["slope"]:
                found.append(f"{sweep}: slope of {name} is {fresh['slope']:g}, was {line['slope']:g}")
            elif is_ > GROWTH * was + 1.0:
                found.append(f"{sweep}: {name} at {size:g} is {is_:g}, was {was:g}")
    return found
