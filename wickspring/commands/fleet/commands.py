"""The group `fleet` of the command line.

Exit codes: 0 where all went well, 1 where some did not follow (or nobody answers), 2 where configuration or
words are at fault, 3 where another operation holds the instances.
"""

from __future__ import annotations

import getpass
import logging
import os
from pathlib import Path

import msgspec
import trio

from wickspring import logs
from wickspring.agent import wire
from wickspring.command_line.errors import CommandError, ExitCode
from wickspring.command_line.tables import format_json
from wickspring.commands.fleet.client import FleetClient
from wickspring.commands.fleet.operations import OperationFollower, OperationOptions, choose, operate
from wickspring.commands.fleet.output import (
    HistoryEntry,
    agents_line,
    entry_table,
    history_line,
    status_table,
)
from wickspring.common.termination import ignore_reload_signal
from wickspring.fleet.file import load_fleet
from wickspring.fleet.model import InstanceRecord, Kind, Operation
from wickspring.settings.errors import ConfigError
from wickspring.wire import WireError

log = logging.getLogger(__name__)

FLEET_VARIABLE = "WICKSPRING_FLEET"
DEFAULT_FLEET_FILE = "fleet.toml"
MAX_HISTORY_LINES = 10_000


class FleetCommands:
    """Many instances under many agents.

    Args:
        fleet: the fleet file; by default that of WICKSPRING_FLEET, or fleet.toml.
        via: ask this agent; by default the first that answers.
        json: print JSON.
    """

    def __init__(self, fleet: Path | None = None, via: str = "", json: bool = False) -> None:
        self._file = fleet or Path(os.environ.get(FLEET_VARIABLE) or DEFAULT_FLEET_FILE)
        self._via = via
        self._as_json = json

    def agent(self, name: str) -> None:
        """Run the agent NAME of the fleet; its instances outlive it."""
        from wickspring.agent.node import Node, NodeError
        from wickspring.agent.store import StoreError

        ignore_reload_signal()
        logs.setup()
        try:
            trio.run(Node(load_fleet(self._file.resolve()), name).run)
        except ConfigError as error:
            log.error("bad_configuration", extra=logs.kv(reason=error))
            raise CommandError(code=ExitCode.USAGE) from error
        except (NodeError, StoreError) as error:
            log.error("cannot_run", extra=logs.kv(reason=error))
            raise CommandError from error

    def check(self, file: Path) -> str:
        """Check a fleet file and all that it names."""
        try:
            found = load_fleet(file).file
        except ConfigError as error:
            raise CommandError(error, ExitCode.USAGE) from error
        return (
            f"{file.name}: {len(found.agent)} agents, {len(found.instance)} instances, "
            f"{len(found.build)} builds"
        )

    def status(self, *select: str) -> None:
        """Show how the instances and agents are; fails unless all that are to run are ready."""
        answer = self._client().request(wire.Show())
        records = choose(select, answer)
        if self._as_json:
            print(format_json(msgspec.structs.replace(answer, records=records)))
        else:
            print(status_table(records))
            print(agents_line(answer))
        if any(record.desired.run and not record.observed.ready for record in records):
            raise CommandError

    def start(
        self,
        *select: str,
        dry_run: bool = False,
        batch: int = 1,
        below_floor: bool = False,
        no_wait: bool = False,
        by: str = "",
    ) -> None:
        """Start instances.

        Args:
            select: which instances; by default all.
            dry_run: print the plan; nothing is done.
            batch: instances at a time.
            below_floor: have more down than the rules allow.
            no_wait: leave once it has begun; `fleet follow` takes it up again.
            by: who asks, on a local socket.
        """
        self._operate(Kind.START, select, OperationOptions(_user(by), dry_run, batch, below_floor, no_wait))

    def drain(
        self,
        *select: str,
        dry_run: bool = False,
        batch: int = 1,
        below_floor: bool = False,
        no_wait: bool = False,
        by: str = "",
    ) -> None:
        """Have instances finish what they have taken, and stop.

        Args:
            select: which instances; by default all.
            dry_run: print the plan; nothing is done.
            batch: instances at a time.
            below_floor: have more down than the rules allow.
            no_wait: leave once it has begun; `fleet follow` takes it up again.
            by: who asks, on a local socket.
        """
        self._operate(Kind.DRAIN, select, OperationOptions(_user(by), dry_run, batch, below_floor, no_wait))

    def restart(
        self,
        *select: str,
        dry_run: bool = False,
        batch: int = 1,
        below_floor: bool = False,
        no_wait: bool = False,
        by: str = "",
    ) -> None:
        """Start instances anew, batch by batch.

        Args:
            select: which instances; by default all.
            dry_run: print the plan; nothing is done.
            batch: instances at a time.
            below_floor: have more down than the rules allow.
            no_wait: leave once it has begun; `fleet follow` takes it up again.
            by: who asks, on a local socket.
        """
        self._operate(Kind.RESTART, select, OperationOptions(_user(by), dry_run, batch, below_floor, no_wait))

    def upgrade(
        self,
        build: str,
        *select: str,
        dry_run: bool = False,
        batch: int = 1,
        below_floor: bool = False,
        no_wait: bool = False,
        by: str = "",
    ) -> None:
        """Have instances run BUILD, batch by batch; goes back by itself where it fails.

        Args:
            build: the build to run.
            select: which instances; by default all.
            dry_run: print the plan; nothing is done.
            batch: instances at a time.
            below_floor: have more down than the rules allow.
            no_wait: leave once it has begun; `fleet follow` takes it up again.
            by: who asks, on a local socket.
        """
        options = OperationOptions(_user(by), dry_run, batch, below_floor, no_wait)
        self._operate(Kind.UPGRADE, select, options, build)

    def rollback(
        self,
        *select: str,
        to: str = "",
        dry_run: bool = False,
        batch: int = 1,
        below_floor: bool = False,
        no_wait: bool = False,
        by: str = "",
    ) -> None:
        """Have instances run the build they had before.

        Args:
            select: which instances; by default all.
            to: the build; by default the one before the present.
            dry_run: print the plan; nothing is done.
            batch: instances at a time.
            below_floor: have more down than the rules allow.
            no_wait: leave once it has begun; `fleet follow` takes it up again.
            by: who asks, on a local socket.
        """
        options = OperationOptions(_user(by), dry_run, batch, below_floor, no_wait)
        self._operate(Kind.ROLLBACK, select, options, to)

    def follow(self, operation: str) -> None:
        """Take up an operation that goes on, to its end."""
        client = self._client()
        _find_operation(client, operation)
        OperationFollower(client, operation, self._as_json).follow()

    def cancel(self, operation: str, *, by: str = "") -> str:
        """Have an operation begin nothing more.

        Args:
            operation: id of the operation.
            by: who asks, on a local socket.
        """
        client = self._client()
        coordinator = _find_operation(client, operation).coordinator
        user = _user(by)
        answer = client.request(wire.Cancel(operation, user), coordinator)
        if answer.error:
            raise CommandError(answer.error)
        return format_json(answer.operation) if self._as_json else f"{operation}: cancelled by {user}"

    def inspect(self, name: str) -> str:
        """Show all that is known of an instance, an operation or an agent."""
        answer = self._client().request(wire.Show())
        found: list[InstanceRecord | Operation | wire.AgentView] = [
            *(record for record in answer.records if record.name == name),
            *(operation for operation in answer.operations if operation.id == name),
            *(agent for agent in answer.agents if agent.name == name),
        ]
        if not found:
            raise CommandError(f"there is no instance, operation or agent called {name}", ExitCode.USAGE)
        if self._as_json:
            return format_json(found if len(found) > 1 else found[0])
        return "\n".join(entry_table(entry) for entry in found)

    def history(self, *, most: int = 50) -> None:
        """Show what was asked and done, by the agents that answer.

        Args:
            most: lines of each agent, 1 to 10000.
        """
        if not 1 <= most <= MAX_HISTORY_LINES:
            raise CommandError(f"--most: {most} is not in 1 to {MAX_HISTORY_LINES}", ExitCode.USAGE)
        client = self._client()
        entries, faults = _read_history(client, most)
        if self._as_json:
            print(format_json(entries))
        else:
            for entry in entries:
                print(history_line(entry))
        if faults:
            raise CommandError("\n".join(faults))

    def _client(self) -> FleetClient:
        return FleetClient(self._file, self._via)

    def _operate(
        self, kind: Kind, select: tuple[str, ...], options: OperationOptions, build: str = ""
    ) -> None:
        operate(self._client(), kind, select, options, build=build, as_json=self._as_json)


def _user(by: str) -> str:
    return by or getpass.getuser()


def _find_operation(client: FleetClient, operation_id: str) -> Operation:
    try:
        operation = client.find_operation(operation_id)
    except WireError as error:
        raise CommandError(error) from error
    if operation is None:
        raise CommandError(f"no agent tells of {operation_id}", ExitCode.USAGE)
    return operation


def _read_history(client: FleetClient, most: int) -> tuple[list[HistoryEntry], list[str]]:
    """Return the last lines of each agent in order of time, and why agents did not answer."""
    entries, faults = list[HistoryEntry](), list[str]()
    for agent in client.agents:
        try:
            answer = client.exchange(wire.Show(most), agent.name)
        except WireError as error:
            faults.append(str(error))
        else:
            entries += [HistoryEntry(line.at, agent.name, line.text) for line in answer.history]
    return sorted(entries), faults
