"""The endpoints as the connection pools see them: which there are, and which accept new requests."""

from __future__ import annotations

from dataclasses import dataclass

from wickspring import interface as api
from wickspring.dataplane.endpoint_table import EndpointTable


@dataclass(slots=True, frozen=True)
class _PoolEntry:
    """An endpoint's entry, and whether the endpoint accepted requests when it was made."""

    accepts: bool
    entry: api.ServerEntry


class PoolDirectory:
    """Gives the connection pools an entry for each endpoint of the table."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self._entries: dict[str, _PoolEntry] = {}  # by endpoint id

    def entry(self, server: api.ServerId) -> api.ServerEntry | None:
        """Return an endpoint's entry, made anew only where it has changed; None where it is forgotten."""
        endpoint_id = server.decode()
        if endpoint_id not in self._endpoints.by_id:
            self._entries.pop(endpoint_id, None)
            return None
        accepts = self._endpoints.accepts(endpoint_id)
        known = self._entries.get(endpoint_id)
        if known is None or known.accepts != accepts:
            readiness = api.Readiness.READY if accepts else api.Readiness.DRAINING
            known = _PoolEntry(accepts, api.ServerEntry(server, 0, 0, readiness, 1.0, 0.0))
            self._entries[endpoint_id] = known
        return known.entry
