"""Scenario and site files: which are accepted, and the requests that are drawn from them."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tests.lab.short_scenarios import SMALL, with_little_load
from tests.support.command_line import run_command
from wickspring.config import build_settings
from wickspring.lab.emulation import shape
from wickspring.lab.experiments import scenario
from wickspring.lab.traffic import schedule
from wickspring.settings.pairs import flatten


def test_the_same_seed_gives_the_same_script() -> None:
    one = scenario.parse(SMALL, "small.toml")
    assert schedule.draw_script(one, 3) == schedule.draw_script(one, 3)
    assert schedule.draw_script(one, 3).requests != schedule.draw_script(one, 4).requests
    assert 150 < len(schedule.draw_script(one, 3).requests) < 350


def test_every_shipped_scenario_has_the_name_of_its_file() -> None:
    names = scenario.shipped()
    assert {"steady", "idle-close", "race-close", "reset-storm", "cold-server", "middlebox"} <= set(names)
    assert {"full-table", "large-storm", "descriptors"} <= set(names)
    for name in names:
        assert scenario.load(name).name == name


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[servers]\ncount = 0\n", "servers.count"),
        ("[servers]\ncuont = 3\n", "cuont"),
        ('[closing]\nmode = "often"\n', "closing.mode"),
        ("[closing]\nshare = 2\n", "closing.share"),
        ('[[fault]]\nat_s = 1\nkind = "flood"\n', "fault[0].kind"),
        ('[[fault]]\nat_s = 99\nkind = "slow"\n', "fault[0].at_s"),
        ('[[fault]]\nat_s = 1\nkind = "slow"\nservers = [9]\n', "fault[0].servers"),
        ("[ingresses.connections]\nwait_ms = 0\n", "wait_ms"),
        ("[ingresses.connections]\nwiat_ms = 1\n", "wiat_ms"),
    ],
)
def test_a_fault_in_a_scenario_names_its_key(text: str, key: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('name = "bad"\nabout = ""\n' + text)
    got = run_command("lab", "run", str(path), "--out", str(tmp_path / "out"))
    assert got.exit_code == 2
    assert "bad.toml" in got.stderr
    assert key in got.stderr
    assert not (tmp_path / "out").exists()


@pytest.mark.parametrize("site", ["helpdesk", "tinting"])
def test_every_scenario_loads_with_every_shipped_site(site: str) -> None:
    for name in scenario.shipped():
        one = scenario.load(name, site)
        assert one.shape is shape.load(site)
        settings = build_settings(
            flatten(schedule.gateway_settings(one, schedule.draw_script(with_little_load(one), 1), 0)), 1
        )
        assert settings.drain_grace == one.shape.drain_grace_ms
        assert len(settings.classes) == len(one.shape.kind)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('name = "shop"', 'nmae = "shop"', "nmae"),
        ("aim_ms = 500.0", "aim_ms = 9000.0", "kind[0].aim_ms"),
        ("window_ms = 1500.0", "window_ms = 0.0", "kind[2].window_ms"),
        ("ceiling = 1.8", "ceiling = 0.8", "plan[1].ceiling"),
        ("speeds = [1.0, 0.75]", "speeds = [1.0]", "speeds"),
        ("share = 0.43", "share = -1.0", "kind.share"),
    ],
)
def test_a_fault_in_a_site_names_its_key(old: str, new: str, key: str, tmp_path: Path) -> None:
    text = shape.shipped()["tinting"].read_text()
    assert old in text
    path = tmp_path / "mine.toml"
    path.write_text(text.replace(old, new, 1))
    words = ["run", "steady", "--site", str(path), "--out", str(tmp_path / "out")]
    got = run_command("lab", *words)
    assert got.exit_code == 2
    assert "mine.toml" in got.stderr
    assert key in got.stderr


def test_hot_keys_use_one_ingress_and_a_hot_caller_leaves_other_requests_unchanged() -> None:
    one = scenario.parse(SMALL + "[ingresses]\ncount = 3\n", "")
    plain = schedule.draw_script(one, 4)
    caller = scenario.HotCaller(0.2, 0.6, 1.0)
    hot = schedule.draw_script(msgspec.structs.replace(one, hot_caller=(caller,)), 4)
    ids = {each.call_id for each in plain.requests}
    more = [each for each in hot.requests if each.call_id not in ids]
    assert ids < {each.call_id for each in hot.requests}
    assert len({each.firm.customer for each in more}) == 1
    assert all(200.0 <= each.at_ms <= 800.0 for each in more)
    gathered = schedule.draw_script(
        msgspec.structs.replace(one, hot_key=(scenario.HotKey(0.0, 9.0, 1.0),)), 4
    )
    places: dict[int, set[int]] = {}
    for each in gathered.requests:
        places.setdefault(each.firm.customer, set()).add(each.ingress)
    assert all(len(some) == 1 for some in places.values())
    assert [each.at_ms for each in gathered.requests] == [each.at_ms for each in plain.requests]
