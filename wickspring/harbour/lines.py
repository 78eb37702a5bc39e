"""The lines of a settings file, before they are checked: `a.b=value`, as Java's properties are written."""

from __future__ import annotations

import os
from pathlib import Path

import javaproperties

from wickspring.harbour.kinds import Fault, FaultError, Kind

VARIABLE = "WICKSPRING_BOOT"

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Read `IP:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FaultError(Fault(Kind.BAD_SETTINGS, f"not an address: {text!r}"))
    return host, int(port)


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
