"""Processes of instances: started so that they outlive the agent, known again by pid and start time.

A process is started by way of a small shell that writes its pid into a file before it becomes the program: an
agent killed at any moment finds there what it had started. Its end is seen on a pidfd, which works for
processes that another agent, now dead, was the parent of.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import trio

EXEC_S = 0.25  # s at most that a process takes to become another program, on the most crowded of machines
_LOOK_S = 0.001  # s between two looks meanwhile

_SHELL = 'echo $$ > "$0.new" && mv "$0.new" "$0" && exec "$@"'


def born(pid: int) -> int:
    """Return when a process started, in ticks since the machine did; 0 where there is none (or a zombie)."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


def has_token(pid: int, token: str) -> bool:
    """Tell whether a process was started with this token.

    The system shows an empty environment while a process becomes another program: that says nothing yet.
    """
    until = time.monotonic() + EXEC_S
    try:
        while not (environment := Path(f"/proc/{pid}/environ").read_bytes()):
            if not born(pid) or time.monotonic() > until:
                return False
            time.sleep(_LOOK_S)
    except OSError:
        return False
    return f"GW_TOKEN={token}".encode() in environment.split(b"\0")


@dataclass(slots=True, eq=False)
class Life:
    """One process of an instance, started here or found again."""

    pid: int
    born: int
    token: str
    build: str
    generation: int
    adopted: bool = False
    told_ready: bool = False  # by its own word
    told_at: float = 0.0
    served: int = 0
    failed: int = 0
    exit_code: int | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    began_at: float = 0.0
    draining_since: float = 0.0

    @property
    def alive(self) -> bool:
        """Tell whether it runs."""
        return not self.ended.is_set() and born(self.pid) == self.born

    def send(self, signum: int) -> None:
        """Send a signal, if it is still the same process."""
        if self.alive:
            with suppress(ProcessLookupError, PermissionError):
                os.kill(self.pid, signum)

    async def wait(self) -> None:
        """Wait for its end; its exit code is known where it was started here."""
        try:
            pidfd = os.pidfd_open(self.pid)
        except OSError:  # it has ended already
            pidfd = -1
        try:
            if pidfd >= 0 and born(self.pid) == self.born:
                await trio.lowlevel.wait_readable(pidfd)
        finally:
            if pidfd >= 0:
                os.close(pidfd)
        with suppress(ChildProcessError):
            pid, status = os.waitpid(self.pid, os.WNOHANG)
            if pid:
                self.exit_code = os.waitstatus_to_exitcode(status)
        self.ended.set()


def command(python: str) -> list[str]:
    """Return how an ingress is run by this Python."""
    return [python or sys.executable, "-O", "-m", "wickspring", "serve"]


def launch(
    words: list[str], folder: Path, env: dict[str, str], log: Path, pid_file: Path, token: str
) -> subprocess.Popen[bytes]:
    """Start a process in a session of its own, its output in a file."""
    pid_file.unlink(missing_ok=True)
    with log.open("ab") as out:
        return subprocess.Popen(
            ["/bin/sh", "-c", _SHELL, str(pid_file), *words],
            cwd=folder,
            env={**env, "GW_TOKEN": token},
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=out,
            start_new_session=True,
        )


def find(pid: int, started: int, token: str, pid_file: Path) -> tuple[int, int]:
    """Find a process again; return its pid and start, or zeros where it runs no more.

    Where the agent was killed between the start and its note, the pid comes from the process's own file.
    """
    if not pid:
        with suppress(OSError, ValueError):
            pid = int(pid_file.read_text())
    now = born(pid) if pid else 0
    if not now or (started and now != started) or not has_token(pid, token):
        return 0, 0
    return pid, now


def end(life: Life, hard: bool = False) -> None:
    """Ask a process to drain, or end it."""
    life.send(signal.SIGKILL if hard else signal.SIGTERM)
