"""Varied copies of site files keep their form and change their figures."""

from __future__ import annotations

import tomllib
from pathlib import Path

from wickspring.lab.varied import vary, write

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
