"""The lines of a settings file, before they are checked: `a.b=value`, as Java's properties are written."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import javaproperties

from wickspring.harbour.kinds import Fault, FaultError, Kind

VARIABLE = "WICKSPRING_BOOT"

Address = tuple[str, int]


def parse_ip(text: str) -> str:
    """Read an IPv4 number; names are not looked up."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError, TypeError):
        raise FaultError(Fault(Kind.BAD_SETTINGS, f"not an address: {text!r}")) from None
    return text


def parse_address(text: str) -> Address:
    """Read `IP:port`."""
    host, _, port = text.rpartition(":")
    number = int(port) if port.isdigit() and port.isascii() and len(port) < 6 else 0
    if not 0 < number < 65536:
        raise FaultError(Fault(Kind.BAD_SETTINGS, f"not an address: {text!r}"))
    return parse_ip(host), number


def split(text: str) -> dict[str, str]:
    """Return names and values, in no depth."""
    try:
        return dict(javaproperties.loads(text))
    except (ValueError, javaproperties.InvalidUEscapeError) as error:
        raise FaultError(Fault(Kind.BAD_SETTINGS, str(error))) from error


def load(path: str = "") -> str:
    """Return the text of the file that the environment names."""
    name = path or os.environ.get(VARIABLE, "")
    try:
        return Path(name).read_text()
    except OSError as error:
        raise FaultError(Fault(Kind.BAD_SETTINGS, f"{VARIABLE}: {error}")) from error
