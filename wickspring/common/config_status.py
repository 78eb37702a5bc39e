"""How far a copy of the configuration may be relied on, as the system's processes tell each other."""

from __future__ import annotations

from enum import IntEnum


class ConfigStatus(IntEnum):
    """What is known of a copy by whoever hands it on."""

    HELD = 0  # on a disk: it may have become safe, and it may never
    SAFE = 1  # it has been safe; there may be newer ones
    CURRENT = 2  # safe, and told by a process that is in contact with a majority of the core


class QuorumContact(IntEnum):
    """How a lighthouse stands with the core."""

    NONE = 0  # what it knows may be old, and it confirms nothing
    FRESH = 1  # a majority answers it, but not for long enough to have heard of every server
    SETTLED = 2  # for so long that whatever server beats is known to it
