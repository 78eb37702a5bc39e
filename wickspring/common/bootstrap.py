"""The start of a process: it reads its settings and listens before the rest of it is loaded.

Loading takes some tenths of a second on a small machine. Clients that connect in that time wait in the
kernel's accept queue and are served afterwards. Without the queue they would be refused, and after a fault
that hits all machines there is no other one to turn to.
"""

from __future__ import annotations

import socket
import sys

from wickspring.common.errors import GatewayError, settings_error
from wickspring.common.settings_file import parse_address, parse_lines, read_settings_file
from wickspring.common.termination import Termination
from wickspring.net.sockets import listen

_NEEDED_TO_LISTEN = ("ip", "port_range")
EXIT_BAD_SETTINGS = 2


class Bootstrap:
    """What a process starts with: settings, listening sockets, and whether it has been told to end.

    Raises:
        GatewayError: a setting is missing or cannot be used.
        OSError: an address cannot be listened on.
    """

    def __init__(self, text: str, termination: Termination) -> None:
        self.termination = termination
        lines = parse_lines(text)
        for name in _NEEDED_TO_LISTEN:
            if name not in lines:
                raise settings_error(f"{name} is missing")
        peer_port = lines["port_range"].split(",")[0]
        self.peer_listener = listen(parse_address(f"{lines['ip']}:{peer_port}"), defer=False)
        self.client_listener = _listen_if_set(lines, "bind.front_http")
        self.readiness_listener = _listen_if_set(lines, "bind.ready_addr")
        self.api_listener = _listen_if_set(lines, "bind.control_addr")
        # Imported here: it loads msgspec, which takes longer than all of the above.
        from wickspring.common.settings import parse_settings

        self.settings = parse_settings(text)


def _listen_if_set(lines: dict[str, str], name: str) -> socket.socket | None:
    return listen(parse_address(lines[name]), defer=False) if lines.get(name) else None


def bootstrap(termination: Termination) -> Bootstrap:
    """Read the settings and listen; on an error, print it and exit."""
    try:
        return Bootstrap(read_settings_file(), termination)
    except (GatewayError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
