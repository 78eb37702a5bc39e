"""`deploy/http2.toml`: the HTTP/2 front of an ingress, and HTTP/2 to ticket servers."""

from __future__ import annotations

from pathlib import Path

import msgspec

from wickspring.settings.address import parse_address
from wickspring.settings.toml_file import DEPLOY_FOLDER, read_toml

HTTP2_FILE = DEPLOY_FOLDER / "http2.toml"


class Http2(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the HTTP/2 front listens, and which ticket servers speak HTTP/2."""

    enabled: bool = False
    listen: str = "127.0.0.1:0"
    servers: tuple[str, ...] = ()  # ids of ticket servers that speak HTTP/2; "*" for all


def load_http2(path: Path) -> Http2:
    """Read and check the file; without one, HTTP/2 is off.

    Raises:
        ConfigError: the file cannot be used; the message names the key.
    """
    if not path.exists():
        return Http2()
    http2 = read_toml(path, Http2)
    parse_address(f"{path.name}: listen", http2.listen, any_port=True)
    return http2
