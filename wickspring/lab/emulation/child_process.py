"""Processes of a run that end with it, however it ends.

An ingress that outlives its laboratory dials the ports of its discovery and counter for ever. Ports are the
kernel's choice: a ticket server of a later run may listen there, and receive what no client of its run sent.
"""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO

import trio

POLL_S = 0.02
PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when the thread that started it ends
_LIBC = ctypes.CDLL(None, use_errno=True)  # loaded here: nothing may be loaded between fork and exec


def _end_with_parent() -> None:
    """Have this process killed once its parent has ended; called between fork and exec."""
    if _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() == 1:  # the parent had ended before
        os.kill(os.getpid(), signal.SIGKILL)


class ChildProcess:
    """One process, which the kernel kills once this process has ended.

    It has to be started in the main thread: the kernel looks at the thread, and those of trio come and go.
    """

    def __init__(
        self, command: Sequence[str], folder: Path, environment: Mapping[str, str], log: IO[bytes]
    ) -> None:
        self._process = subprocess.Popen(
            command,
            cwd=folder,
            env=environment,
            stdin=subprocess.DEVNULL,
            stderr=log,
            preexec_fn=_end_with_parent,
        )

    @property
    def pid(self) -> int:
        """Its number."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The status that it ended with; None while it runs."""
        return self._process.poll()

    def send_signal(self, number: int) -> None:
        """Send it a signal; nothing where it has ended."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """End it with SIGKILL."""
        self._process.kill()

    async def wait(self) -> None:
        """Wait until it has ended."""
        while self.returncode is None:
            await trio.sleep(POLL_S)
