"""The operator's commands against a control plane that answers as written here."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from wickspring.ctl import client
from wickspring.ctl.__main__ import Commands, main, run_command
from wickspring.ctl.drills import DRILL_NAMES
from wickspring.lab.experiments.drill import DRILLS

STATUS: dict[str, Any] = {
    "node": "light-127.0.1.1",
    "chain": {
        "epoch": 4,
        "members": ["127.0.1.1", "127.0.1.3", "127.0.1.4"],
        "voters": ["127.0.1.1", "127.0.1.3", "127.0.1.4"],
        "member": True,
        "contact": "settled",
        "frozen": False,
        "steady": True,
        "held": 2,
        "safe": 1,
        "disk": "first",
        "short": ["the loss of 2 machines"],
    },
    "core": {
        "127.0.1.2": {"live": False, "behind": ["silent", "epoch 3 of 4"]},
        "127.0.1.3": {"live": True, "behind": [], "disk": "first", "version": 1, "zone": "a", "ill": False},
        "127.0.1.4": {"live": True, "behind": ["r0 of r1"], "disk": "be2e", "version": 0, "later": 1},
    },
    "pilots": ["127.0.2.1", "127.0.2.2"],
    "servers": [
        {
            "id": "s1",
            "service": "looker",
            "address": "127.0.3.1:8080",
            "zone": "a",
            "state": "ready",
            "slots": 2,
            "silent_s": 0.3,
        }
    ],
    "counts": {"toy": {"in_span": 37, "left": 25.1}},
}


class Site(ThreadingHTTPServer):
    """One control plane: what it answers to each call, and the bodies it was sent."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.answers: dict[str, tuple[int, bytes]] = {"GET /status": (200, json.dumps(STATUS).encode())}
        self.bodies: list[bytes] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_port}"


