"""An endpoint: one running instance of a service, as processes of the system report it to each other."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

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

EndpointFields: TypeAlias = list[str | int | float]  # of an endpoint in a file


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

    def pack(self, now: float) -> EndpointFields:
        """Return the fields for a file, in the order of `EndpointRecord`; `now` in milliseconds."""
        return list(msgspec.structs.astuple(self.to_record(now)))

    @staticmethod
    def unpack(fields: object, now: float) -> Endpoint:
        """Read the fields that `pack` has written; `now` in milliseconds.

        Raises:
            GatewayError: the address is not one that a request could be sent to.
            ValueError, TypeError: the fields are not those of an endpoint.
        """
        if not isinstance(fields, list | tuple):
            raise TypeError("an endpoint's fields are not a list")
        endpoint_id, service, address, zone, slots, state, sequence, warmup_remaining_ms, generation = fields
        record = EndpointRecord(
            endpoint_id=str(endpoint_id),
            service=str(service),
            address=str(address),
            zone=str(zone),
            slots=int(slots),
            state=int(state),
            sequence=int(sequence),
            warmup_remaining_ms=float(warmup_remaining_ms or 0.0),
            generation=str(generation),
        )
        return Endpoint.from_record(record, now)

    def to_record(self, now: float) -> EndpointRecord:
        """Return the payload for a message.

        Args:
            now: the time, in milliseconds. Clocks of machines differ, so what remains of the warm-up is
                written in place of its end.
        """
        return EndpointRecord(
            endpoint_id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            slots=self.slots,
            state=self.state,
            sequence=self.sequence,
            warmup_remaining_ms=round(max(0.0, self.warming_until_ms - now)),
            generation=self.generation,
        )

    @staticmethod
    def from_record(record: EndpointRecord, now: float) -> Endpoint:
        """Read the payload of a message; `now` in milliseconds.

        Raises:
            GatewayError: the address is not one that a request could be sent to.
        """
        parse_address(record.address)
        remaining_ms = record.warmup_remaining_ms
        return Endpoint(
            id=record.endpoint_id,
            service=record.service,
            address=record.address,
            zone=record.zone,
            slots=record.slots,
            state=record.state,
            sequence=record.sequence,
            warming_until_ms=now + remaining_ms if remaining_ms else 0.0,
            generation=record.generation,
        )


def endpoints_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return a CRC-32 of which endpoints are ready; processes that know the same have the same."""
    ready_ids = sorted(endpoint.id for endpoint in endpoints if endpoint.state == READY)
    return zlib.crc32(repr(ready_ids).encode())
