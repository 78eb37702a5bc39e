"""One request through a simulated data plane to servers that echo, with fields of the test's choice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import msgspec
import trio

from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation

Fields = list[tuple[bytes, bytes]]


class EchoServer:
    """A server that answers each request at once, and keeps the fields of the requests."""

    def __init__(self, answer_fields: Fields, body: bytes, chunked: bool, status: int = 200) -> None:
        self.answer_fields = answer_fields
        self.status = status
        self.body = body
        self.chunked = chunked
        self.requests: list[dict[bytes, bytes]] = []

    async def serve(self, end: PeerEnd) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if not end.received and not await end.wait_for_more():
                    return
                http.receive_data(await end.read(len(end.received)))
            elif isinstance(event, h11.Request):
                self.requests.append(dict(event.headers))
            elif isinstance(event, h11.EndOfMessage):
                end.send(self._answer(http))
                http.start_next_cycle()

    def _answer(self, http: h11.Connection) -> bytes:
        length = b"%d" % len(self.body)
        framing = (b"Transfer-Encoding", b"chunked") if self.chunked else (b"Content-Length", length)
        attempt_id = self.requests[-1][b"x-attempt-id"]
        fields = [(b"X-Attempt-Id", attempt_id), (b"X-Server-Seal", b"1"), framing, *self.answer_fields]
        data = http.send(h11.Response(status_code=self.status, headers=fields)) or b""
        data += http.send(h11.Data(data=self.body)) or b""
        return data + (http.send(h11.EndOfMessage()) or b"")


def route_timeout(timeout_s: float) -> Callable[[dict[str, Any]], None]:
    """Return a change of a configuration that gives all routes a timeout."""

    def change(document: dict[str, Any]) -> None:
        for socket in document["sockets"]:
            for rule in socket["policy"]:
                rule["effect"]["timeout_s"] = timeout_s

    return change


class Exchange(Simulation):
    """One client that sends one request, among servers that echo."""

    def __init__(
        self,
        request_fields: Fields = (),  # type: ignore[assignment]
        answer_fields: Fields = (),  # type: ignore[assignment]
        prefix: str = PURE_PREFIX,
        answer: tuple[bytes, bool, int] = (b"whole", False, 200),
        change: Callable[[dict[str, Any]], None] = lambda _: None,
    ) -> None:
        super().__init__(1, fault_share=0.0, client_count=1)
        self.server = EchoServer(list(answer_fields), *answer)
        self.faulty_servers = dict.fromkeys(self.faulty_servers, self.server)  # type: ignore[arg-type]
        self.request_fields = list(request_fields)
        self.prefix, self.change = prefix, change
        self.response: h11.Response | None = None
        self.body = b""

    def _config(self) -> bytes:
        document = msgspec.json.decode(super()._config())
        self.change(document)
        return msgspec.json.encode(document)

    async def client(self, number: int) -> None:
        end = self.connect_client()
        http = h11.Connection(h11.CLIENT)
        fields = [
            (b"Host", HOST.encode()),
            (b"X-Key", API_KEY.encode()),
            (b"X-Attempt-Id", b"a1"),
            *self.request_fields,
        ]
        keys = {name.lower(): (name, value) for name, value in fields}
        request = h11.Request(method="GET", target=f"{self.prefix}x", headers=list(keys.values()))
        end.send((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        with trio.fail_after(20.0):
            await self._read(http, end)

    async def _read(self, http: h11.Connection, end: PeerEnd) -> None:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                assert end.received or await end.wait_for_more(), "the connection ended"
                http.receive_data(await end.read(len(end.received)))
            elif isinstance(event, h11.Response):
                self.response = event
            elif isinstance(event, h11.Data):
                self.body += bytes(event.data)
            else:
                return

    def play(self) -> h11.Response:
        self.run()
        assert self.response is not None
        return self.response
