"""Keeps one instance as it is wanted: starts, replaces, drains and watches its processes.

A replacement overlaps where the fleet file has it so: the successor listens at the same address, and the
predecessor is drained once the successor is ready. A successor that does not come up is given up, and the
predecessor serves on. `step` is the whole of the decisions; it waits for nothing.
"""

from __future__ import annotations

import logging
import math
import os
import secrets
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio

from wickspring.agent import processes
from wickspring.agent.processes import Life
from wickspring.agent.store import Process, Store, StoreError
from wickspring.fleet.file import Fleet, FleetInstance
from wickspring.fleet.model import Record, Seen
from wickspring.logs import kv

log = logging.getLogger(__name__)

TOLD_WITHIN_S = 3.0  # a process that has said nothing for so long is called silent
ADOPTED_S = 2.0  # for a process found again to say how it is
LEAST_PAUSE_S = 0.05
KEEP_TRYING_S = 1.0  # until a start that could not be noted is tried again


class Keeper:
    """One instance's processes."""

    def __init__(
        self,
        fleet: Fleet,
        instance: FleetInstance,
        folder: Path,
        store: Store,
        notify: Path,
        *,
        record: Callable[[], Record],
        report: Callable[[Seen], None],
        now: Callable[[], float],
    ) -> None:
        self.fleet, self.instance, self.folder, self.store, self.notify = (
            fleet,
            instance,
            folder,
            store,
            notify,
        )
        self.record, self.report, self.now = record, report, now
        self.current: Life | None = None
        self.successor: Life | None = None
        self.leaving: list[Life] = []
        self.starts = self.failures = 0
        self.last_exit: int | None = None
        self.note = ""
        self.pause_until = 0.0
        self.ready_at = 0.0
        self.changed = trio.Event()
        self.scope = trio.CancelScope()  # cancelled, it keeps the instance no more; its processes go on
        self._nursery: trio.Nursery | None = None

    @property
    def lives(self) -> list[Life]:
        """Return all processes, whatever becomes of them."""
        return [life for life in (self.current, self.successor, *self.leaving) if life is not None]

    def poke(self) -> None:
        """Have it look again."""
        self.changed.set()

    async def run(self) -> None:
        """Keep the instance for ever; cancelled, its processes go on."""
        with self.scope:
            await self._run()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for life in self.lives:
                nursery.start_soon(self._watch, life)
            while True:
                self.changed = trio.Event()
                due = self.step(self.now())
                with trio.move_on_after(max(0.0, due - self.now())):
                    await self.changed.wait()

    async def _watch(self, life: Life) -> None:
        await life.wait()
        self.poke()

    # Found again.

    def adopt(self, kept: list[Process]) -> None:
        """Take up the processes that an agent before this one has left running."""
        found = list[Life]()
        for one in kept:
            pid, born = processes.find(one.pid, one.born, one.token, self._pid_file(one.token))
            if pid:
                life = Life(pid, born, one.token, one.build, one.generation, adopted=True)
                life.began_at = life.told_at = self.now()
                found.append(life)
                fields = {"name": self.instance.name, "pid": pid, "build": one.build}
                log.info("adopted", extra=kv(**fields))
            else:
                self._ended(one.token)
        found.sort(key=lambda life: life.born)
        if found:
            self.current = found[0]
        if len(found) > 1:
            self.successor = found[-1]
            self.leaving = found[1:-1]

    def told(self, token: str, ready: bool, served: int, failed: int) -> None:
        """Take in what a process says of itself."""
        for life in self.lives:
            if life.token == token:
                changed = life.told_ready != ready
                life.told_ready, life.told_at = ready, self.now()
                life.served, life.failed = served, failed
                if changed:
                    self.poke()
                else:
                    self._report(self.now(), self.record())

    # Decisions.

    def step(self, now: float) -> float:
        """Do what is to be done now; return when to look again at the latest."""
        record = self.record()
        self._reap(now, record.want.run)
        due = self._leave(now)
        if not record.want.run:
            self._retire(self.current, now)
            self._retire(self.successor, now)
            self.current = self.successor = None
            self.failures, self.pause_until = 0, 0.0
        else:
            due = min(due, self._serve(now, record))
        self._report(now, record)
        return min(due, now + 1.0)

    def _reap(self, now: float, wanted: bool) -> None:
        for life in self.lives:
            if not life.ended.is_set():
                continue
            self._ended(life.token)
            if life in self.leaving:
                self.leaving.remove(life)
                self.last_exit = life.exit_code
                continue
            if life is self.current:
                self.current = None
            if life is self.successor:
                self.successor = None
            if wanted:
                steady = life.told_ready and now - life.began_at > self.fleet.file.steady_s
                self._failed(now, f"ended with {life.exit_code}", steady)
            self.last_exit = life.exit_code
        if self.current is None and self.successor is not None:
            self.current, self.successor = self.successor, None

    def _failed(self, now: float, note: str, steady: bool = False) -> None:
        self.failures = 1 if steady else self.failures + 1
        file = self.fleet.file
        pause = min(file.backoff_most_s, file.backoff_first_s * 2.0 ** min(self.failures - 1, 16))
        self.pause_until, self.note = now + max(pause, LEAST_PAUSE_S), note
        fields = {"name": self.instance.name, "reason": note, "failures": self.failures, "pause": pause}
        log.warning("instance_failed", extra=kv(**fields))

    def _leave(self, now: float) -> float:
        """End by force what has not drained in time."""
        due = math.inf
        for life in self.leaving:
            over = life.draining_since + self.fleet.file.rules.drain_within_s
            if now >= over:
                self.note = f"killed: it had not drained after {self.fleet.file.rules.drain_within_s:g} s"
                processes.end(life, hard=True)
            else:
                due = min(due, over)
        return due

    def _retire(self, life: Life | None, now: float, hard: bool = False) -> None:
        if life is not None and life not in self.leaving:
            life.draining_since = now
            processes.end(life, hard)
            self.leaving.append(life)

    def _serve(self, now: float, record: Record) -> float:
        want, rules, overlap = record.want, self.fleet.file.rules, self.fleet.file.overlap
        current, successor = self.current, self.successor

        def fits(life: Life) -> bool:
            return (life.build, life.generation) == (want.build, want.generation)

        if current is not None and current.adopted and not current.told_ready:
            due = current.began_at + ADOPTED_S
            if now < due:
                return due
        if successor is not None and not fits(successor):
            self._retire(successor, now)
            self.successor = successor = None
        if current is not None and not fits(current):
            if not (overlap and current.told_ready):
                self._retire(current, now)
                self.current = current = None
                if successor is not None:
                    self.current, self.successor = successor, None
                    return now
            elif successor is not None and successor.told_ready:
                self._retire(current, now)
                self.current, self.successor, self.failures, self.note = successor, None, 0, ""
                return now
        elif current is not None and successor is not None:
            self._retire(successor, now)
            self.successor = successor = None
        for life in (self.current, self.successor):
            over = life.began_at + rules.ready_within_s if life is not None else math.inf
            if life is not None and not life.told_ready and now >= over and not life.adopted:
                self._failed(now, f"not ready after {rules.ready_within_s:g} s")
                self._retire(life, now, hard=True)
                if life is self.current:
                    self.current = None
                else:
                    self.successor = None
        if self.current is not None and self.current.told_ready and fits(self.current):
            if self.failures and now - self.current.began_at > self.fleet.file.steady_s:
                self.failures, self.note = 0, ""
            return math.inf
        waiting = self.current if self.current is not None and fits(self.current) else self.successor
        if waiting is not None:
            return waiting.began_at + rules.ready_within_s
        if now < self.pause_until:
            return self.pause_until
        if self.current is None and self.leaving and not overlap:
            return now + LEAST_PAUSE_S  # its address is not free yet
        life = self._launch(now, want.build, want.generation)
        if life is None:
            return self.pause_until
        if self.current is None:
            self.current = life
        else:
            self.successor = life
        return now + rules.ready_within_s

    # Processes.

    def _pid_file(self, token: str) -> Path:
        return self.folder / f"{self.instance.name}.{token}.pid"

    def _launch(self, now: float, build: str, generation: int) -> Life | None:
        found, here = self.fleet.build(build), self.fleet.here
        if found is None:
            self._failed(now, f"there is no build {build!r}")
            return None
        folder = (here / found.path).resolve()
        python = folder / ".venv" / "bin" / "python"
        chosen = found.python or (str(python) if python.exists() else "")
        token = secrets.token_hex(8)
        one, env = self.instance, dict(os.environ)
        for key in ("GW_LISTEN", "GW_DISCOVERY", "GW_HTTP2", "GW_CONNECTIONS", "GW_TENANTS"):
            env.pop(key, None)
        env |= {
            "GW_CONFIG": str((here / one.config).resolve()),
            "GW_NAME": one.name,
            "NOTIFY_SOCKET": str(self.notify),
            "PYTHONDONTWRITEBYTECODE": "1",
            **({"GW_LISTEN": one.listen} if one.listen else {}),
            **({"GW_HTTP2": str((here / one.http2).resolve())} if one.http2 else {}),
            **({"GW_CONNECTIONS": str((here / one.connections).resolve())} if one.connections else {}),
            **({"GW_SHARE_PORT": "1"} if self.fleet.file.overlap else {}),
        }
        intent = Process(one.name, token, 0, 0, build, generation)
        try:
            self.store.keep(processes=[intent])  # before it is: an agent killed now finds it by its pid file
        except StoreError as error:
            self.note, self.pause_until = str(error), now + KEEP_TRYING_S
            return None
        try:
            started = processes.launch(
                processes.command(chosen),
                folder,
                env,
                self.folder / f"{one.name}.log",
                self._pid_file(token),
                token,
            )
        except OSError as error:
            self._ended(token)
            self._failed(now, f"cannot be started: {error}")
            return None
        life = Life(started.pid, processes.born(started.pid), token, build, generation, began_at=now)
        life.told_at = now
        try:
            self.store.keep(processes=[msgspec.structs.replace(intent, pid=life.pid, born=life.born)])
        except StoreError as error:
            self.note = str(error)
        self.starts += 1
        log.info("started", extra=kv(name=one.name, pid=life.pid, build=build, generation=generation))
        if self._nursery is not None:
            self._nursery.start_soon(self._watch, life)
        return life

    def _ended(self, token: str) -> None:
        self._pid_file(token).unlink(missing_ok=True)
        try:
            self.store.keep(ended=[token])
        except StoreError as error:
            self.note = str(error)  # a row too many does no harm: no process has its token

    # Reports.

    def _state(self, now: float, record: Record) -> str:
        life = self.current
        if not record.want.run:
            return "draining" if self.leaving else "stopped"
        if life is None:
            return "waiting" if now < self.pause_until else "starting"
        if not life.told_ready:
            return "starting"
        return "silent" if now - life.told_at > TOLD_WITHIN_S else "ready"

    def _report(self, now: float, record: Record) -> None:
        state, life = self._state(now, record), self.current
        if state != "ready":
            self.ready_at = 0.0
        elif not self.ready_at:
            self.ready_at = now
        self.report(
            Seen(
                state,
                life.build if life is not None else record.seen.build,
                life.generation if life is not None else record.seen.generation,
                record.want.version,
                life.pid if life is not None else 0,
                self.ready_at,
                life.served if life is not None else 0,
                life.failed if life is not None else 0,
                self.starts,
                self.failures,
                self.last_exit,
                self.note,
            )
        )
