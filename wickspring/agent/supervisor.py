"""One managed ingress: started, watched, restarted with exponential back-off, drained."""

from __future__ import annotations

import logging
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec
import trio

from wickspring.agent.backoff import RestartBackoff
from wickspring.agent.settings import AgentFile, ManagedInstance
from wickspring.logs import kv

log = logging.getLogger(__name__)

START_POLL_S = 0.2  # between health probes while it starts
POLL_S = 2.0  # otherwise
PROBE_TIMEOUT_S = 1.0  # for one answer of /up
PROBE = b"GET /up HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n"
SERVE_COMMAND = (sys.executable, "-O", "-m", "wickspring", "serve")


class State(Enum):
    """What an instance is doing."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    SILENT = "silent"  # it runs, and does not answer /up
    DRAINING = "draining"
    WAITING = "waiting"  # for the end of its restart delay after a failure


class Report(msgspec.Struct, frozen=True):
    """What the agent reports of one instance."""

    name: str
    state: str
    pid: int | None
    listen: str
    starts: int
    failures: int
    last_exit: int | None


async def is_up(address: tuple[str, int]) -> bool:
    """Ask an instance whether it is ready."""
    with trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            async with await trio.open_tcp_stream(*address) as stream:
                await stream.send_all(PROBE)
                return (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        except trio.BrokenResourceError:
            return False
    return False


class Supervisor:
    """Keeps one instance running, or stopped, as commands say."""

    def __init__(self, managed: ManagedInstance, file: AgentFile, tenants: Path | None = None) -> None:
        self.managed, self.file, self.tenants = managed, file, tenants
        self.should_run = True
        self.state = State.STOPPED
        self.process: trio.Process | None = None
        self.starts = 0
        self.backoff = RestartBackoff()
        self.last_exit: int | None = None
        self._changed = trio.Event()

    def report(self) -> Report:
        """Report how the instance is."""
        host, port = self.managed.listen
        pid = self.process.pid if self.process is not None else None
        return Report(
            self.managed.name,
            self.state.value,
            pid,
            f"{host}:{port}",
            self.starts,
            self.backoff.failures,
            self.last_exit,
        )

    def _enter(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            log.info("instance", extra=kv(name=self.managed.name, state=state.value))
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for(self, *states: State) -> State:
        """Wait until the instance is in one of these states."""
        while self.state not in states:
            await self._changed.wait()
        return self.state

    def start(self) -> None:
        """Have it run; a restart delay after failures is cut short."""
        self.should_run = True
        self.backoff.reset()
        self._enter(self.state)

    def reload(self) -> bool:
        """Have it read its configuration again; False if it is not up, and the signal would end it."""
        if self.process is None or self.state not in (State.READY, State.SILENT):
            return False
        self.process.send_signal(signal.SIGHUP)
        return True

    def drain(self) -> None:
        """Have it finish the requests in flight, and stop."""
        self.should_run = False
        self._enter(self.state)

    def restart_delay(self) -> float:
        """Return the seconds to wait before the next start."""
        return self.backoff.delay_s(self.file.backoff_first_s, self.file.backoff_most_s)

    async def run(self) -> None:
        """Run the instance until cancelled, and then drain it."""
        while True:
            if not self.should_run:
                self._enter(State.STOPPED)
                await self._until(lambda: self.should_run)
            elif self.backoff.failures:
                self._enter(State.WAITING)
                with trio.move_on_after(self.restart_delay()):
                    await self._until(lambda: not self.should_run or not self.backoff.failures)
            if self.should_run:
                await self._run_process()

    async def _until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await self._changed.wait()

    async def _run_process(self) -> None:
        self.starts += 1
        self._enter(State.STARTING)
        started = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self.process = process = await trio.lowlevel.open_process(
                    SERVE_COMMAND, stdin=subprocess.DEVNULL, env=self._environment()
                )
                nursery.start_soon(self._poll_health)
                nursery.start_soon(self._drain_on_request, process)
                await self._wait_for_end(process)
                nursery.cancel_scope.cancel()
        except OSError as error:
            log.error("start_failed", extra=kv(name=self.managed.name, reason=error))
            self.last_exit = None
        finally:
            self.process = None
        if self.should_run:
            self._record_failure(trio.current_time() - started)

    def _environment(self) -> dict[str, str]:
        host, port = self.managed.listen
        environment = {
            **os.environ,
            "GW_CONFIG": str(self.managed.config),
            "GW_NAME": self.managed.name,
            "GW_LISTEN": f"{host}:{port}",
            "GW_HTTP2": str(self.managed.http2),
        }
        if self.managed.admin_address is not None:
            admin_host, admin_port = self.managed.admin_address
            environment["GW_ADMIN_ADDR"] = f"{admin_host}:{admin_port}"
        if self.tenants is not None:
            environment["GW_TENANTS"] = str(self.tenants)
        return environment

    def _record_failure(self, uptime_s: float) -> None:
        """Count a failure in a row; after a steady run it counts as the first."""
        self.backoff.record_failure(steady=uptime_s > self.file.steady_s)
        delay = self.restart_delay()
        log.warning("instance_ended", extra=kv(name=self.managed.name, exit=self.last_exit, pause=delay))

    async def _wait_for_end(self, process: trio.Process) -> None:
        """Wait for the process's end; cancelled, drain it and return once it has ended."""
        try:
            self.last_exit = await process.wait()
        finally:
            if process.returncode is None:
                with trio.CancelScope(shield=True):
                    await self._terminate(process)
            self.last_exit = process.returncode

    async def _terminate(self, process: trio.Process) -> None:
        self._enter(State.DRAINING)
        process.terminate()
        with trio.move_on_after(self.file.drain_s):
            await process.wait()
        if process.returncode is None:
            log.warning("killed", extra=kv(name=self.managed.name, pid=process.pid))
            process.kill()
            await process.wait()

    async def _drain_on_request(self, process: trio.Process) -> None:
        await self._until(lambda: not self.should_run)
        await self._terminate(process)

    async def _poll_health(self) -> None:
        while True:
            up = await is_up(self.managed.listen)
            if self.state is not State.DRAINING:
                if up:
                    self._enter(State.READY)
                elif self.state is State.READY:
                    self._enter(State.SILENT)
            await trio.sleep(START_POLL_S if self.state is State.STARTING else POLL_S)
