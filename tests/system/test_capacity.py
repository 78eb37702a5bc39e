"""What more ingresses, servers, tenants, routes, requests, changes and restarts cost, in bytes."""

from __future__ import annotations

import msgspec

from wickspring.lab.experiments.capacity import FOLDER, SweepResult, check
from wickspring.lab.experiments.capacity_sweeps import SWEEPS
from wickspring.lab.experiments.linear_fit import Line, Point, find_growth, fit, fit_figures

SIZES_LEAST = 4


def test_no_slope_has_grown_by_more_than_a_quarter() -> None:
    assert check() == []


def test_a_line_and_its_spread() -> None:
    line = fit([(1.0, 12.0), (2.0, 14.0), (3.0, 16.0), (4.0, 18.0)])
    assert line.slope == 2.0 and line.at_0 == 10.0 and line.spread == 0.0
    assert fit([(float(n), 3.0 * n * n) for n in range(1, 6)]).power == 2.0
    assert fit([(1.0, 0.0), (2.0, 10.0), (3.0, 0.0)]).spread > 0.5


def test_what_has_grown_is_named() -> None:
    def lines(times: float, base: float) -> dict[str, dict[str, Line]]:
        points = [
            Point(n, 1, {"sent_bytes": base + times * n, "worked_ms": 9.0 * times * n}) for n in (1, 2, 3, 4)
        ]
        return {"servers": fit_figures(points)}

    before = lines(10.0, 20.0)
    assert find_growth(lines(12.4, 20.0), before, {"servers": 4.0}) == []
    assert "slope of sent_bytes" in find_growth(lines(12.6, 20.0), before, {"servers": 4.0})[0]
    assert "sent_bytes at 4" in find_growth(lines(10.0, 40.0), before, {"servers": 4.0})[0]
    assert "no longer measured" in find_growth({"servers": {}}, before, {"servers": 4.0})[0]


def test_each_sweep_has_its_results_stored() -> None:
    for name, sweep in SWEEPS.items():
        result = msgspec.json.decode((FOLDER / f"{name}.json").read_bytes(), type=SweepResult)
        sizes = {point.size for point in result.points}
        assert len(sizes) >= SIZES_LEAST and sizes == set(sweep.sizes)
        assert result.lines == fit_figures(result.points)
