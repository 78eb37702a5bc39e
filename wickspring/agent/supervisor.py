"""One managed ingress: started, watched, started again after a pause that grows, drained."""

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

from wickspring.agent.settings import AgentFile, Managed
from wickspring.logs import kv

log = logging.getLogger(__name__)

POLL_S = 0.2
UP_WITHIN_S = 1.0  # for one answer of /up
COMMAND = (sys.executable, "-O", "-m", "wickspring", "serve")


class State(Enum):
    """What an instance is doing."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    SILENT = "silent"  # it runs, and does not answer /up
    DRAINING = "draining"
    WAITING = "waiting"  # for the end of its pause after a failure


class Report(msgspec.Struct, frozen=True):
    """What the agent tells of one instance."""

    name: str
    state: str
    pid: int | None
    listen: str
    starts: int
    failures: int
    last_exit: int | None


async def is_up(address: tuple[str, int]) -> bool:
    """Ask an instance whether it is ready."""
    with trio.move_on_after(UP_WITHIN_S):
        try:
            async with await trio.open_tcp_stream(*address) as stream:
                await stream.send_all(b"GET /up HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n")
                return (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        except trio.BrokenResourceError:
            return False
    return False


class Supervisor:
    """Keeps one instance in the state that is wanted of it."""

    def __init__(self, managed: Managed, file: AgentFile, tenants: Path | None = None) -> None:
        self.managed, self.file, self.tenants = managed, file, tenants
        self.wanted = True
        self.state = State.STOPPED
        self.process: trio.Process | None = None
        self.starts = self.failures = 0
        self.last_exit: int | None = None
        self._changed = trio.Event()

    def report(self) -> Report:
        """Tell how the instance is."""
        host, port = self.managed.listen
        pid = self.process.pid if self.process is not None else None
        return Report(
            self.managed.name,
            self.state.value,
            pid,
            f"{host}:{port}",
            self.starts,
            self.failures,
            self.last_exit,
        )

    def _set(self, state: State) -> None:
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
        """Have it run; a pause after failures is cut short."""
        self.wanted, self.failures = True, 0
        self._set(self.state)

    def reload(self) -> bool:
        """Have it read its configuration again; False where it is not up, and would end by the signal."""
        if self.process is None or self.state not in (State.READY, State.SILENT):
            return False
        self.process.send_signal(signal.SIGHUP)
        return True

    def drain(self) -> None:
        """Have it finish what it has taken, and stop."""
        self.wanted = False
        self._set(self.state)

    def pause(self) -> float:
        """Return the seconds to wait before the next start."""
        if not self.failures:
            return 0.0
        return min(self.file.backoff_most_s, self.file.backoff_first_s * 2.0 ** (self.failures - 1))

    async def run(self) -> None:
        """Serve for ever; cancelled, the instance is drained first."""
        while True:
            if not self.wanted:
                self._set(State.STOPPED)
                await self._until(lambda: self.wanted)
            elif self.failures:
                self._set(State.WAITING)
                with trio.move_on_after(self.pause()):
                    await self._until(lambda: not self.wanted or not self.failures)
            if self.wanted:
                await self._one_life()

    async def _until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await self._changed.wait()

    async def _one_life(self) -> None:
        self.starts += 1
        self._set(State.STARTING)
        started = trio.current_time()
        host, port = self.managed.listen
        env = {
            **os.environ,
            "GW_CONFIG": str(self.managed.config),
            "GW_NAME": self.managed.name,
            **({"GW_ADMIN_ADDR": ":".join(map(str, self.managed.door))} if self.managed.door else {}),
            "GW_LISTEN": f"{host}:{port}",
            "GW_HTTP2": str(self.managed.http2),
        }
        if self.tenants is not None:
            env["GW_TENANTS"] = str(self.tenants)
        try:
            async with trio.open_nursery() as nursery:
                self.process = process = await trio.lowlevel.open_process(
                    COMMAND, stdin=subprocess.DEVNULL, env=env
                )
                nursery.start_soon(self._watch)
                nursery.start_soon(self._drain_when_told, process)
                await self._end(process)
                nursery.cancel_scope.cancel()
        except OSError as error:
            log.error("start_failed", extra=kv(name=self.managed.name, reason=error))
            self.last_exit = None
        finally:
            self.process = None
        if self.wanted:
            steady = trio.current_time() - started > self.file.steady_s
            self.failures = 1 if steady else self.failures + 1
            pause = self.pause()
            log.warning("instance_ended", extra=kv(name=self.managed.name, exit=self.last_exit, pause=pause))

    async def _end(self, process: trio.Process) -> None:
        """Wait for the process's end; a cancel drains it, and is not let by until it has ended."""
        try:
            self.last_exit = await process.wait()
        finally:
            if process.returncode is None:
                with trio.CancelScope(shield=True):
                    await self._terminate(process)
            self.last_exit = process.returncode

    async def _terminate(self, process: trio.Process) -> None:
        self._set(State.DRAINING)
        process.terminate()
        with trio.move_on_after(self.file.drain_s):
            await process.wait()
        if process.returncode is None:
            log.warning("killed", extra=kv(name=self.managed.name, pid=process.pid))
            process.kill()
            await process.wait()

    async def _drain_when_told(self, process: trio.Process) -> None:
        await self._until(lambda: not self.wanted)
        await self._terminate(process)

    async def _watch(self) -> None:
        while True:
            up = await is_up(self.managed.listen)
            if self.state is not State.DRAINING:
                if up:
                    self._set(State.READY)
                elif self.state is State.READY:
                    self._set(State.SILENT)
            await trio.sleep(POLL_S if self.state is State.STARTING else 10 * POLL_S)
