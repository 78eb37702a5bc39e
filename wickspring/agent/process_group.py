"""The processes of one instance: the one that serves, its successor, and those that drain."""

from __future__ import annotations

import math

from wickspring.agent import processes
from wickspring.agent.processes import InstanceProcess


class ProcessGroup:
    """All processes of one instance. Times are Unix seconds."""

    def __init__(self) -> None:
        self.current: InstanceProcess | None = None
        self.successor: InstanceProcess | None = None  # started beside `current`, to replace it
        self.draining: list[InstanceProcess] = []

    def all(self) -> list[InstanceProcess]:
        """Return all processes, the draining ones included."""
        candidates = (self.current, self.successor, *self.draining)
        return [process for process in candidates if process is not None]

    def adopt(self, found: list[InstanceProcess]) -> None:
        """Take over processes that an earlier agent started: the oldest serves, the newest succeeds it."""
        ordered = sorted(found, key=lambda process: process.start_ticks)
        if ordered:
            self.current = ordered[0]
        if len(ordered) > 1:
            self.successor = ordered[-1]
            self.draining = ordered[1:-1]

    def add(self, process: InstanceProcess) -> None:
        """Add a process that was started: as the current one, or beside it as its successor."""
        if self.current is None:
            self.current = process
        else:
            self.successor = process

    def remove(self, process: InstanceProcess) -> None:
        """Remove a process that has ended."""
        if process in self.draining:
            self.draining.remove(process)
        self._remove_serving(process)

    def promote_successor(self) -> None:
        """Make the successor the current process, if there is one."""
        self.current = self.successor
        self.successor = None

    def drain(self, process: InstanceProcess | None, now: float, *, force: bool = False) -> None:
        """Terminate a process, with SIGKILL if forced, and keep it among the draining until it has ended."""
        if process is None:
            return
        process.draining_since = now
        processes.terminate(process, force)
        self._remove_serving(process)
        self.draining.append(process)

    def drain_serving(self, now: float) -> None:
        """Drain the current process and its successor."""
        self.drain(self.current, now)
        self.drain(self.successor, now)

    def replace_current(self, now: float) -> None:
        """Drain the current process; its successor, if there is one, takes its place."""
        self.drain(self.current, now)
        self.promote_successor()

    def kill_overdue(self, now: float, drain_within_s: float) -> bool:
        """Kill the processes that have not drained in time; return whether there were any."""
        overdue = [process for process in self.draining if now >= process.draining_since + drain_within_s]
        for process in overdue:
            processes.terminate(process, force=True)
        return bool(overdue)

    def next_drain_deadline(self, now: float, drain_within_s: float) -> float:
        """Return when the next draining process is overdue; infinity if none is going to be."""
        deadlines = [process.draining_since + drain_within_s for process in self.draining]
        return min((deadline for deadline in deadlines if deadline > now), default=math.inf)

    def _remove_serving(self, process: InstanceProcess) -> None:
        if process is self.current:
            self.current = None
        if process is self.successor:
            self.successor = None
