"""The ingress's requests that clients wait for, and the responses given to them."""

from __future__ import annotations

from typing import NamedTuple

from wickspring.core import effects as core
from wickspring.net.body_stream import BodyStream
from wickspring.net.calls import STATUS, Call, Client, retry_after


class OpenRequest(NamedTuple):
    """A request, and the place where its response goes."""

    call: Call
    client: Client


class OpenRequests:
    """All requests that are owed a response, by number."""

    def __init__(self) -> None:
        self.requests: dict[int, OpenRequest] = {}
        self.body_streams: dict[int, BodyStream] = {}  # of long bodies that are being read
        self._streamed: dict[int, int | None] = {}  # streamed responses, with their lengths where declared

    @property
    def active_streams(self) -> int:
        """How many requests with a streamed body or a streamed response are in progress."""
        return len(self.body_streams.keys() | self._streamed.keys())

    def close_body_stream(self, number: int) -> None:
        """Read no more of a request's body."""
        body_stream = self.body_streams.pop(number, None)
        if body_stream is not None:
            body_stream.close()

    def forget(self, number: int) -> None:
        """Drop a request whose client has gone away."""
        self.requests.pop(number, None)
        self.close_body_stream(number)
        self._streamed.pop(number, None)

    def send_response(self, effect: core.SendResponse) -> None:
        """Give a complete response."""
        self.close_body_stream(effect.request)
        open_request = self.requests.get(effect.request)
        if open_request is None:
            return
        delay = retry_after(effect.retry_after) if effect.kind is core.ResponseKind.REFUSED else ""
        open_request.client.respond(STATUS[effect.kind], delay, effect.body)
        self.requests.pop(effect.request, None)

    def reserve_stream(self, number: int, length: int | None) -> bool:
        """Note that a response is to be streamed; False where one is already, or nobody waits for it."""
        if number not in self.requests or number in self._streamed:
            return False
        self._streamed[number] = length
        return True

    def cancel_stream(self, number: int) -> None:
        """Undo `reserve_stream`."""
        self._streamed.pop(number, None)

    def start_streamed_response(self, effect: core.StartStreamedResponse) -> None:
        """Begin a response that was reserved."""
        self.requests[effect.request].client.begin_response(self._streamed[effect.request])

    def end_streamed_response(self, effect: core.EndStreamedResponse) -> None:
        """End a streamed response."""
        self._streamed.pop(effect.request, None)
        self.close_body_stream(effect.request)
        open_request = self.requests.get(effect.request)
        if open_request is not None:
            open_request.client.end_response(effect.complete)
        self.requests.pop(effect.request, None)
