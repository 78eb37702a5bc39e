"""A server as the system's processes tell each other of it; times are milliseconds."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wickspring.common.messages.shared import EndpointRecord
from wickspring.common.settings_file import parse_address

READY, DRAINING, GONE = 0, 1, 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One life of one server."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: int = READY
    seq: int = 0
    cold_until: float = 0.0
    generation: str = ""

    def pack(self, now: float) -> list[Any]:
        """Return it for a message; what is a time goes as what is left of it."""
        left = max(0.0, self.cold_until - now)
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.seq,
            round(left),
            self.generation,
        ]

    def to_record(self, now: float) -> EndpointRecord:
        """Return it for a typed message; times go as what is left of them at `now`, in milliseconds."""
        return EndpointRecord(*self.pack(now))

    @staticmethod
    def from_record(record: EndpointRecord, now: float) -> Endpoint:
        """Read it from a typed message.

        Raises:
            GatewayError: the address is not one that a request could be sent to.
        """
        return Endpoint.unpack(msgspec.structs.astuple(record), now)

    @staticmethod
    def unpack(told: Any, now: float) -> Endpoint:
        """Read it from a message; what no request could be sent to is not taken in."""
        id_, service, address, zone, slots, state, seq, left, generation = told
        parse_address(str(address))
        until = now + float(left) if left else 0.0
        return Endpoint(
            str(id_),
            str(service),
            str(address),
            str(zone),
            int(slots),
            int(state),
            int(seq),
            until,
            str(generation),
        )


def endpoints_digest(servers: Iterable[Endpoint]) -> int:
    """Return a number for which servers take work: two that know the same have the same."""
    return zlib.crc32(repr(sorted(one.id for one in servers if one.state == READY)).encode())
