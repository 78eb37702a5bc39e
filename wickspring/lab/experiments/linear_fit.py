"""Straight lines through measured points, and the check that none has become steeper."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from statistics import fmean, linear_regression

import msgspec

MAX_GROWTH = 1.25  # times as steep, or as high at the largest size, as the stored line
MIN_SLOPE_SHARE = 0.1  # of the figure at the largest size that a slope must make up to be compared
COUNTED = ("_bytes", "_messages", "_bytes_s", "_messages_s")  # figures that do not depend on the machine


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of one run of a sweep."""

    size: int
    seed: int
    figures: dict[str, float]


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line through the points of one figure, over the size."""

    slope: float
    at_0: float
    spread: float  # largest distance of a point from the line, as a share of the largest figure
    power: float  # slope of the logarithms: 1 for linear growth, 2 for growth with the square
    sizes: int  # how many sizes were measured
    points: int  # how many points were measured

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.at_0 + self.slope * size


Lines = Mapping[str, Line]  # by figure


def fit(points: Iterable[tuple[float, float]]) -> Line:
    """Fit a line through pairs of size and figure; a flat one where there is a single size."""
    pairs = list(points)
    sizes = [size for size, _ in pairs]
    values = [value for _, value in pairs]
    size_count = len(set(sizes))
    if size_count < 2:
        return Line(0.0, fmean(values), 0.0, 0.0, 1, len(pairs))
    line = linear_regression(sizes, values)
    largest = max(map(abs, values)) or 1.0
    spread = max(abs(value - line.intercept - line.slope * size) for size, value in pairs) / largest
    return Line(
        slope=float(f"{line.slope:.5g}"),
        at_0=float(f"{line.intercept:.5g}"),
        spread=round(spread, 4),
        power=_power(pairs),
        sizes=size_count,
        points=len(pairs),
    )


def _power(pairs: list[tuple[float, float]]) -> float:
    """Return the slope of the logarithms; 0 where a value has none."""
    if any(size <= 0 or value <= 0 for size, value in pairs):
        return 0.0
    log_sizes = [math.log(size) for size, _ in pairs]
    log_values = [math.log(value) for _, value in pairs]
    return round(linear_regression(log_sizes, log_values).slope, 2)


def fit_figures(points: Iterable[Point]) -> dict[str, Line]:
    """Fit a line for each figure of a sweep over its sizes."""
    pairs_by_figure: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for point in points:
        for figure, value in point.figures.items():
            pairs_by_figure[figure].append((float(point.size), float(value)))
    return {figure: fit(pairs) for figure, pairs in sorted(pairs_by_figure.items())}


def find_growth(
    measured: Mapping[str, Lines], stored: Mapping[str, Lines], largest_sizes: Mapping[str, float]
) -> list[str]:
    """Describe the figures that have become steeper, or higher at the largest size, by more than a quarter.

    All three are by sweep. Figures that depend on the machine are not compared.
    """
    problems = []
    for sweep, lines in stored.items():
        for figure, line in lines.items():
            if figure.endswith(COUNTED):
                new = measured[sweep].get(figure)
                problem = _growth_of(figure, line, new, largest_sizes[sweep])
                problems += [f"{sweep}: {problem}"] if problem else []
    return problems


def _growth_of(figure: str, old: Line, new: Line | None, size: float) -> str:
    """Describe how one figure has grown; empty where it has not."""
    if new is None:
        return f"{figure} is no longer measured"
    old_value, new_value = old.at(size), new.at(size)
    is_sloped = old.slope * size > MIN_SLOPE_SHARE * old_value
    if is_sloped and new.slope > MAX_GROWTH * old.slope:
        return f"slope of {figure} is {new.slope:g}, was {old.slope:g}"
    if new_value > MAX_GROWTH * old_value + 1.0:
        return f"{figure} at {size:g} is {new_value:g}, was {old_value:g}"
    return ""
