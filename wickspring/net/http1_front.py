"""The platform's front: HTTP/1.1 from clients, one request at a time on each connection."""

from __future__ import annotations

import h11

from wickspring.net.calls import MOST_BODY
from wickspring.net.link import Link
from wickspring.net.runtime import Runtime

MOST_HEAD = 16 * 1024
MOST_AHEAD = MOST_HEAD + MOST_BODY  # bytes of the next request, taken in while an answer is owed
LINGER_MS = 1000.0  # for the client to read the last answer and close


class Http1Connection:
    """One client connection."""

    def __init__(self, link: Link, runtime: Runtime) -> None:
        self.link, self.runtime = link, runtime
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.number: int | None = None  # of the request that waits for its answer
        self.heard_at = runtime.clock.now()
        self.ending = False

    async def run(self) -> None:
        """Read until the client leaves or this side has said its last."""
        while True:
            data = await self.link.receive()
            if not data:
                break
            if self.ending:
                continue  # read and dropped, so that closing does not reset the answer
            self.heard_at = self.runtime.clock.now()
            self.http.receive_data(data)
            if self.number is None:
                self.advance()
            elif len(self.http.trailing_data[0]) > MOST_AHEAD:
                break  # it goes on sending while its answer is owed, and all of it would be held
        self.ending = True

    def drop(self) -> None:
        """Withdraw the request that is out, if any: the client has left."""
        number, self.number = self.number, None
        if number is not None:
            self.runtime.leave(number)

    def idle(self) -> bool:
        """Tell whether no request is under way."""
        return self.number is None and self.request is None and not self.http.trailing_data[0]

    def quiet_since(self) -> float | None:
        """Return when it was last heard of; None while an answer is owed on it."""
        return self.heard_at if self.number is None else None

    def advance(self) -> None:
        """Take in what has been read, up to the end of one request."""
        try:
            while not self.ending:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body = event, bytearray()
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.link.send(self.http.send(go_on) or b"")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BODY:
                        self.answer(413, "", b"body over 64 KiB\n")
                        return
                elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                    self._take(self.request)
                    return
        except h11.RemoteProtocolError as error:
            code = error.error_status_hint
            self.answer(code if code in (413, 431) else 400, "", f"{error}\n".encode())

    def _take(self, request: h11.Request) -> None:
        method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers}
        self.runtime.ask(self, method, target, headers, bytes(self.body))

    def accepted(self, number: int, budget: float) -> None:
        """Note that an answer is owed."""
        self.number = number

    def answer(self, status: int, retry_after: str, body: bytes) -> None:
        """Write the final answer, and go on to the next request where there may be one."""
        self.number = None
        headers = [("Content-Length", str(len(body)))]
        if retry_after:
            headers.append(("Retry-After", retry_after))
        if self.runtime.draining or self.http.their_state is not h11.DONE:
            headers.append(("Connection", "close"))
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self.http.send(h11.Response(status_code=status, headers=headers)) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(h11.EndOfMessage()) or b""
            self.link.send(data)
        self.request = None
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            if self.http.trailing_data[0]:
                self.advance()
        else:
            self.finish()

    def drain(self) -> None:
        """Say nothing: `Connection: close` goes out with the next answer."""

    def finish(self) -> None:
        """End the connection after what has been written."""
        self.ending = True
        self.link.finish()
        self.runtime.later(LINGER_MS, self.link.close)


async def serve(link: Link, runtime: Runtime) -> None:
    """Serve one client connection."""
    await runtime.serve(Http1Connection(link, runtime), link)
