"""Forms of words and options of the other groups, and their exit codes."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.agent.test_agent import agent_file
from tests.support.command_line import CommandResult, run_command
from wickspring import __version__, cli
from wickspring.agent import control
from wickspring.agent.supervisor import Report
from wickspring.commands import admin, peers
from wickspring.commands.admin import AdminAnswer, AdminCall
from wickspring.lab.experiments import run as lab_run
from wickspring.lab.experiments import scenario as scenarios
from wickspring.lab.reports import plots, result
from wickspring.lab.reports.record import Record
from wickspring.peer_state.messages import BudgetView, MemberView, View
from wickspring.tenants import Tenants
from wickspring.wire import WireError

ROOT = Path(__file__).resolve().parents[2]
EXAMPLE = ROOT / "example"


# One agent and its instances.


def test_version_and_check_config() -> None:
    shown = run_command("version")
    assert shown.exit_code == 0
    assert [line.split()[0] for line in shown.stdout.splitlines()] == [
        "wickspring",
        "trio",
        "h11",
        "h2",
        "msgspec",
    ]
    assert shown.stdout.startswith(f"wickspring {__version__}\n")
    assert run_command("check-config", str(EXAMPLE / "agent.toml")) == CommandResult(
        0, "agent.toml: 2 instances\n", ""
    )
    checked = run_command(
        "check-config", "--http2", str(ROOT / "deploy" / "http2.toml"), str(EXAMPLE / "config.json")
    )
    assert (checked.exit_code, checked.stderr) == (0, "")
    assert run_command("check-config", str(EXAMPLE / "none.json")).exit_code == 2


class Agent:
    """An agent that answers each command with `result`."""

    def __init__(self) -> None:
        self.commands: list[control.Command] = []
        self.result = control.Result(instances=(Report("n0", "ready", 7, "127.0.0.1:5000", 1, 0, None),))

    async def ask(self, _: Path, command: control.Command) -> control.Result:
        self.commands.append(command)
        return self.result


@pytest.fixture
def agent(monkeypatch: pytest.MonkeyPatch) -> Agent:
    answering = Agent()
    monkeypatch.setattr(control, "send_command", answering.ask)
    return answering


@pytest.mark.parametrize("command", ["status", "drain", "start", "reload", "restart"])
def test_a_command_to_the_agent(agent: Agent, tmp_path: Path, command: str) -> None:
    file = str(agent_file(tmp_path, ("n0", "n1")))
    line = "n0               ready     127.0.0.1:5000        pid=7 starts=1 failures=0 last_exit=-\n"
    assert run_command(command, file) == CommandResult(0, line, "")
    assert run_command(command, file, "n0", "7").exit_code == 0
    assert agent.commands == [control.Command(command), control.Command(command, ("n0", "7"))]
    waiting = Report("n0", "waiting", None, "127.0.0.1:5000", 1, 1, 2)
    agent.result = control.Result(instances=(waiting,), directory_error="not reached")
    ended = run_command(command, file)
    assert ended.exit_code == (1 if command == "status" else 0)
    assert "last_exit=2" in ended.stdout and ended.stderr == "directory: not reached\n"
    agent.result = control.Result(error="no instance is named n9")
    assert run_command(command, file, "n9") == CommandResult(1, "", "no instance is named n9\n")
    assert run_command(command, str(tmp_path / "none.toml")).exit_code == 2
    assert run_command(command).exit_code == 2


def test_tenants(agent: Agent, tmp_path: Path) -> None:
    without = str(agent_file(tmp_path, ("n0",)))
    assert run_command("tenants", without).exit_code == 2
    file = str(agent_file(tmp_path, ("n0",), ldap="ldap://127.0.0.1:1"))
    agent.result = control.Result(tenants=Tenants(), directory_error="not reached")
    assert run_command("tenants", file) == CommandResult(0, "", "directory: not reached\n")
    assert agent.commands == [control.Command("tenants")]
    for words in ((file, "--fetch"), ("--fetch", file)):
        assert run_command("tenants", *words).exit_code == 1  # nobody listens at the directory
    assert len(agent.commands) == 1


def test_serve_among_other_words_is_a_command_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cli, "serve", lambda: 2)
    assert run_command("serve").exit_code == 2
    assert run_command("serve", "--quick").exit_code == 2
    assert "serve" in run_command("serve", "--help").stdout


def test_an_interrupted_command_fails(agent: Agent, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(control, "send_command", interrupt)
    assert run_command("drain", str(agent_file(tmp_path, ("n0",)))) == CommandResult(1, "", "interrupted\n")


# The admin APIs of an agent's instances.


def test_admin_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[tuple[tuple[str, int], AdminCall]] = []

    async def call(address: tuple[str, int], request: AdminCall) -> AdminAnswer:
        calls.append((address, request))
        return AdminAnswer(address[1] != 2, f"{request.path}")

    monkeypatch.setattr(admin, "call", call)
    text = f'control = "{tmp_path / "a.sock"}"\n'
    for number in (1, 2):
        text += f'[[instance]]\nname = "n{number}"\nconfig = "{EXAMPLE / "config.json"}"\n'
        text += f'listen = "127.0.0.1:{5000 + number}"\nadmin_addr = "127.0.0.1:{number}"\n'
    file = tmp_path / "agent.toml"
    file.write_text(text)
    assert run_command("ready", str(file), "n1").stdout == "n1               yes  /api/ready\n"
    assert run_command("exclude", str(file), "7", "n1").exit_code == 0
    assert calls[-1] == (("127.0.0.1", 1), AdminCall("PUT", "/api/exclude", b'{"who":"7"}'))
    ended = run_command("include", str(file), "s-1")
    assert (ended.exit_code, ended.stderr) == (1, "did not follow: n2\n")
    assert calls[-1][1] == AdminCall("PUT", "/api/include", b'{"who":"s-1"}')
    assert run_command("exclude", str(file)).exit_code == 2
    assert run_command("ready", str(file), "n3").exit_code == 2


# Ingresses that talk to each other.

VIEW = View(
    "n1",
    1,
    3,
    "hall-b",
    members=(
        MemberView("n1", 1, "hall-b", "alive", "127.0.0.1:7401", "1", 0.0, 0.0, ("s-1", "s-4")),
        MemberView("n2", 2, "hall-c", "doubted", "127.0.0.1:7402", "1", 0.3, -1.0),
        MemberView("n3", 3, "hall-c", "gone", "127.0.0.1:7403", "1", 4.0, 4.0),
    ),
    budgets=(BudgetView("retries", 60, 10, 10, 0, 0, 0), BudgetView("dials s-1", 48, 8, 8, 0, 0, 0)),
    avoided={"s-4": 0.5},
    error_counts={"no_answer": 2},
)


def test_peers_status(monkeypatch: pytest.MonkeyPatch) -> None:
    views = [VIEW]

    async def ask(address: str, keys: object) -> View:
        if not views:
            raise WireError(f"{address}: no answer")
        return views[0]

    monkeypatch.setattr(peers, "ask", ask)
    shown = run_command("peers", "status", "127.0.0.1:7400")
    assert shown == CommandResult(
        0,
        "n1 (slot 1 of 3, hall-b): 0 customers' windows, 0 bytes a second out, 0 rights refused\n"
        "ingress  slot  hall    is       talked s ago  heard s ago  says fails\n"
        "n1       1     hall-b  alive    -             -            s-1 s-4\n"
        "n2       2     hall-c  doubted  0.3           never        -\n"
        "n3       3     hall-c  gone     4.0           4.0          -\n"
        "budget   rights  own part  free  in use  lent  borrowed\n"
        "retries  60      10        10    0       0     0\n"
        "1 more budgets, of which nothing is lent or borrowed (--all)\n"
        "avoided by hearsay: s-4 (weight 0.50)\n"
        "troubles: no_answer 2\n",
        "",
    )
    for words in (("--all", "127.0.0.1:7400"), ("127.0.0.1:7400", "--all")):
        assert "dials s-1" in run_command("peers", "status", *words).stdout
    for words in (("--json", "127.0.0.1:7400"), ("127.0.0.1:7400", "--json")):
        assert '"slots"' in run_command("peers", "status", *words).stdout
    views[0] = View("n1", 1, 3, "hall-b", members=VIEW.members[:1])
    alone = run_command("peers", "status", "127.0.0.1:7400")
    assert (alone.exit_code, alone.stderr) == (1, "n1 hears 1 of 3, itself among them\n")
    views.clear()
    assert run_command("peers", "status", "h:1") == CommandResult(1, "", "h:1: no answer\n")
    disabled = str(ROOT / "deploy" / "peers.toml")
    for faulty in ([], ["nowhere"], ["none.toml"], [disabled], ["h:1", "h:2"]):
        assert run_command("peers", "status", *faulty).exit_code == 2
    assert run_command("peers").exit_code == 2


# The lab.


def test_lab_list_names_scenarios_and_sites() -> None:
    shown = run_command("lab", "list")
    assert shown.exit_code == 0
    first_words = [line.split()[0] for line in shown.stdout.splitlines()]
    assert first_words[0] == "scenario"
    assert {"steady", "ingress-crash", "site", "tinting"} <= set(first_words)


def test_options_of_a_lab_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    runs: list[tuple[scenarios.Scenario, int, Path]] = []

    def run(what: scenarios.Scenario, seed: int, program: Path, progress: object) -> result.Result:
        runs.append((what, seed, program))
        assert callable(progress)
        progress(1.0, Record())
        return result.Result(what.name, seed, what.seconds, rules_broken=seed - 1)

    monkeypatch.setattr(lab_run, "run", run)
    monkeypatch.setattr(plots, "write", lambda _, folder: folder / "report.md")
    out = tmp_path / "out"
    ended = run_command("lab", "run", "steady", "--out", str(out))
    assert ended.exit_code == 0 and ended.stdout.endswith(f"0 rules broken; {out / 'report.md'}\n")
    assert (out / "result.json").exists()
    words = (
        "--seed",
        "2",
        "--seconds",
        "7.5",
        "--site=tinting",
        "--program",
        str(tmp_path),
        "--out",
        str(out),
    )
    assert run_command("lab", "run", *words, "steady").exit_code == 1
    (first, *_), (scenario, seed, program) = runs
    assert first.seconds != 7.5
    assert (scenario.name, scenario.seconds, seed, program) == ("steady", 7.5, 2, tmp_path)
    for faulty in (
        ("steady",),
        ("--out", str(out)),
        ("none-such", "--out", str(out)),
        ("steady", "--out", str(out), "--program", str(tmp_path / "none")),
        ("steady", "--out", str(out / "result.json")),
        ("steady", "--out", str(out), "--seed", "x"),
        ("steady", "--out", str(out), "--sede", "1"),
    ):
        assert run_command("lab", "run", *faulty).exit_code == 2
    assert len(runs) == 2
    assert run_command("lab", "compare", str(out), str(tmp_path / "none")).exit_code == 2
    assert run_command("lab", "report", str(tmp_path / "none")).exit_code == 2
    compared = run_command("lab", "compare", str(out), str(out))
    assert compared.exit_code == 0
    assert compared.stdout.splitlines()[0] == "out (1 runs) and out (1 runs)"
    assert compared.stdout.splitlines()[1].split() == ["figure", "out", "out", "ratio"]
