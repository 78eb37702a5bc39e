"""Configuration: both sources of settings come to the same, and messages name the key."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.policy.test_simwire import SETTINGS
from tests.support.example_config import EXAMPLE_CONFIG, example_config
from wickspring import cli, config, simwire
from wickspring.settings.errors import ConfigError
from wickspring.settings.http2_file import HTTP2_FILE, load_http2
from wickspring.settings.pairs import flatten


def load(tmp_path: Path, data: Any, http2: str = "", **env: str) -> config.Instance:
    (tmp_path / "c.json").write_text(data if isinstance(data, str) else json.dumps(data))
    (tmp_path / "http2.toml").write_text(http2)
    return config.load_instance(tmp_path / "c.json", env, tmp_path / "http2.toml")


def test_example_loads_and_the_environment_wins(tmp_path: Path) -> None:
    instance = load(tmp_path, example_config(), GW_LISTEN="127.0.0.9:5001", GW_NAME="n9")
    assert (instance.name, instance.listen) == ("n9", ("127.0.0.9", 5001))
    assert not instance.http2.enabled
    assert instance.settings.classes[0].name == "ticket-view"


def test_nested_json_and_the_simulators_lines_come_to_the_same(tmp_path: Path) -> None:
    data = example_config()
    lines = "\n".join(f"{key}={value}" for key, value in flatten(data["settings"]).items())
    instance = load(tmp_path, data)
    assert simwire.parse_settings(lines, int(data["seed"], 16)) == instance.settings


def test_rates_are_per_millisecond_inside() -> None:
    assert simwire.parse_settings(SETTINGS, 1).plans[0].rate == 1.5 / 1000


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"counter": "127.0.0.1"}, "counter"),
        ({"seed": "xyz"}, "seed"),
        ({"limits__sockets": "many"}, "limits.sockets"),
        ({"limits__sockets": 3}, "limits.sockets"),
        ({"known__servers": 3}, "known.servers"),
        ({"settings": None}, "settings"),
        ({"settings__Siblings": None}, "Siblings"),
        ({"settings__Zone": "x"}, "Zone"),
        ({"settings__Lanes__0__Effect": "odd"}, "Lanes.0.Effect"),
        ({"settings__Lanes__1__Name": "ticket-view"}, "Lanes"),
        ({"settings__Lanes__0__Promise": 0}, "Lanes.0.Promise"),
        ({"settings__Packages__0__UnitsPerS": -1}, "Packages.0.UnitsPerS"),
        ({"settings__Packages__0__MaxOut": 1.5}, "Packages.0.MaxOut"),
        ({"settings__Permissions__Cancelling": "maybe"}, "Permissions.Cancelling"),
        ({"settings__Permissions__StreamsPerConn": 0}, "Permissions.StreamsPerConn"),
    ],
)
def test_message_names_the_key(tmp_path: Path, changes: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError) as caught:
        load(tmp_path, example_config(**changes))
    assert named in str(caught.value)


@pytest.mark.parametrize(
    ("text", "named"), [("enabled = 1", "enabled"), ("listen = 'x'", "listen"), ("lisen = 'x'", "lisen")]
)
def test_http2_file_is_checked(tmp_path: Path, text: str, named: str) -> None:
    with pytest.raises(ConfigError, match=named):
        load(tmp_path, example_config(), http2=text)


def test_http2_is_off_as_deployed() -> None:
    assert not load_http2(HTTP2_FILE).enabled


def test_check_config_names_the_faulty_key_and_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["check-config", str(EXAMPLE_CONFIG)]) == 0
    (tmp_path / "bad.json").write_text(json.dumps(example_config(settings__Siblings=None)))
    assert cli.main(["check-config", str(tmp_path / "bad.json")]) == 2
    assert "Siblings" in capsys.readouterr().err
    (tmp_path / "bad.json").write_text("{")
    assert cli.main(["check-config", str(tmp_path / "bad.json")]) == 2


def test_serve_ends_with_the_key_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "bad.json").write_text(json.dumps(example_config(listen="x")))
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "bad.json"))
    monkeypatch.delenv("GW_LISTEN", raising=False)
    assert cli.main(["serve"]) == 2
    assert "event=bad_configuration" in capsys.readouterr().err
