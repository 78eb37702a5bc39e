"""The first moments of a process: it reads its settings and listens, before the rest of it is loaded.

Loading takes some tenths of a second on a small machine. Who calls meanwhile waits in the kernel's line and
is served then; otherwise he is turned away, and after a fault that hits all machines there is nobody else.
"""

from __future__ import annotations

import socket
import sys

from wickspring.harbour.boot import Boot, load, parse_address
from wickspring.harbour.kinds import FaultError
from wickspring.net.sockets import listen


class Started:
    """What a process begins with: its settings and its listening sockets."""

    def __init__(self, boot: Boot) -> None:
        self.boot = boot
        self.talk = listen((boot.ip, boot.talk_port), defer=False)
        bind = boot.bind
        self.front = _open(bind.front_http)
        self.ready = _open(bind.ready_addr)
        self.control = _open(bind.control_addr)


def _open(address: str) -> socket.socket | None:
    return listen(parse_address(address), defer=False) if address else None


def start() -> Started:
    """Begin a process; with faulty settings it ends, and says which field."""
    try:
        return Started(load())
    except FaultError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)
