"""Processes of instances: started so that they outlive the agent, identified by pid and start time.

A process is started through a small shell that writes its pid to a file before it executes the program, so
an agent that was killed at any moment finds there what it had started. The end of a process is awaited on a
pidfd (pidfd_open(2)), which works for processes whose parent was another agent as well.
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

from wickspring.fleet.model import DesiredState

EXEC_TIMEOUT_S = 0.25  # for execve(2) to take effect, on a machine under heavy load
EXEC_POLL_S = 0.001

_SHELL = 'echo $$ > "$0.new" && mv "$0.new" "$0" && exec "$@"'


def start_ticks(pid: int) -> int:
    """Return when a process started, in clock ticks since boot (proc(5)); 0 if there is none, or a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


def has_token(pid: int, token: str) -> bool:
    """Tell whether a process was started with this token.

    The kernel shows an empty environment during execve(2), so an empty one is read again.
    """
    deadline = time.monotonic() + EXEC_TIMEOUT_S
    try:
        while not (environment := Path(f"/proc/{pid}/environ").read_bytes()):
            if not start_ticks(pid) or time.monotonic() > deadline:
                return False
            time.sleep(EXEC_POLL_S)
    except OSError:
        return False
    return f"GW_TOKEN={token}".encode() in environment.split(b"\0")


@dataclass(slots=True, eq=False)
class InstanceProcess:
    """One process of an instance, started here or adopted. Times are seconds of the agent's clock."""

    pid: int
    start_ticks: int  # with the pid its identity: pids are used again
    token: str
    build: str
    generation: int
    adopted: bool = False
    reported_ready: bool = False
    last_report_at: float = 0.0
    served: int = 0
    failed: int = 0
    exit_code: int | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    started_at: float = 0.0
    draining_since: float = 0.0

    def runs(self, desired: DesiredState) -> bool:
        """Tell whether it is of the desired build and generation."""
        return (self.build, self.generation) == (desired.build, desired.generation)

    @property
    def alive(self) -> bool:
        """Tell whether it runs."""
        return not self.ended.is_set() and start_ticks(self.pid) == self.start_ticks

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
            if pidfd >= 0 and start_ticks(self.pid) == self.start_ticks:
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
    arguments: list[str], folder: Path, env: dict[str, str], log: Path, pid_file: Path, token: str
) -> subprocess.Popen[bytes]:
    """Start a process in a session of its own, its output in a file."""
    pid_file.unlink(missing_ok=True)
    with log.open("ab") as out:
        return subprocess.Popen(
            ["/bin/sh", "-c", _SHELL, str(pid_file), *arguments],
            cwd=folder,
            env={**env, "GW_TOKEN": token},
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=out,
            start_new_session=True,
        )


def find(pid: int, known_ticks: int, token: str, pid_file: Path) -> tuple[int, int]:
    """Find a process that was started earlier; return its pid and start ticks, or zeros if it has ended.

    If the agent was killed before it stored the pid (0 here), the process's own pid file has it.
    """
    if not pid:
        with suppress(OSError, ValueError):
            pid = int(pid_file.read_text())
    ticks = start_ticks(pid) if pid else 0
    if not ticks or (known_ticks and ticks != known_ticks) or not has_token(pid, token):
        return 0, 0
    return pid, ticks


def terminate(process: InstanceProcess, force: bool = False) -> None:
    """Ask a process to drain (SIGTERM), or kill it."""
    process.send(signal.SIGKILL if force else signal.SIGTERM)
