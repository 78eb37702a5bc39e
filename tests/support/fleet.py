"""Records, owners' states and a fleet file for the tests of the fleet and its agents."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from tests.support.example_config import example_config
from wickspring.fleet import owner
from wickspring.fleet.model import DesiredState, InstanceRecord, ObservedState, Rules
from wickspring.fleet.owner import OwnerState
from wickspring.lab.emulation.site import free_port

NOW = 1000.0
RULES = Rules()


def record(name: str, hall: str = "hall-a", build: str = "1", **more: object) -> InstanceRecord:
    fields: dict[str, object] = {
        "desired": DesiredState(True, build, 1),
        "observed": ObservedState("ready", build, version=1),
        **more,
    }
    return InstanceRecord(name, hall, "a0", **fields)  # type: ignore[arg-type]


def owner_state(*records: InstanceRecord) -> OwnerState:
    one = OwnerState("a0")
    for each in records:
        one = owner.register(one, each)
    return one


def fleet_file(folder: Path, agents: int = 1, instances: int = 1, extra: str = "", tls: bool = False) -> Path:
    root = Path(__file__).parents[2]
    lines = [extra, 'first_build = "1"', "backoff_first_s = 0.1"]
    if tls:
        lines += ["[tls]", 'ca = "ca.pem"', 'cert = "boss.pem"', 'key = "boss.pem"']
        lines += ["[[operator]]", 'name = "boss"', 'role = "operate"', "[[operator]]", 'name = "guest"']
    lines += ["[rules]", "gossip_s = 0.2", "hold_s = 0.3", "drain_within_s = 3", "ready_within_s = 15"]
    for number in range(agents):
        lines += ["[[agent]]", f'name = "a{number}"', 'hall = "hall-a"', f'state = "a{number}"']
        lines += [f'address = "127.0.0.1:{free_port()}"']
        lines += [f'cert = "a{number}.pem"', f'key = "a{number}.pem"'] if tls else []
    lines += ["[[build]]", 'name = "1"', f'path = "{root}"', f'python = "{sys.executable}"']
    lines += ["[[build]]", 'name = "2"', f'path = "{root}"', f'python = "{sys.executable}"']
    for number in range(instances):
        data = example_config(listen=f"127.0.0.1:{free_port()}")
        (folder / f"n{number}.json").write_text(json.dumps(data))
        lines += [
            "[[instance]]",
            f'name = "n{number}"',
            f'agent = "a{number % agents}"',
            f'config = "n{number}.json"',
        ]
    path = folder / "fleet.toml"
    path.write_text("\n".join(lines) + "\n")
    return path
