"""The first moments of a process: it reads its settings and listens, before the rest of it is loaded.

Loading takes some tenths of a second on a small machine. Who calls meanwhile waits in the kernel's line and
is served then; otherwise he is turned away, and after a fault that hits all machines there is nobody else.
"""

from __future__ import annotations

import socket
import sys

from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.settings_file import parse_address, parse_lines, read_settings_file
from wickspring.net.sockets import listen


class Bootstrap:
    """What a process begins with: its settings and its listening sockets."""

    def __init__(self, text: str) -> None:
        flat = parse_lines(text)
        for name in ("ip", "port_range"):
            if name not in flat:
                raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, f"{name} is missing"))
        self.talk = listen(parse_address(f"{flat['ip']}:{flat['port_range'].split(',')[0]}"), defer=False)
        self.front = _open(flat, "bind.front_http")
        self.ready = _open(flat, "bind.ready_addr")
        self.control = _open(flat, "bind.control_addr")
        from wickspring.common.settings import parse_settings

        self.settings = parse_settings(text)


def _open(flat: dict[str, str], name: str) -> socket.socket | None:
    return listen(parse_address(flat[name]), defer=False) if flat.get(name) else None


def bootstrap() -> Bootstrap:
    """Begin a process; with faulty settings it ends, and says which field."""
    try:
        return Bootstrap(read_settings_file())
    except (GatewayError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)
