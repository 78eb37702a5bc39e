"""What a client may send, and how long it may take."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wickspring.net.calls import BODY_MS, FIRST_BYTE_MS, HEAD_MS, IDLE_MS, MAX_BODY_BYTES

MAX_HEAD_BYTES = 16 * 1024


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """What a client may send, and how long it may take."""

    first_byte_ms: float = FIRST_BYTE_MS
    head_ms: float = HEAD_MS
    body_ms: float = BODY_MS  # and 1 ms more for each `BODY_BYTES_PER_MS` bytes
    idle_ms: float = IDLE_MS
    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES


DEFAULT_LIMITS = FrontLimits()

LimitsSource = Callable[[], FrontLimits]
"""Returns the limits as they are now; a configuration may change them while a connection is kept."""


def default_limits() -> FrontLimits:
    """Return the limits of a program that has no others."""
    return DEFAULT_LIMITS
