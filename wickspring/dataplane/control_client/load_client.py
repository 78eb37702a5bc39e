"""Load of endpoints, across all data planes: advice on which are best, reports of requests in flight."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from wickspring.common.messages import EndpointAdvice, RequestEndpointAdvice, RequestFinished, RequestStarted
from wickspring.dataplane.control_client.connections import ControlPlaneConnections

AdviceHandler = Callable[[EndpointAdvice], None]


class LoadClient:
    """Asks the owner of a service's load for advice, and reports to it."""

    def __init__(self, connections: ControlPlaneConnections, numbers: Iterator[int], zone: str) -> None:
        self._connections = connections
        self._numbers = numbers
        self._zone = zone
        self._pending: dict[int, AdviceHandler] = {}

    def request_advice(self, service: str, on_advice: AdviceHandler) -> int:
        """Ask for the best endpoints of a service.

        Return a number to `cancel` the request by, or 0 where the owner is not reachable.
        """
        client = self._connections.live_owner_client(service)
        if client is None:
            return 0
        number = next(self._numbers)
        self._pending[number] = on_advice
        client.send(RequestEndpointAdvice(number, service, self._zone))
        return number

    def cancel(self, number: int) -> None:
        """Wait no longer for advice."""
        self._pending.pop(number, None)

    def on_advice(self, advice: EndpointAdvice) -> None:
        """Pass advice on to the handler of its request."""
        on_advice = self._pending.pop(advice.request_number, None)
        if on_advice is not None:
            on_advice(advice)

    def request_started(self, service: str, endpoint_id: str) -> str:
        """Report an attempt as in flight; return the owner's IP for `request_finished`, "" if not sent."""
        owner = self._connections.owners.owner(service)
        client = self._connections.clients.get(owner)
        if client is None or not client.send(RequestStarted(endpoint_id)):
            return ""
        return owner

    def request_finished(self, owner: str, endpoint_id: str, latency_ratio: float) -> None:
        """Report the end of an attempt, with its latency by the typical one (0: unknown, -1: failed)."""
        client = self._connections.clients.get(owner)
        if client is not None:
            client.send(RequestFinished(endpoint_id, round(latency_ratio, 2)))
