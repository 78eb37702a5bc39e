"""The lines of a settings file, before their values are checked: `a.b=value`.

They are read with the standard library's `configparser`, as one section. It loads much faster than a library
for Java's properties files, and a process can listen only once its settings are read.
"""

from __future__ import annotations

import configparser
import os
import socket
from pathlib import Path

from wickspring.common.errors import settings_error

SETTINGS_VARIABLE = "WICKSPRING_BOOT"  # the environment variable with the path of the file
SECTION = "settings"  # name under which `configparser` gets the whole file
MAX_PORT = 65535
MAX_PORT_DIGITS = 5

Address = tuple[str, int]  # IPv4 address and port


def parse_ip(text: str) -> str:
    """Check that a text is an IPv4 address in dotted form, and return it; names are not resolved.

    Raises:
        GatewayError: it is not.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError, TypeError) as error:
        raise settings_error(f"not an address: {text!r}") from error
    return text


def parse_address(text: str) -> Address:
    """Parse `IP:port`.

    Raises:
        GatewayError: it is not an IPv4 address with a port from 1 to 65535.
    """
    host, _, port_text = text.rpartition(":")
    is_number = port_text.isascii() and port_text.isdigit() and len(port_text) <= MAX_PORT_DIGITS
    port = int(port_text) if is_number else 0
    if not 0 < port <= MAX_PORT:
        raise settings_error(f"not an address: {text!r}")
    return parse_ip(host), port


def parse_lines(text: str) -> dict[str, str]:
    """Return the values by their full names (`a.b`); of a name that occurs twice, the last value.

    Raises:
        GatewayError: a line is not `name=value`, a comment or empty.
    """
    reader = configparser.RawConfigParser(delimiters=("=",), comment_prefixes=("#", "!"), strict=False)
    reader.optionxform = str  # type: ignore[assignment, method-assign]  # names are case-sensitive
    lines = "\n".join(line.strip() for line in text.splitlines())
    try:
        reader.read_string(f"[{SECTION}]\n{lines}")
    except (configparser.Error, ValueError) as error:
        raise settings_error(str(error)) from error
    if reader.sections() != [SECTION] or reader.defaults():
        raise settings_error("sections are not known here")
    return dict(reader[SECTION])


def read_settings_file(path: str = "") -> str:
    """Return the text of the file at the path, or of the one that `SETTINGS_VARIABLE` names.

    Raises:
        GatewayError: it cannot be read.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return Path(name).read_text()
    except OSError as error:
        raise settings_error(f"{SETTINGS_VARIABLE}: {error}") from error
