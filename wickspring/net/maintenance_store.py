"""The maintenance set in a file beside the hand-over's socket, for a successor whose predecessor is gone."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import msgspec

from wickspring.logs import kv
from wickspring.routing.maintenance import Maintenance

log = logging.getLogger("wickspring.net.keepsake")  # the name in the log lines that operators search

MOST_FILE = 1 << 20  # bytes; a file that is longer is none of ours


class Kept(msgspec.Struct):
    """What the file holds."""

    out: list[bytes] = []
    back: dict[bytes, float] = {}


def _file(path: Path) -> Path:
    return path.with_suffix(".maintenance")


def save(path: Path, maintenance: Maintenance) -> None:
    """Replace the file at one stroke; where it cannot be written, the set holds in this process alone."""
    file = _file(path)
    fresh = file.with_suffix(f".{os.getpid()}.new")
    try:
        fresh.write_bytes(msgspec.msgpack.encode(Kept(list(maintenance.excluded), maintenance.included_at)))
        fresh.replace(file)
    except OSError as error:
        log.warning("maintenance_not_kept", extra=kv(reason=error))


def load(path: Path) -> tuple[list[bytes], dict[bytes, float]]:
    """Read the file; nothing where there is none, or none of this user's."""
    file = _file(path)
    try:
        stat = file.stat()
        if stat.st_uid != os.getuid() or stat.st_size > MOST_FILE:
            log.warning("maintenance_unusable", extra=kv(reason="of another user, or too long"))
            return [], {}
        kept = msgspec.msgpack.decode(file.read_bytes(), type=Kept)
    except FileNotFoundError:
        return [], {}
    except (OSError, msgspec.DecodeError) as error:
        log.warning("maintenance_unusable", extra=kv(reason=error))
        return [], {}
    return kept.out, kept.back
