"""Header fields pass a data plane octet by octet, in both directions, and names are sent as UTF-8."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX
from wickspring.lab.simulation.request_path.memory_connection import PeerEnd
from wickspring.lab.simulation.request_path.simulation import Simulation

Fields = list[tuple[bytes, bytes]]
# What RFC 9110, section 5.5 allows; blanks stand inside only.
VISIBLE = st.integers(0x21, 0xFF).filter(lambda octet: octet != 0x7F)
VALUES = st.lists(VISIBLE, min_size=1, max_size=12).map(bytes)


class EchoServer:
    """A server that answers each request at once, and keeps the fields of the requests."""

    def __init__(self, answer_fields: Fields, body: bytes, chunked: bool) -> None:
        self.answer_fields = answer_fields
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
        data = http.send(h11.Response(status_code=200, headers=fields)) or b""
        data += http.send(h11.Data(data=self.body)) or b""
        return data + (http.send(h11.EndOfMessage()) or b"")


class Exchange(Simulation):
    """One client that sends one request, among servers that echo."""

    def __init__(
        self,
        request_fields: Fields = (),  # type: ignore[assignment]
        answer_fields: Fields = (),  # type: ignore[assignment]
        prefix: str = PURE_PREFIX,
        answer: tuple[bytes, bool] = (b"whole", False),
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


@pytest.mark.parametrize("prefix", [PURE_PREFIX, EFFECTFUL_PREFIX])
@pytest.mark.parametrize("value", [b"Jos\xe9", "São".encode(), b"\x80", b"a\xff b"])
def test_octets_of_a_requests_header_reach_the_server(prefix: str, value: bytes) -> None:
    """Guards against a request that cannot be written since a header has an octet from 0x80 on."""
    exchange = Exchange([(b"X-User", value)], prefix=prefix)
    assert exchange.play().status_code == 200
    assert [request[b"x-user"] for request in exchange.server.requests] == [value]


def name_tenant(name: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        document["tenants"][0]["name"] = name

    return change


@pytest.mark.parametrize(
    ("name", "seen"),
    [
        ("Tintas São João", "Tintas São João".encode()),
        ("東京 塗料", "東京 塗料".encode()),
        # Names that a configuration may have from before they were refused.
        ("Tintas do Porto ", b"Tintas%20do%20Porto%20"),
        ("a\nb", b"a%0Ab"),
    ],
)
def test_a_tenants_name_reaches_the_server_whatever_its_characters(name: str, seen: bytes) -> None:
    """Guards against a tenant whose requests cannot be written, which ended whole data planes."""
    exchange = Exchange(change=name_tenant(name))
    assert exchange.play().status_code == 200
    assert [request[b"x-tenant"] for request in exchange.server.requests] == [seen]


@settings(max_examples=60, deadline=None)
@given(VALUES, VALUES)
def test_any_field_value_passes_in_both_directions(sent: bytes, answered: bytes) -> None:
    """Guards against any octet that a header may have and that one direction does not pass on."""
    exchange = Exchange([(b"X-Sent", sent)], [(b"X-Answered", answered)])
    response = exchange.play()
    assert response.status_code == 200
    assert exchange.server.requests[-1][b"x-sent"] == sent
    assert dict(response.headers)[b"x-answered"] == answered
