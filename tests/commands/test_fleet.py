"""The group `fleet`: each command and form of its options, against an agent that answers as written here."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.support.command_line import CommandResult, run_command
from tests.support.fleet import fleet_file, record
from wickspring.agent import wire
from wickspring.commands.fleet import operations
from wickspring.commands.fleet.client import FleetClient
from wickspring.fleet.model import (
    DesiredState,
    InstanceRecord,
    Kind,
    ObservedState,
    Operation,
    Phase,
    Progress,
    Step,
)
from wickspring.wire import WireError

MOVING = Progress("n0", "a0", "hall-a", Step.MOVING, build_before="1")
DONE = Progress("n0", "a0", "hall-a", Step.DONE, build_before="1")
STATUS_TABLE = """\
instance  hall    agent  state  build  wanted   requests  failed  starts  held by  note
n0        hall-a  a0     ready  1      run 1    0         0       0       -        -
n1        hall-b  a0     ready  1      stopped  0         0       0       -        -
agents: 2; a1 dead
"""


class Agents:
    """Agents that begin any operation, and report it as it is in each of `phases` in turn."""

    def __init__(self) -> None:
        self.messages: list[wire.Message] = []
        self.asked: list[str] = []
        self.records: tuple[InstanceRecord, ...] = (
            record("n0"),
            record("n1", hall="hall-b", desired=DesiredState(False, "1", 1)),
        )
        self.phases = [Phase.RUNNING, Phase.DONE]
        self.error = ""
        self.operation: Operation | None = None

    def exchange(self, message: wire.Message, agent_name: str = "") -> wire.Answer:
        self.messages.append(message)
        self.asked.append(agent_name)
        if isinstance(message, wire.Submit):
            self.operation = Operation(
                message.id,
                message.kind,
                message.by,
                "a1",
                10.0,
                (MOVING,),
                batch=message.batch,
                ended_at=12.5,
            )
            return wire.Answer(error=self.error, operation=self.operation)
        if isinstance(message, wire.Cancel):
            return wire.Answer(error=self.error, operation=self.operation)
        return wire.Answer(
            agents=(wire.AgentView("a0", "hall-a", "alive"), wire.AgentView("a1", "hall-a", "dead")),
            records=self.records,
            operations=(self._report(),) if self.operation is not None else (),
            history=(wire.HistoryLine(0.0, "begun"),),
        )

    def last_message(self) -> wire.Message:
        return self.messages[-1]

    def submitted(self) -> wire.Submit:
        (submit,) = [message for message in self.messages if isinstance(message, wire.Submit)]
        return submit

    def _report(self) -> Operation:
        assert self.operation is not None
        phase = self.phases.pop(0) if len(self.phases) > 1 else self.phases[0]
        progress = DONE if phase is Phase.DONE else MOVING
        return Operation(
            self.operation.id,
            self.operation.kind,
            self.operation.by,
            "a1",
            10.0,
            (progress,),
            phase=phase,
            reason="n1 is held" if phase is Phase.REFUSED else "",
            ended_at=12.5,
        )


@pytest.fixture
def agents(monkeypatch: pytest.MonkeyPatch) -> Agents:
    answering = Agents()
    monkeypatch.setattr(
        FleetClient, "exchange", lambda _, message, name="": answering.exchange(message, name)
    )
    monkeypatch.setattr(operations, "POLL_INTERVAL_S", 0.0)
    return answering


@pytest.fixture
def file(tmp_path: Path) -> Path:
    return fleet_file(tmp_path, agents=2, instances=2)


Fleet = Callable[..., CommandResult]


@pytest.fixture
def fleet(agents: Agents, file: Path) -> Fleet:
    """Run a command of the group on the fleet file."""
    return lambda *words: run_command("fleet", *words, "--fleet", str(file))


def test_status(fleet: Fleet, agents: Agents) -> None:
    shown = fleet("status")
    assert (shown.exit_code, shown.stdout) == (0, STATUS_TABLE)
    assert [line.split()[0] for line in fleet("status", "hall=hall-b").stdout.splitlines()[1:-1]] == ["n1"]
    assert [
        line.split()[0] for line in fleet("status", "hall=hall-a,build!=3").stdout.splitlines()[1:-1]
    ] == ["n0"]
    assert fleet("status", "n9").exit_code == 2
    agents.records = (record("n0", observed=ObservedState("starting")),)
    assert fleet("status").exit_code == 1


@pytest.mark.parametrize("words", [("--json", "n1"), ("n1", "--json")])
def test_status_as_json(fleet: Fleet, words: tuple[str, ...]) -> None:
    shown = fleet("status", *words)
    assert shown.exit_code == 0
    assert [entry["name"] for entry in json.loads(shown.stdout)["records"]] == ["n1"]


def test_the_fleet_file_comes_from_the_environment_or_the_folder(
    agents: Agents, file: Path, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setenv("WICKSPRING_FLEET", str(file))
    assert run_command("fleet", "status").exit_code == 0
    monkeypatch.delenv("WICKSPRING_FLEET")
    monkeypatch.chdir(tmp_path)
    assert run_command("fleet", "status").exit_code == 0
    monkeypatch.chdir("/")
    missing = run_command("fleet", "status")
    assert missing.exit_code == 2 and "fleet.toml" in missing.stderr


@pytest.mark.parametrize(
    ("words", "kind"),
    [
        (("start",), Kind.START),
        (("drain",), Kind.DRAIN),
        (("restart",), Kind.RESTART),
        (("upgrade", "2"), Kind.UPGRADE),
        (("rollback",), Kind.ROLLBACK),
    ],
)
def test_an_operation_is_followed_to_its_end(
    fleet: Fleet, agents: Agents, words: tuple[str, ...], kind: Kind
) -> None:
    ended = fleet(*words, "n0", "--by", "ann")
    submit = agents.submitted()
    build = "2" if kind is Kind.UPGRADE else ""
    assert submit == wire.Submit(kind, ("n0",), build, 1, False, "ann", submit.id)
    assert ended.exit_code == 0
    assert ended.stdout.splitlines() == [
        f"{submit.id}: {kind.value} of 1 instances, coordinated by a1",
        "  n0               moving",
        "  n0               done",
        f"{submit.id}: done after 2.5 s",
    ]


def test_options_of_an_operation(fleet: Fleet, agents: Agents) -> None:
    begun = fleet("rollback", "--to", "2", "--batch", "2", "--below-floor", "--no-wait", "hall=hall-a")
    submit = agents.submitted()
    assert (submit.build, submit.batch, submit.below_floor, submit.instances) == ("2", 2, True, ("n0",))
    assert submit.by
    assert (begun.exit_code, begun.stdout) == (0, f"{submit.id} has begun at a1\n")
    as_json = fleet("drain", "n0", "--json")
    assert as_json.exit_code == 0 and json.loads(as_json.stdout)["phase"] == "done"


@pytest.mark.parametrize("words", [("--dry-run", "n0", "n1"), ("n0", "--dry-run", "n1"), ("--dry-run",)])
def test_a_dry_run_prints_the_plan_and_begins_nothing(
    fleet: Fleet, agents: Agents, words: tuple[str, ...]
) -> None:
    planned = fleet("upgrade", "2", *words)
    assert planned.exit_code == 0
    assert [line.split() for line in planned.stdout.splitlines()] == [
        ["batch", "instance", "hall", "agent", "from", "to", "held", "by"],
        ["1", "n0", "hall-a", "a0", "run", "1", "run", "2", "-"],
        ["2", "n1", "hall-b", "a0", "stopped", "stopped", "-"],
    ]
    steps = json.loads(fleet("upgrade", "2", *words, "--json").stdout)
    assert [set(step) for step in steps] == [
        {"batch", "instance", "hall", "agent", "from", "to", "held_by"}
    ] * 2
    assert not [message for message in agents.messages if isinstance(message, wire.Submit)]


@pytest.mark.parametrize(
    "words",
    [
        ("drain", "--dryrun"),
        ("drain", "--dry-rnu", "n0"),
        ("drain", "--batch", "0"),
        ("drain", "--batch", "x"),
        ("drain", "n9"),
        ("drain", "hall=none"),
        ("upgrade", "9"),
        ("upgrade",),
        ("follow", "drain-0"),
        ("follow", "drain-0", "n0"),
        ("cancel", "drain-0"),
        ("inspect", "n9"),
        ("history", "--most", "0"),
        ("history", "--most", "10001"),
        ("status", "--via", "a9"),
    ],
)
def test_faulty_words_begin_nothing(fleet: Fleet, agents: Agents, words: tuple[str, ...]) -> None:
    refused = fleet(*words)
    assert refused.exit_code == 2
    assert refused.stderr and not refused.stdout
    assert not [message for message in agents.messages if isinstance(message, wire.Submit)]


@pytest.mark.parametrize(
    ("phase", "code", "said"),
    [
        (Phase.REFUSED, 3, "refused after 2.5 s: n1 is held"),
        (Phase.FAILED, 1, "failed after 2.5 s"),
        (Phase.CANCELLED, 1, "cancelled after 2.5 s"),
    ],
)
def test_who_did_not_follow_is_named(
    fleet: Fleet, agents: Agents, phase: Phase, code: int, said: str
) -> None:
    agents.phases = [phase]
    ended = fleet("drain", "n0")
    assert ended.exit_code == code
    assert f"{said}\ndid not follow: n0 (moving)\n" in ended.stdout


def test_an_operation_that_no_agent_takes(fleet: Fleet, agents: Agents) -> None:
    agents.error = "hears too few"
    assert fleet("drain") == CommandResult(2, "", "hears too few\n")


def test_follow_cancel_inspect_and_history(fleet: Fleet, agents: Agents) -> None:
    fleet("drain", "n0", "--no-wait")
    number = agents.submitted().id
    cancelled = fleet("cancel", number, "--by", "ben")
    assert cancelled == CommandResult(0, f"{number}: cancelled by ben\n", "")
    assert agents.last_message() == wire.Cancel(number, "ben")
    assert agents.asked[-1] == "a1"
    followed = fleet("follow", number)
    assert followed.exit_code == 0 and f"{number}: done after 2.5 s" in followed.stdout
    for name in ("n0", "a1", number):
        shown = fleet("inspect", name)
        assert shown.exit_code == 0 and name in shown.stdout
        assert name in json.dumps(json.loads(fleet("inspect", name, "--json").stdout))
    lines = fleet("history", "--most", "3").stdout.splitlines()
    assert [line.split()[2:] for line in lines] == [["a0", "begun"], ["a1", "begun"]]
    assert agents.last_message() == wire.Show(3)
    entries = json.loads(fleet("history", "--json", "--via", "a0").stdout)
    assert entries == [{"at": 0.0, "agent": "a0", "text": "begun"}]


def test_an_agent_that_does_not_answer(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> wire.Answer:
        raise WireError("agent a0: no answer")

    monkeypatch.setattr(FleetClient, "exchange", fail)
    for words in (("status",), ("drain",), ("follow", "drain-0"), ("cancel", "drain-0"), ("inspect", "n0")):
        assert fleet(*words) == CommandResult(1, "", "agent a0: no answer\n")
    assert fleet("history") == CommandResult(1, "", "agent a0: no answer\nagent a0: no answer\n")


def test_nobody_listens_at_the_agents(file: Path) -> None:
    asked = run_command("fleet", "status", "--fleet", str(file))
    assert asked.exit_code == 1
    assert "agent a0: " in asked.stderr and "agent a1: " in asked.stderr


def test_check_and_agent(file: Path, tmp_path: Path) -> None:
    assert run_command("fleet", "check", str(file)).stdout == "fleet.toml: 2 agents, 2 instances, 2 builds\n"
    missing = run_command("fleet", "agent", "a0", "--fleet", str(tmp_path / "none.toml"))
    assert missing.exit_code == 2
    assert run_command("fleet", "agent", "a9", "--fleet", str(file)).exit_code == 2
