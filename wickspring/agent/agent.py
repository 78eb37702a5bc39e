"""The agent of one machine: its instances, the directory of tenants and the control socket."""

from __future__ import annotations

import logging
import signal

import trio

from wickspring.agent import control
from wickspring.agent.control import Action, Command, Result
from wickspring.agent.directory import DirectorySync
from wickspring.agent.settings import AgentSettings
from wickspring.agent.supervisor import State, Supervisor
from wickspring.logs import kv

log = logging.getLogger(__name__)

READY_TIMEOUT_S = 30.0  # for an instance that is restarted


class CommandFailedError(Exception):
    """A command that not all instances have carried out; the message says which."""


class Agent:
    """Manages the instances that one file names."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.supervisors = {
            managed.name: Supervisor(managed, settings.file, settings.tenants_file)
            for managed in settings.instances
        }
        self.directory_sync = _make_directory_sync(settings)

    async def handle(self, command: Command) -> Result:
        """Carry out one command."""
        unknown = [name for name in command.names if name not in self.supervisors]
        if unknown:
            return Result(error=f"no instance is called {', '.join(unknown)}")
        if command.action not in list(Action):
            return Result(error=f"no such command: {command.action}")
        chosen = [self.supervisors[name] for name in command.names or self.supervisors]
        error = ""
        try:
            await self._carry_out(Action(command.action), chosen)
        except CommandFailedError as failure:
            error = str(failure)
        return self._result(command, chosen, error)

    async def _carry_out(self, action: Action, chosen: list[Supervisor]) -> None:
        """Carry out an action on some instances; STATUS and TENANTS only report.

        Raises:
            CommandFailedError: some have not carried it out.
        """
        if action is Action.START:
            for supervisor in chosen:
                supervisor.start()
        elif action is Action.DRAIN:
            await self._drain(chosen)
        elif action is Action.RELOAD:
            self._reload(chosen)
        elif action is Action.RESTART:
            await self._restart(chosen)

    async def _drain(self, chosen: list[Supervisor]) -> None:
        for supervisor in chosen:
            supervisor.drain()
        for supervisor in chosen:
            await supervisor.wait_for(State.STOPPED)

    def _reload(self, chosen: list[Supervisor]) -> None:
        down = [supervisor.managed.name for supervisor in chosen if not supervisor.reload()]
        if down:
            raise CommandFailedError(f"not up, and not reloaded: {', '.join(down)}")

    async def _restart(self, chosen: list[Supervisor]) -> None:
        """Restart one after another; at the first that does not come back, the rest are left alone."""
        for supervisor in chosen:
            await self._drain([supervisor])
            supervisor.start()
            if not await _becomes_ready(supervisor):
                name = supervisor.managed.name
                raise CommandFailedError(f"{name} did not come back; the others were left alone")

    def _result(self, command: Command, chosen: list[Supervisor], error: str) -> Result:
        reports = tuple(supervisor.report() for supervisor in chosen)
        sync = self.directory_sync
        if sync is None:
            return Result(error, reports)
        tenants = sync.tenants if command.action == Action.TENANTS else None
        return Result(error, reports, tenants, sync.error)


def _make_directory_sync(settings: AgentSettings) -> DirectorySync | None:
    """Return what keeps the tenants in step with the directory; None where there is no directory."""
    directory, tenants_file = settings.file.directory, settings.tenants_file
    if directory is None or tenants_file is None:
        return None
    plans = frozenset(plan for managed in settings.instances for plan in managed.plans)
    return DirectorySync(directory, settings.password, plans, tenants_file)


async def _becomes_ready(supervisor: Supervisor) -> bool:
    with trio.move_on_after(READY_TIMEOUT_S):
        return await supervisor.wait_for(State.READY, State.WAITING) is State.READY
    return False


async def run(settings: AgentSettings) -> None:
    """Run until SIGTERM or SIGINT; then drain all instances at once.

    Raises:
        ControlError: the control socket cannot be opened.
    """
    agent = Agent(settings)
    listener = control.open_socket(settings.control)
    try:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.serve, listener, agent.handle)
                for supervisor in agent.supervisors.values():
                    nursery.start_soon(supervisor.run)
                if agent.directory_sync is not None:
                    nursery.start_soon(agent.directory_sync.run)
                log.info("agent_up", extra=kv(instances=len(agent.supervisors), control=settings.control))
                async for _ in signals:
                    break
                log.info("agent_draining", extra=kv(instances=len(agent.supervisors)))
                nursery.cancel_scope.cancel()
    finally:
        settings.control.unlink(missing_ok=True)
