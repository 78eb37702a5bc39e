"""Addresses in settings: `host:port`."""

from __future__ import annotations

from wickspring.settings.errors import ConfigError

MAX_PORT = 65535


def parse_address(key: str, text: str, *, any_port: bool = False) -> tuple[str, int]:
    """Read `host:port`; port 0, which lets the kernel choose one, only with `any_port`.

    Raises:
        ConfigError: the text is no such address; the message names `key`.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ConfigError(f"{key} is not host:port: {text!r}")
    number = int(port)
    if number > MAX_PORT or (number == 0 and not any_port):
        raise ConfigError(f"{key} has no usable port: {text!r}")
    return host, number