class _Handler(BaseHTTPRequestHandler):
    server: Site

    def _answer(self) -> None:
        self.server.bodies.append(self.rfile.read(int(self.headers.get("Content-Length") or 0)))
        status, body = self.server.answers.get(f"{self.command} {self.path}", (404, b"{}"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = _answer  # noqa: N815 - the names that http.server calls

    def log_message(self, *_: Any) -> None:
        """Keep the test's output free of calls."""


@pytest.fixture
def site() -> Iterator[Site]:
    with Site() as server:
        thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
        thread.start()
        yield server
        server.shutdown()
        thread.join()


def _lines(text: str) -> list[list[str]]:
    return [line.split() for line in text.splitlines()]


@pytest.mark.parametrize(
    ("chain", "printed", "in_json"),
    [
        ({}, "stable", "steady"),
        ({"steady": False, "frozen": True}, "frozen", "frozen"),
        ({"steady": False}, "isolated", "alone"),
        ({"steady": False, "member": False}, "spare", "spare"),
        ({"steady": False, "member": False, "contact": "none"}, "isolated", "alone"),
        ({"steady": False, "frozen": True, "contact": "none"}, "frozen", "frozen"),
    ],
)
def test_status_shows_the_state_of_each_control_plane(
    site: Site, chain: dict[str, Any], printed: str, in_json: str
) -> None:
    answer = {**STATUS, "chain": {**STATUS["chain"], **chain}}
    site.answers["GET /status"] = 200, json.dumps(answer).encode()
    lines = _lines(Commands(at=site.address).status())
    assert lines[0] == [
        "control_plane",
        "state",
        "epoch",
        "stored",
        "committed",
        "endpoints",
        "data_planes",
    ]
    assert lines[1] == [site.address, printed, "4", "r2", "r1", "1", "127.0.2.1,127.0.2.2"]
    assert " ".join(lines[2]) == "the control planes do not tolerate the loss of 2 machines"
    (row,) = json.loads(Commands(at=site.address, json=True).status())
    assert row["state"] == in_json


def test_status_as_json_keeps_its_keys(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "ROUNDS", 1)
    rows = json.loads(Commands(at=(site.address, "127.0.0.1:1"), json=True).status())
    assert rows[0] == {
        "lighthouse": site.address,
        "state": "steady",
        "epoch": 4,
        "held": "r2",
        "safe": "r1",
        "servers": 1,
        "pilots": "127.0.2.1,127.0.2.2",
        "short": ["the loss of 2 machines"],
    }
    assert set(rows[1]) == {"lighthouse", "state"}
    assert rows[1]["lighthouse"] == "127.0.0.1:1"
    assert rows[1]["state"].startswith("no answer (127.0.0.1:1: ")


def test_chain_shows_which_replica_is_behind(site: Site) -> None:
    assert _lines(Commands(at=site.address).chain()) == [
        ["epoch", "4,", "as", "reported", "by", "light-127.0.1.1"],
        ["position", "node", "live", "committed", "disk", "behind"],
        ["head", "127.0.1.1", "True", "r1", "first", "-"],
        ["middle", "127.0.1.3", "True", "r1", "first", "-"],
        ["tail", "127.0.1.4", "True", "r0", "be2e", "r0", "of", "r1"],
        ["spare", "127.0.1.2", "False", "r?", "?", "silent;", "epoch", "3", "of", "4"],
    ]
    assert json.loads(Commands(at=site.address, json=True).chain()) == STATUS


def test_endpoints_and_counts(site: Site, capsys: pytest.CaptureFixture[str]) -> None:
    commands = Commands(at=site.address)
    endpoints = [
        ["id", "service", "address", "zone", "state", "slots", "since_heartbeat_s"],
        ["s1", "looker", "127.0.3.1:8080", "a", "ready", "2", "0.3"],
    ]
    assert _lines(commands.endpoints()) == endpoints
    assert capsys.readouterr().err == ""
    assert _lines(commands.servers()) == endpoints
    assert capsys.readouterr().err.startswith("servers is now endpoints")
    assert _lines(commands.counts()) == [["tenant", "used", "remaining"], ["toy", "37", "25.1"]]
    as_json = Commands(at=site.address, json=True)
    assert json.loads(as_json.endpoints()) == STATUS["servers"]
    assert json.loads(as_json.servers()) == STATUS["servers"]
    assert json.loads(as_json.counts()) == STATUS["counts"]


def test_no_servers_is_said_so(site: Site) -> None:
    site.answers["GET /status"] = 200, json.dumps({**STATUS, "servers": []}).encode()
    assert Commands(at=site.address).servers() == "none"


def test_a_snapshot_goes_to_a_file_and_back(site: Site, tmp_path: Path) -> None:
    body = json.dumps({"leaving": {"s1": 1, "s2": 2}}).encode()
    site.answers["GET /snapshot"] = 200, body
    site.answers["POST /snapshot"] = 200, b'{"generation": "r3", "leaving": 2}'
    file = str(tmp_path / "snap.json")
    commands = Commands(at=site.address)
    assert commands.snapshot(file) == f"{file}: {len(body)} bytes, 2 departures"
    assert commands.restore(file) == f"{site.address}: r3 is in force, 2 departures"
    assert site.bodies[-1] == body


def test_read_and_replace(site: Site, tmp_path: Path) -> None:
    site.answers["GET /config/read"] = 200, b'{"generation": "r2"}'
    site.answers["POST /config/replace"] = 200, b'{"generation": "r2"}'
    commands = Commands(at=site.address)
    text = commands.read()
    assert text == '{\n "generation": "r2"\n}'
    (tmp_path / "config.json").write_text(text)
    assert commands.replace(str(tmp_path / "config.json")) == f"{site.address}: acknowledged, r2 is in force"
    assert site.bodies[-1] == text.encode()


@pytest.mark.parametrize(
    ("call", "command", "file"),
    [
        ("GET /snapshot", "snapshot", True),
        ("POST /snapshot", "restore", True),
        ("GET /config/read", "read", False),
        ("POST /config/replace", "replace", True),
    ],
)
def test_a_refusal_ends_the_command_with_what_was_answered(
    site: Site,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    call: str,
    command: str,
    file: bool,
) -> None:
    site.answers[call] = 409, b'{"kind":"version_taken"}'
    path = tmp_path / "file"
    path.write_bytes(b"{}")
    refusal = f'{site.address}: 409 {{"kind":"version_taken"}}'
    arguments = [command, *([str(path)] if file else [])]
    with pytest.raises(client.RefusedError) as error:
        getattr(Commands(at=site.address), command)(*arguments[1:])
    assert str(error.value) == refusal
    monkeypatch.setattr(sys, "argv", ["ctl", *arguments, f"--at={site.address}"])
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == 1
    assert capsys.readouterr().err == f"{refusal}\n"


def test_a_node_that_does_not_answer_is_skipped(site: Site) -> None:
    assert " stable " in Commands(at=f"127.0.0.1:1,{site.address}").status()
    assert client.call(f"127.0.0.1:1, {site.address}", "GET", "/status").at.strip() == site.address


def test_nobody_answers(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "ROUNDS", 1)
    site.answers["GET /status"] = 503, b'{"kind":"not_ready"}'
    with pytest.raises(client.NoControlPlaneError) as error:
        Commands(at=f"{site.address},127.0.0.1:1").servers()
    assert f'{site.address}: 503 {{"kind":"not_ready"}}' in str(error.value)
    assert "127.0.0.1:1: " in str(error.value)


def test_exit_codes_where_nobody_answers_and_for_a_missing_file(
    site: Site, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "ROUNDS", 1)
    for arguments, code in (
        (["servers", "--at=127.0.0.1:1"], 1),
        (["restore", str(tmp_path / "missing"), f"--at={site.address}"], 2),
    ):
        monkeypatch.setattr(sys, "argv", ["ctl", *arguments])
        with pytest.raises(SystemExit) as ended:
            main()
        assert ended.value.code == code


def test_check_names_the_fault(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text("{}")
    with pytest.raises(SystemExit) as ended:
        Commands().check(str(file))
    assert str(ended.value).startswith(f"{file}: ")


def test_a_drill_without_a_known_name_lists_them() -> None:
    names = [line.split() for line in Commands().drill().splitlines()]
    assert [name for name, _ in names] == list(DRILL_NAMES)
    assert [former.strip("()") for _, former in names] == list(DRILLS)
    assert Commands().drill("none-such").startswith("no drill none-such; there are no-fault, config-changes")


@pytest.mark.parametrize(("name", "former"), DRILL_NAMES.items())
def test_a_drill_runs_by_its_standard_and_its_former_name(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, name: str, former: str
) -> None:
    runs: list[tuple[str, int, float]] = []

    def run_drill(drill: str, seed: int, seconds: float) -> dict[str, str]:
        runs.append((drill, seed, seconds))
        return {"drill": drill}

    monkeypatch.setattr("wickspring.lab.experiments.drill.run_drill", run_drill)
    file = tmp_path / "result.json"
    expected = f'{{\n "drill": "{former}"\n}}'
    assert Commands().drill(name, seed=3, seconds=1.0, file=str(file)) == expected
    assert Commands().drill(former, seed=3, seconds=1.0) == expected
    assert runs == [(former, 3, 1.0)] * 2
    assert file.read_text() == f"{expected}\n"


@pytest.mark.parametrize(
    "words", [("gossip", "--data-planes", "7", "--seed=3"), ("flotilla", "--pilots", "7", "--seed", "3")]
)
def test_gossip_is_measured_by_its_standard_and_its_former_name(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], words: tuple[str, ...]
) -> None:
    monkeypatch.setattr(
        "wickspring.lab.simulation.gossip.measure", lambda count, seed: {"count": count, "seed": seed}
    )
    assert run_command(words) == 0
    printed = capsys.readouterr()
    assert json.loads(printed.out) == {"count": 7, "seed": 3}
    assert ("flotilla" in printed.err) == (words[0] == "flotilla")


def test_forms_of_words_and_options(
    site: Site, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(client, "ROUNDS", 1)
    forms: tuple[tuple[str, ...], ...] = (
        ("servers", "--at", site.address, "--json"),
        ("--at", site.address, "--json", "servers"),
        ("--json", "servers", f"--at=127.0.0.1:1,{site.address}"),
        ("servers", "--json=True", "--at", f"127.0.0.1:1,{site.address}"),
    )
    for words in forms:
        assert run_command(words) == 0
        assert json.loads(capsys.readouterr().out) == STATUS["servers"]
    (tmp_path / "7").write_text("{}")
    monkeypatch.chdir(tmp_path)
    site.answers["POST /config/replace"] = 200, b'{"generation": "r2"}'
    for words in (("replace", "7"), ("replace", "--file", "7")):
        assert run_command((*words, "--at", site.address)) == 0
        assert capsys.readouterr().out == f"{site.address}: acknowledged, r2 is in force\n"


@pytest.mark.parametrize(
    "words",
    [("replace", "f", "--dry-run"), ("replace", "f", "g"), ("replace",), ("replce", "f"), ("times", "x")],
)
def test_faulty_words_send_nothing(
    site: Site, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, words: tuple[str, ...]
) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "f").write_text("{}")
    assert run_command((*words, "--at", site.address)) == 2
    assert site.bodies == []


def test_without_words_the_help_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_command(()) == 0
    assert "replace" in capsys.readouterr().out


def test_helm_is_an_alias(site: Site) -> None:
    command = [sys.executable, "-m", "wickspring.helm", "counts", "--at", site.address]
    ended = subprocess.run(command, capture_output=True, text=True, check=True)
    assert _lines(ended.stdout) == [["tenant", "used", "remaining"], ["toy", "37", "25.1"]]
    assert ended.stderr.startswith("wickspring.helm is now wickspring.ctl")
