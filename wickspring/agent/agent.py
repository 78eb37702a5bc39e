"""The agent itself: all instances, the directory and the control socket."""

from __future__ import annotations

import logging
import signal

import trio

from wickspring.agent import control
from wickspring.agent.control import Command, Result
from wickspring.agent.directory import Follower
from wickspring.agent.settings import Agent as Settings
from wickspring.agent.supervisor import State, Supervisor
from wickspring.logs import kv

log = logging.getLogger(__name__)

READY_WITHIN_S = 30.0


class Agent:
    """Manages the instances that one file names."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.supervisors = {m.name: Supervisor(m, settings.file, settings.copy) for m in settings.instances}
        self.follower: Follower | None = None
        if settings.file.directory is not None and settings.copy is not None:
            plans = frozenset(plan for managed in settings.instances for plan in managed.plans)
            self.follower = Follower(settings.file.directory, settings.password, plans, settings.copy)

    async def handle(self, command: Command) -> Result:
        """Carry out one command."""
        unknown = [name for name in command.names if name not in self.supervisors]
        if unknown:
            return Result(error=f"no instance is called {', '.join(unknown)}")
        chosen = [self.supervisors[name] for name in command.names or self.supervisors]
        error = ""
        if command.do == "start":
            for supervisor in chosen:
                supervisor.start()
        elif command.do == "drain":
            for supervisor in chosen:
                supervisor.drain()
            for supervisor in chosen:
                await supervisor.wait_for(State.STOPPED)
        elif command.do == "reload":
            down = [one.managed.name for one in chosen if not one.reload()]
            error = f"not up, and not reloaded: {', '.join(down)}" if down else ""
        elif command.do == "restart":
            error = await self._restart(chosen)
        elif command.do not in ("status", "tenants"):
            return Result(error=f"no such command: {command.do}")
        reports = tuple(supervisor.report() for supervisor in chosen)
        follower = self.follower
        tenants = follower.held if follower is not None and command.do == "tenants" else None
        return Result(error, reports, tenants, follower.error if follower is not None else "")

    async def _restart(self, chosen: list[Supervisor]) -> str:
        """Restart one after another; the first that does not come back ends it, the rest serve on."""
        for supervisor in chosen:
            supervisor.drain()
            await supervisor.wait_for(State.STOPPED)
            supervisor.start()
            ready = False
            with trio.move_on_after(READY_WITHIN_S):
                ready = await supervisor.wait_for(State.READY, State.WAITING) is State.READY
            if not ready:
                return f"{supervisor.managed.name} did not come back; the others were left alone"
        return ""


async def run(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT; then drain all instances at once."""
    agent = Agent(settings)
    listener = control.open_socket(settings.control)
    try:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.serve, listener, agent.handle)
                for supervisor in agent.supervisors.values():
                    nursery.start_soon(supervisor.run)
                if agent.follower is not None:
                    nursery.start_soon(agent.follower.run)
                log.info("agent_up", extra=kv(instances=len(agent.supervisors), control=settings.control))
                async for _ in signals:
                    break
                log.info("agent_draining", extra=kv(instances=len(agent.supervisors)))
                nursery.cancel_scope.cancel()
    finally:
        settings.control.unlink(missing_ok=True)
