"""The admin API for operators: HTTP/1.1, one call to a connection, apart from all that clients may use up."""

from __future__ import annotations

import logging
import socket
from typing import Protocol

import h11
import msgspec
import trio

from wickspring.logs import kv
from wickspring.net.link import Link

log = logging.getLogger("wickspring.net.door")  # the name in the log lines that operators search

MAX_CONNECTIONS = 16  # connections at once, set aside for operators
REQUEST_TIMEOUT_S = 5.0  # for a complete call to arrive
LINGER_S = 1.0  # for the caller to read its answer and close
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 4 * 1024
METHODS = {"/api/ready": "GET", "/api/exclude": "PUT", "/api/include": "PUT"}


class Operations(Protocol):
    """What operators may ask for."""

    @property
    def serving(self) -> bool:
        """Tell whether this process serves now."""

    def exclude(self, server: bytes) -> bool:
        """Take a ticket server out; False where nobody has such an id."""

    def include(self, server: bytes) -> bool:
        """Put it back; False where nobody has such an id."""


class Who(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a call that names a ticket server."""

    who: str


class CallRefusedError(Exception):
    """A call that is answered with no; carries the status and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def decide(operations: Operations, method: str, target: str, body: bytes) -> str:
    """Carry out one call and return its yes, or raise `CallRefusedError`, nothing being changed."""
    path = target.partition("?")[0]
    wanted = METHODS.get(path)
    if wanted is None:
        raise CallRefusedError(404, f"no such path: {path[:100]!r}")
    if method != wanted:
        raise CallRefusedError(405, f"{path} takes {wanted}")
    if wanted == "GET":
        if not operations.serving:
            raise CallRefusedError(503, "not serving")
        return "ready"
    try:
        who = msgspec.json.decode(body, type=Who).who
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallRefusedError(400, f"who: {error}") from error
    change = operations.exclude if path == "/api/exclude" else operations.include
    if not who or not change(who.encode("utf-8", "surrogatepass")):
        raise CallRefusedError(404, f"who: no ticket server has the id {who[:100]!r}")
    log.info("maintenance", extra=kv(call=path.rpartition("/")[2], who=who))
    return "done"


class CallReader:
    """Reads the one call of a connection from pieces of any size."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body = bytearray()

    def feed(self, data: bytes) -> bool:
        """Take bytes in; True once the call is whole."""
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return False
            if isinstance(event, h11.Request):
                self.request = event
                hosts = [value for name, value in event.headers if name == b"host"]
                if len(hosts) > 1:
                    raise CallRefusedError(400, "host: given twice")
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BODY_BYTES:
                    raise CallRefusedError(413, f"body: over {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return True

    def go_on(self) -> bytes:
        """Return the words that a caller waits for before it sends its body, if it does."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def answer(self, status: int, words: str) -> bytes:
        """Return the bytes of the answer, the last on the connection."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        body = msgspec.json.encode({"ok": status < 300, "detail": words})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if status == 405 and self.request is not None:
            headers.append(("Allow", METHODS[self.request.target.decode("latin-1").partition("?")[0]]))
        data = self.http.send(h11.Response(status_code=status, headers=headers)) or b""
        if self.request is None or self.request.method != b"HEAD":
            data += self.http.send(h11.Data(data=body)) or b""
        return data


class AdminApi:
    """Listens at one address and answers each call on its own connection."""

    def __init__(self, listener: socket.socket, operations: Operations, nursery: trio.Nursery) -> None:
        self.listener, self.operations, self.nursery = listener, operations, nursery
        self._open: dict[Link, None] = {}  # without a whole call, in order of coming

    async def run(self) -> None:
        """Accept until the listener is closed. Once all places are taken, who has held one longest goes."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                log.warning("door_accept_failed", extra=kv(reason=error))
                await trio.sleep(0.01)
            else:
                link = Link(sock, self.nursery)
                self._open[link] = None
                while len(self._open) > MAX_CONNECTIONS:
                    oldest = next(iter(self._open))
                    del self._open[oldest]
                    oldest.close()
                self.nursery.start_soon(self._serve, link)

    async def _serve(self, link: Link) -> None:
        reader = CallReader()
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                await self._call(link, reader)
        except Exception as error:  # one caller's oddity must not end the API
            log.exception("door_call_failed", extra=kv(reason=error))
        finally:
            self._open.pop(link, None)
            link.close()

    async def _call(self, link: Link, reader: CallReader) -> None:
        try:
            while data := await link.receive():
                if reader.feed(data):
                    break
                link.send(reader.go_on())
            else:
                return
            request = reader.request
            assert request is not None
            method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
            status, words = 200, decide(self.operations, method, target, bytes(reader.body))
        except CallRefusedError as error:
            status, words = error.status, str(error)
        except h11.RemoteProtocolError as error:
            status, words = (413 if error.error_status_hint == 431 else 400), str(error)
        link.send(reader.answer(status, words))
        link.finish()
        self._open.pop(link, None)
        with trio.move_on_after(LINGER_S):  # read on, so that closing does not reset the answer
            while await link.receive():
                pass
