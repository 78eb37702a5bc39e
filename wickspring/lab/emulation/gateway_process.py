"""One ingress process (`serve`) of a run on sockets: its files, start and end, what it has used and logged.

The processes of control planes and data planes are those of `local_gateway`.
"""

from __future__ import annotations

import json
import os
import re
import resource
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import trio

from wickspring.lab.emulation.child_process import ChildProcess
from wickspring.lab.emulation.site import LabError

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 6.0
POLL_S = 0.02
LOG_EXCERPT_CHARACTERS = 400
KB_PER_MB = 1024.0

_FIGURE = re.compile(r"([a-z_\[\]]+)=(-?[0-9.]+)(?= |$)")
_READY = re.compile(r"event=ready .*listen=([0-9.:]+)")
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
_INHERITED_SETTINGS = ("GW_LISTEN", "GW_DISCOVERY", "GW_HTTP2", "GW_TENANTS")


@dataclass(slots=True, frozen=True)
class GatewayFiles:
    """What a process is started with."""

    folder: Path  # for its files and its log
    program: Path  # the folder of its build
    config: Mapping[str, object]
    max_descriptors: int
    connection_limits: str  # the text of its connections.toml
    peers_file: Path


class GatewayProcess:
    """One ingress process (`serve`), started as often as the run's faults require."""

    def __init__(self, name: str, files: GatewayFiles) -> None:
        self.name = name
        self.address = ""  # once it is ready
        self.process: ChildProcess | None = None
        self.cpu_ms = 0.0
        self.peak_mb = 0.0
        self.stopping = False  # the run is over
        self.starting = False  # it is not ready yet
        self.killed = False  # by a fault of the run: no crash of its own
        self._files = files
        self._log = files.folder / f"{name}.log"
        self._config = files.folder / f"{name}.json"
        self._config.write_text(json.dumps(files.config))
        self._connections = files.folder / f"{name}-connections.toml"
        self._connections.write_text(files.connection_limits)

    @property
    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.returncode is None

    # Start and end.

    async def start(self) -> None:
        """Start it and wait until it is ready.

        Raises LabError where it ends first, or is not ready after `READY_TIMEOUT_S`.
        """
        command = [sys.executable, "-O", "-m", "wickspring", "serve"]
        self.starting = True
        log_start = self._log.stat().st_size if self._log.exists() else 0  # behind earlier processes' lines
        with self._log.open("ab") as log:
            self.process = ChildProcess(command, self._files.program, self._environment(), log)
            self.killed = False  # that was the process before
        limits = self._files.max_descriptors, self._files.max_descriptors
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)  # as the platform has it
        with trio.move_on_after(READY_TIMEOUT_S):
            if await self._wait_until_ready(log_start):
                return
        excerpt = self._log.read_text()[-LOG_EXCERPT_CHARACTERS:]
        raise LabError(f"{self.name} did not become ready; its log ends: {excerpt}")

    def _environment(self) -> dict[str, str]:
        inherited = {key: value for key, value in os.environ.items() if key not in _INHERITED_SETTINGS}
        return {
            **inherited,
            "GW_NAME": self.name,
            "GW_CONFIG": str(self._config),
            "GW_PEERS": str(self._files.peers_file),
            "GW_CONNECTIONS": str(self._connections),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    async def _wait_until_ready(self, log_start: int) -> bool:
        """Wait until it is ready, killed by a fault, or stopped; False where it ended by itself."""
        while True:
            ready = _READY.search(self._log.read_text()[log_start:])
            if ready:
                self.address = ready.group(1)
                self.starting = False
                return True
            if self.killed or self.stopping:
                return True
            if not self.is_running:
                return False
            await trio.sleep(POLL_S)

    def signal(self, number: int) -> None:
        """Send it a signal, where it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it with SIGKILL."""
        if self.process is not None and self.is_running:
            self.killed = True
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """Drain it, and kill it where it does not end within `STOP_TIMEOUT_S`."""
        if self.process is None:
            return
        self.stopping = True
        self.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_S):
            await self.process.wait()
        if self.is_running:
            self.process.kill()
            await self.process.wait()

    # Observations.

    @property
    def crash(self) -> str:
        """Say how it crashed; empty where it did not."""
        status = self.process.returncode if self.process is not None else None
        if status in (0, None) or self.killed:
            return ""
        # One that the run's end met while it started again had no handler for the signal yet.
        if self.starting and status == -signal.SIGTERM:
            return ""
        return f"crashed: {self.name} ended with {status}"

    def measure(self) -> None:
        """Read processor time and peak memory from /proc; they stay as they are where it has ended."""
        if self.process is None:
            return
        folder = Path(f"/proc/{self.process.pid}")
        try:
            stat = (folder / "stat").read_text().rpartition(")")[2].split()
            status = (folder / "status").read_text()
        except OSError:
            return
        user_ticks = int(stat[11])
        system_ticks = int(stat[12])
        self.cpu_ms = 1000.0 * (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
        peak = _PEAK_MEMORY.search(status)
        self.peak_mb = int(peak.group(1)) / KB_PER_MB if peak else 0.0

    def figures(self) -> dict[str, float]:
        """Return the figures of the last log line with event=stopped."""
        lines = [line for line in self._log.read_text().splitlines() if "event=stopped" in line]
        return {key: float(value) for key, value in _FIGURE.findall(lines[-1])} if lines else {}
