"""Starts processes of instances, and finds those again that an earlier agent started.

What is about to be started is stored first, so that an agent killed at any moment finds the process later.
"""

from __future__ import annotations

import secrets
from contextlib import suppress
from pathlib import Path

from wickspring.agent import processes
from wickspring.agent.context import AgentContext
from wickspring.agent.instance_launch import UnknownBuildError, plan_launch
from wickspring.agent.processes import InstanceProcess
from wickspring.agent.store import Process, StoreChange, StoreError
from wickspring.fleet.file import FleetInstance
from wickspring.fleet.model import DesiredState


class LaunchError(Exception):
    """A process could not be started; the message says why."""


class ProcessLauncher:
    """Starts processes, and keeps the store's list of them."""

    def __init__(self, context: AgentContext) -> None:
        self.context = context

    def launch(self, instance: FleetInstance, desired: DesiredState) -> InstanceProcess:
        """Start a process in the desired state.

        Raises:
            LaunchError: there is no such build, or the system refused to start it.
            StoreError: its start could not be stored, and nothing was started.
        """
        name, token = instance.name, secrets.token_hex(8)
        intent = Process(name, token, 0, 0, desired.build, desired.generation)
        log_file, pid_file = self.context.folder / f"{name}.log", self._pid_file(name, token)
        try:
            plan = plan_launch(self.context.fleet, instance, desired.build, self.context.notify_socket)
            self.context.store.apply(StoreChange(processes=[intent]))
            started = processes.launch(plan.command, plan.folder, plan.environment, log_file, pid_file, token)
        except UnknownBuildError as error:
            raise LaunchError(str(error)) from error
        except OSError as error:
            with suppress(StoreError):  # a row too many does no harm
                self.forget(name, token)
            raise LaunchError(f"cannot be started: {error}") from error
        start_ticks = processes.start_ticks(started.pid)
        return InstanceProcess(started.pid, start_ticks, token, desired.build, desired.generation)

    def store_identity(self, name: str, process: InstanceProcess) -> None:
        """Store the pid and the start time of a launched process.

        Raises:
            StoreError: they could not be stored.
        """
        stored = Process(
            name, process.token, process.pid, process.start_ticks, process.build, process.generation
        )
        self.context.store.apply(StoreChange(processes=[stored]))

    def find(self, stored: Process) -> InstanceProcess | None:
        """Return a stored process if it still runs; None if it has ended."""
        pid_file = self._pid_file(stored.name, stored.token)
        pid, start_ticks = processes.find(stored.pid, stored.start_ticks, stored.token, pid_file)
        if not pid:
            return None
        return InstanceProcess(pid, start_ticks, stored.token, stored.build, stored.generation, adopted=True)

    def forget(self, name: str, token: str) -> None:
        """Remove what is stored of a process that has ended.

        Raises:
            StoreError: the store still has it, which does no harm: no process has its token.
        """
        self._pid_file(name, token).unlink(missing_ok=True)
        self.context.store.apply(StoreChange(ended_tokens=[token]))

    def _pid_file(self, name: str, token: str) -> Path:
        return self.context.folder / f"{name}.{token}.pid"
