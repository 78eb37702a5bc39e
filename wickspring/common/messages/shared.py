"""Messages and payloads that occur in more than one direction."""

from __future__ import annotations

import msgspec

from wickspring.common.config_status import ConfigStatus
from wickspring.common.messages.base import Message


class EndpointRecord(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One endpoint in a message. Times are relative, since clocks of machines differ.

    `endpoints.Endpoint.from_record` checks the address.
    """

    endpoint_id: str
    service: str
    address: str  # IP:port
    zone: str
    slots: int  # requests that it works on at once
    state: int  # endpoints.READY, DRAINING or GONE
    sequence: int  # of the heartbeat that said so
    warmup_remaining_ms: int | float
    generation: str


class EndpointsChanged(Message, tag="servers", frozen=True):
    """Endpoints that are new or whose state has changed.

    Sent by a control-plane node to all data planes and nodes when a heartbeat changes what it knows, and in
    answer to `RequestEndpoints`. The receiver takes each into its table.
    """

    endpoints: list[EndpointRecord]


class EndpointsDeparting(Message, tag="leaving", frozen=True):
    """Endpoints whose departure has been committed, with their states.

    Sent by a control-plane node to its data planes once the update is committed. The receiver sends them no
    new requests, and passes on to other data planes what it did not know.
    """

    states: dict[str, int]


class EndpointSnapshot(Message, tag="whole", frozen=True):
    """All endpoints and departures that the sender knows.

    Sent by a control-plane node after `Hello` and `RequestFullState`, and by a data plane after `FetchState`.
    The receiver adds them to its table; nothing is removed by their absence.
    """

    endpoints: list[EndpointRecord]
    departures: dict[str, int]
    is_recent: bool  # the sender is in contact with a majority of the control plane


class ConfigOffer(Message, tag="chart", frozen=True, forbid_unknown_fields=True):
    """A version of the configuration.

    Sent by a control-plane node to a data plane that has an older one or none, and by a data plane in answer
    to `FetchState`. The receiver adopts it by the rules of `dataplane.policy.config_adoption`.
    """

    version: int
    compressed_document: bytes  # zlib
    digest: bytes  # of the document, uncompressed
    status: ConfigStatus
