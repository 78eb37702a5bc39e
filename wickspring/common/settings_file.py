"""The lines of a settings file, before they are checked: `a.b=value`.

They are read by the standard library's reader of such files, as one section: it loads far less than
a library for Java's properties does, and a process listens only once its settings are read.
"""

from __future__ import annotations

import configparser
import os
import socket
from pathlib import Path

from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError

SETTINGS_VARIABLE = "WICKSPRING_BOOT"
SECTION = "settings"  # as the reader calls all of the file

Address = tuple[str, int]


def parse_ip(text: str) -> str:
    """Read an IPv4 number; names are not looked up."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError, TypeError):
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, f"not an address: {text!r}")) from None
    return text


def parse_address(text: str) -> Address:
    """Read `IP:port`."""
    host, _, port = text.rpartition(":")
    number = int(port) if port.isdigit() and port.isascii() and len(port) < 6 else 0
    if not 0 < number < 65536:
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, f"not an address: {text!r}"))
    return parse_ip(host), number


def parse_lines(text: str) -> dict[str, str]:
    """Return names and values, in no depth; of a name that comes twice, the last."""
    reader = configparser.RawConfigParser(delimiters=("=",), comment_prefixes=("#", "!"), strict=False)
    reader.optionxform = str  # type: ignore[assignment, method-assign]
    lines = "\n".join(line.strip() for line in text.splitlines())
    try:
        reader.read_string(f"[{SECTION}]\n{lines}")
    except (configparser.Error, ValueError) as error:
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, str(error))) from error
    if reader.sections() != [SECTION] or reader.defaults():
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, "sections are not known here"))
    return dict(reader[SECTION])


def read_settings_file(path: str = "") -> str:
    """Return the text of the file that the environment names."""
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return Path(name).read_text()
    except OSError as error:
        raise GatewayError(ErrorDetail(ErrorKind.BAD_SETTINGS, f"{SETTINGS_VARIABLE}: {error}")) from error
