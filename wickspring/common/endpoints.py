"""An endpoint: one running instance of a service, as processes of the system report it to each other."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec

from wickspring.common.messages.shared import EndpointRecord
from wickspring.common.settings_file import parse_address


class EndpointState(IntEnum):
    """Whether an endpoint takes requests. A departure is never taken back: a state only rises."""

    READY = 0
    DRAINING = 1  # it finishes what it has, and takes nothing new
    GONE = 2


READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
GONE = EndpointState.GONE


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One life of one endpoint: an instance that is started again has another id."""

    id: str
    service: str
    address: str  # IP:port
    zone: str
    slots: int  # requests that it works on at once
    state: int = READY  # `EndpointState`; a later version may send a higher one
    sequence: int = 0  # of the heartbeat that this was reported by
    warming_until_ms: float = 0.0  # by this process's clock
    generation: str = ""  # its build

    def pack(self, now: float) -> list[Any]:
        """Return the fields for a message or a file.

        Args:
            now: the time, in milliseconds. Clocks of machines differ, so what remains of the warm-up is
                written in place of its end.
        """
        remaining_ms = max(0.0, self.warming_until_ms - now)
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.sequence,
            round(remaining_ms),
            self.generation,
        ]

    @staticmethod
    def unpack(fields: Any, now: float) -> Endpoint:
        """Read the fields that `pack` has written.

        Raises:
            GatewayError: the address is not one that a request could be sent to.
            ValueError, TypeError: the fields are not those of an endpoint.
        """
        endpoint_id, service, address, zone, slots, state, sequence, remaining_ms, generation = fields
        parse_address(str(address))
        warming_until_ms = now + float(remaining_ms) if remaining_ms else 0.0
        return Endpoint(
            str(endpoint_id),
            str(service),
            str(address),
            str(zone),
            int(slots),
            int(state),
            int(sequence),
            warming_until_ms,
            str(generation),
        )

    def to_record(self, now: float) -> EndpointRecord:
        """Return the payload for a typed message; `now` in milliseconds."""
        return EndpointRecord(*self.pack(now))

    @staticmethod
    def from_record(record: EndpointRecord, now: float) -> Endpoint:
        """Read the payload of a typed message; raises as `unpack`."""
        return Endpoint.unpack(msgspec.structs.astuple(record), now)


def endpoints_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return a CRC-32 of which endpoints are ready; processes that know the same have the same."""
    ready_ids = sorted(endpoint.id for endpoint in endpoints if endpoint.state == READY)
    return zlib.crc32(repr(ready_ids).encode())
