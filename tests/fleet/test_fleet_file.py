"""Faults in a fleet file are named by their key."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.fleet import fleet_file
from wickspring import cli


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('agent = "a0"', 'agent = "a9"'), "a9"),
        (('hall = "hall-a"\n', ""), "hall"),
        (('first_build = "1"', 'first_build = "7"'), "first_build"),
        (("gossip_s = 0.2", "gossip_s = 0"), "gossip_s"),
        (("[rules]", "[rules]\ngosip_s = 1"), "gosip_s"),
        (('name = "2"', 'name = "1"'), "build"),
        (('name = "n0"', 'name = "n 0"'), "n 0"),
        (('config = "n0.json"', 'config = "no.json"'), "no.json"),
        (("[rules]", "[rules]\ndown_share_hall = 2"), "down_share_hall"),
        (('address = "127.0.0.1:', 'address = "10.0.0.1:'), "tls"),
        (('address = "127.0.0.1:', 'address = "127.0.0.1'), "address"),
    ],
)
def test_a_fault_in_the_fleet_file_names_its_key(
    tmp_path: Path, change: tuple[str, str], named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = fleet_file(tmp_path)
    assert cli.main(["fleet", "check", str(path)]) == 0
    assert change[0] in path.read_text()
    path.write_text(path.read_text().replace(*change, 1))
    assert cli.main(["fleet", "check", str(path)]) == 2
    assert named in capsys.readouterr().err
