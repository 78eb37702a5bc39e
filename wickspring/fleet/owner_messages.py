"""Requests of an operation's coordinator to the agents that own instances or issue permits, and their reply.

Every request may be repeated: each says what it expects, and one that has been carried out is answered as
the first time. The names in `rename` are those of messages, which programs of earlier versions have. Times
are Unix seconds. No I/O.
"""

from __future__ import annotations

import msgspec

from wickspring.fleet.model import Claim


class AcquireClaims(msgspec.Struct, frozen=True, tag="claim"):
    """Claim these instances for an operation, all or none."""

    operation: str
    by: str
    coordinator: str
    what: str
    instances: tuple[str, ...]
    until: float


class RenewClaims(msgspec.Struct, frozen=True, tag="renew"):
    """Hold an operation's claims and permits for longer."""

    operation: str
    until: float


class ReleaseClaims(msgspec.Struct, frozen=True, tag="release"):
    """Release an operation's claims."""

    operation: str


class SetDesiredState(
    msgspec.Struct, frozen=True, tag="want", rename={"expected_version": "expect", "restart": "renew"}
):
    """Change the desired state of an instance, if its version is still the one expected."""

    operation: str
    instance: str
    expected_version: int
    run: bool
    build: str
    restart: bool  # start it anew, though run and build may be as before
    by: str


class AcquirePermit(msgspec.Struct, frozen=True, tag="slot"):
    """Ask the permit issuer of a scope for permission to have an instance down."""

    operation: str
    instance: str
    scope: str
    until: float
    below_floor: bool = False


class ReleasePermit(msgspec.Struct, frozen=True, tag="give"):
    """Release a permit: the instance serves again, or is out of the operation."""

    operation: str
    instance: str
    scope: str


Request = AcquireClaims | RenewClaims | ReleaseClaims | SetDesiredState | AcquirePermit | ReleasePermit


class Conflict(msgspec.Struct, frozen=True):
    """An instance that another operation holds."""

    instance: str
    claim: Claim


class Reply(msgspec.Struct, frozen=True):
    """What came of a request; `reason` is empty where it was carried out."""

    reason: str = ""
    conflicts: tuple[Conflict, ...] = ()
    version: int = -1  # of the desired state, after SetDesiredState
    wait: bool = False  # refused for now: the same request may succeed later
