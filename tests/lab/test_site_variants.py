"""Varied copies of site files keep their form and change their figures."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from wickspring.lab.experiments.site_variants import CORES, replace_days, vary, widen, write

SITE = """name = "x"
wire = "wire.json"
machines = [{ class = "front", cpu_share = 0.86, count = 3 }]
services = [{ name = "s", conn_cap = 110, handshake_ms = 1.0, idle_close_ms = 10000 }]
[net]
in_zone_ms = 0.1
cross_zone_ms = 1.4
[tenants]
count = 8
quota_x = 1.6
[[day]]
name = "d"
seed = 77
"""


def test_a_copy_differs_in_figures_alone(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_text(SITE)
    (tmp_path / "wire.json").write_text("{}")
    one, two = tomllib.loads(vary(SITE, 1)), tomllib.loads(vary(SITE, 2))
    assert one != two and vary(SITE, 1) == vary(SITE, 1)
    assert one["machines"][0]["count"] == 3 and one["day"][0]["seed"] != 77
    assert isinstance(one["services"][0]["conn_cap"], int) and 0.5 < one["net"]["cross_zone_ms"] < 4.0
    written = Path(write(str(tmp_path / "x.toml"), str(tmp_path / "out"), 3))
    assert written.name == "x-v3.toml" and (tmp_path / "out" / "wire.json").exists()


WIDE = """zones = [
  { name = "a", region = "r" },
  { name = "b", region = "r" },
  { name = "c", region = "r" },
  { name = "d", region = "r" },
]
machines = [
  { class = "front", cpu_share = 0.86, zone = "a", count = 3, spare = 1 },
  { class = "core", zone = "a", count = 1, spare = 1, disk = { mb = 256, sync_ms = 2 } },
  { class = "core", zone = "b", count = 1, spare = 1, disk = { mb = 256, sync_ms = 2 } },
  { class = "core", zone = "c", count = 1, spare = 1, disk = { mb = 256, sync_ms = 2 } },
  { class = "core", zone = "d", count = 1, spare = 1, disk = { mb = 256, sync_ms = 2 } },
]
[tolerate]
machines = 1
zones = 0
regions = 0
[[day]]
name = "quiet"
seed = 77
"""


@pytest.mark.parametrize(
    ("core", "counts"), [("five", [2, 1, 1, 1]), ("six", [2, 2, 2]), ("seven", [2, 2, 2, 1])]
)
def test_a_wider_core_spans_the_zones_and_tolerates_more_failures(core: str, counts: list[int]) -> None:
    was, now = tomllib.loads(WIDE), tomllib.loads(widen(WIDE, CORES[core]))
    machines = [one for one in now["machines"] if one["class"] == "core"]
    assert [one["count"] for one in machines] == counts
    assert all(one["spare"] == 1 and one["disk"] == was["machines"][1]["disk"] for one in machines)
    assert now["machines"][0] == was["machines"][0] and now["day"] == was["day"]
    assert now["tolerate"] == {"machines": CORES[core].bears, "zones": CORES[core].bears_zones, "regions": 0}


@pytest.mark.parametrize("name", CORES)
@pytest.mark.parametrize("zones", [3, 4])
def test_a_majority_remains_after_the_tolerated_failures_of_a_wider_core(zones: int, name: str) -> None:
    core = CORES[name]
    counts = core.counts(zones)
    assert sum(counts) == core.machines and len(counts) == zones
    assert 2 * (core.machines - core.bears) > core.machines
    assert not core.bears_zones or 2 * (core.machines - max(counts)) > core.machines


def test_a_site_file_of_another_form_is_refused() -> None:
    with pytest.raises(ValueError, match="borne"):
        widen(WIDE.replace("[tolerate]", "[bear]"), CORES["five"])
    with pytest.raises(ValueError, match="two lines of core machines in a"):
        widen(WIDE.replace('"core", zone = "b"', '"core", zone = "a"'), CORES["five"])
    with pytest.raises(ValueError, match="no line of core machines in b"):
        widen(WIDE.replace('"core", zone = "b"', '"side", zone = "b"'), CORES["five"])


def test_days_given_replace_those_of_the_files(tmp_path: Path) -> None:
    ours = '[[day]]\nname = "cut"\nseed = 5\nplan = []\n'
    days = tomllib.loads(replace_days(WIDE, [ours, ours], 9))["day"]
    assert [(one["name"], one["seed"]) for one in days] == [("cut", 9), ("cut", 9)]
    (tmp_path / "cut.w.toml").write_text(ours)
    (tmp_path / "other.x.toml").write_text(ours)
    (tmp_path / "w.toml").write_text(WIDE)
    written = Path(write(str(tmp_path / "w.toml"), str(tmp_path), 0, "five", str(tmp_path), 3))
    assert written.name == "w-v0-five-own3.toml" and len(tomllib.loads(written.read_text())["day"]) == 1
