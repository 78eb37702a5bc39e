"""One ingress in this process, between the toy site's ticket servers and small clients."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from itertools import count
from typing import Any

import h2.config
import h2.connection
import h2.events
import h11
import msgspec
import trio

from example import toy
from tests.support.policy_gateway import KIND, PLAN, make_settings
from wickspring import interface as api
from wickspring.config import Instance, Limits, ListedServer, Listing
from wickspring.net import server
from wickspring.net.http2_wire import Frames, GoAway
from wickspring.net.http2_wire import settings as http2_settings
from wickspring.net.octets import header
from wickspring.net.reload import ReadInstance
from wickspring.net.runtime import Runtime
from wickspring.net.upstream.exchange import ServerExchange
from wickspring.settings.address import parse_address
from wickspring.settings.http2_file import Http2

IDS = count(1)
KINDS = {
    "ticket-view": replace(KIND, name="ticket-view"),
    "ticket-reply": replace(KIND, name="ticket-reply", effect=api.Effect.KEYED, group=api.Group.ZONE),
    "ticket-escalate": replace(KIND, name="ticket-escalate", effect=api.Effect.UNSAFE),
}
BIG_PLAN = replace(PLAN, name="big", rate=1.0, burst=1000.0)


def answer_after(gate: trio.Event) -> toy.Behave:
    """Return the behaviour of a server that answers once a gate is open."""

    async def behave(seen: toy.Seen) -> toy.Answer:
        await gate.wait()
        return await toy.echo(seen)

    return behave


def exchange(method: str, target: str, body: bytes = b"") -> ServerExchange:
    """Make an exchange for a reader of answers alone."""
    headers = [header("X-Call-Id", "1")]
    place = ("127.0.0.1", 1)
    return ServerExchange(
        b"s",
        place,
        False,
        0.0,
        method=method,
        target=target,
        headers=headers,
        body=body,
        on_end=lambda _: None,
    )


@dataclass
class Site:
    """A running ingress and what stands around it."""

    runtime: Runtime
    http1: tuple[str, int]
    http2: tuple[str, int]
    servers: list[toy.ToyServer]
    discovery: toy.ToyDiscovery
    counter: toy.ToyCounter
    addresses: list[str]
    nursery: trio.Nursery

    async def owed_none(self) -> None:
        """Wait until nobody waits for an answer; the test's own time limit ends it otherwise."""
        while self.runtime.pending_responses or self.runtime.reducer.pending:
            await trio.sleep(0.005)

    def tally_adds_up(self) -> bool:
        """Check that every request taken has had exactly one end."""
        tally, ends = self.runtime.reducer.counters, ("served", "refused", "failed", "withdrawn", "rejected")
        return tally["taken"] == sum(tally[end] for end in ends)


async def mute(_: trio.SocketStream) -> None:
    """Take a connection and say nothing."""
    await trio.sleep_forever()


@asynccontextmanager
async def site(
    *servers: toy.ToyServer,
    speak2: tuple[str, ...] = (),
    plan: api.PlanSettings = BIG_PLAN,
    sockets: int = 1024,
    memory_mb: float = 192.0,
    reread: ReadInstance | None = None,
    known: bool = False,
    mute_discovery: bool = False,
    handover_folder: str = "",
    **changes: Any,
) -> AsyncIterator[Site]:
    """Start stand-ins and one ingress; stop them all at the end."""
    servers = servers or (toy.ToyServer("s0"), toy.ToyServer("s1"))
    discovery, counter = toy.ToyDiscovery(), toy.ToyCounter()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            addresses = [await toy.start(nursery, one.serve) for one in servers]
            for one, address in zip(servers, addresses, strict=True):
                discovery.set(one.name, address)
            listed = (
                ListedServer(one.name, at, "hall-a") for one, at in zip(servers, addresses, strict=True)
            )
            # Time-outs far above what a busy machine needs, but for the tests that are about them.
            ours = {"gateways": 1, "zones": ("hall-a",), "count_timeout": 2000.0, "dial_timeout": 2000.0}
            settings = make_settings(classes=tuple(KINDS.values()), plans=(plan,), **{**ours, **changes})
            local = ("127.0.0.1", 0)
            discovery_handler = mute if mute_discovery else discovery.serve
            places = [await toy.start(nursery, one) for one in (discovery_handler, counter.serve)]
            found, counted = (parse_address("address", place) for place in places)
            http2 = Http2(enabled=True, servers=speak2)
            limits = Limits(sockets=sockets, memory_mb=memory_mb)
            listing = Listing(servers=tuple(listed) if known else ())
            instance = Instance("n0", local, found, counted, limits, listing, settings, http2)
            instance = msgspec.structs.replace(instance, folder=handover_folder)
            up = trio.Event()
            got: list[tuple[Runtime, list[tuple[str, int]]]] = []

            def started(runtime: Runtime, places: list[tuple[str, int]]) -> None:
                got.append((runtime, places))
                up.set()

            nursery.start_soon(server.run, instance, started, reread)
            await up.wait()
            runtime, (http1, second) = got[0]
            yield Site(runtime, http1, second, list(servers), discovery, counter, addresses, nursery)
            nursery.cancel_scope.cancel()


def request(kind: str = "ticket-view", customer: int = 7, body: bytes = b"", **more: str) -> dict[str, Any]:
    """Describe one request of a client."""
    headers = {
        "x-call-id": f"{next(IDS):016x}",
        "x-call-class": kind,
        "api-plan": "big",
        "x-budget-ms": "3000",
        "api-terms": "units=1,spread=1,first=0",
    }
    if kind == "ticket-reply":
        headers["idempotency-key"] = "k" + headers["x-call-id"]
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    method = "GET" if kind == "ticket-view" else "POST"
    return {"method": method, "target": f"/api?customer={customer:016x}", "headers": headers, "body": body}


Got = tuple[int, dict[str, str], bytes]


class Client1:
    """An HTTP/1.1 client, one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.http = stream, h11.Connection(h11.CLIENT)

    async def send(self, ask: dict[str, Any]) -> None:
        """Write a request."""
        headers = [("Host", "app.svc"), *ask["headers"].items(), ("Content-Length", str(len(ask["body"])))]
        out = self.http.send(h11.Request(method=ask["method"], target=ask["target"], headers=headers)) or b""
        out += self.http.send(h11.Data(data=ask["body"])) or b""
        await self.stream.send_all(out + (self.http.send(h11.EndOfMessage()) or b""))

    async def answer(self) -> Got:
        """Read one complete response."""
        status, headers, body = 0, dict[str, str](), b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                break
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return status, headers, body

    async def ask(self, ask: dict[str, Any]) -> Got:
        """Send and read."""
        await self.send(ask)
        return await self.answer()


class Client2:
    """An HTTP/2 client with many streams."""

    def __init__(self, stream: trio.SocketStream, window: int = 65535) -> None:
        self.stream = stream
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self.http.local_settings = http2_settings(client=True, streams=0, window=window)
        self.http.initiate_connection()
        self.parts: dict[int, tuple[dict[str, str], bytearray]] = {}
        self.ended: dict[int, Got] = {}
        self.resets: dict[int, int] = {}
        self.goaways: list[int] = []
        self.frames, self.sending = Frames(), trio.Lock()
        self.credit = True  # windows are opened again as data come

    async def flush(self) -> None:
        """Write what h2 has ready."""
        async with self.sending:
            await self.stream.send_all(self.http.data_to_send())

    async def send(self, ask: dict[str, Any]) -> int:
        """Open a stream with a request on it."""
        stream = self.http.get_next_available_stream_id()
        pseudo = {":method": ask["method"], ":path": ask["target"], ":scheme": "http", ":authority": "svc"}
        self.http.send_headers(stream, [*pseudo.items(), *ask["headers"].items()], end_stream=not ask["body"])
        left = ask["body"]
        while left:
            room = min(self.http.local_flow_control_window(stream), 16384)
            part, left = left[:room], left[room:]
            if room:
                self.http.send_data(stream, part, end_stream=not left)
            else:  # only what the gateway reads opens the window again
                await self.flush()
                await self.read()
        await self.flush()
        return stream

    async def read(self) -> bool:
        """Read once; False at the end of the connection."""
        data, events = await self.stream.receive_some(65536), []
        for part in self.frames.feed(data):
            if isinstance(part, GoAway):  # h2 would take it for the end of the connection
                self.goaways.append(part.last_stream)
            else:
                events += self.http.receive_data(part)
        for event in events:
            stream = getattr(event, "stream_id", None) or 0
            if isinstance(event, h2.events.ResponseReceived):
                self.parts[stream] = {str(k): str(v) for k, v in event.headers}, bytearray()
            elif isinstance(event, h2.events.DataReceived):
                self.parts[stream][1].extend(event.data)
                if self.credit:
                    self.http.acknowledge_received_data(event.flow_controlled_length, stream)
            elif isinstance(event, h2.events.StreamEnded):
                headers, body = self.parts.pop(stream)
                assert stream not in self.ended
                self.ended[stream] = int(headers[":status"]), headers, bytes(body)
            elif isinstance(event, h2.events.StreamReset):
                self.resets[stream] = int(event.error_code)
        await self.flush()
        return bool(data)

    async def answer(self, stream: int) -> Got:
        """Read until one stream has its answer."""
        while stream not in self.ended:
            assert stream not in self.resets, f"stream {stream} was reset"
            assert await self.read(), "the connection ended"
        return self.ended[stream]

    async def ask(self, ask: dict[str, Any]) -> Got:
        """Send and read."""
        return await self.answer(await self.send(ask))


async def client1(place: tuple[str, int]) -> Client1:
    """Connect an HTTP/1.1 client."""
    return Client1(await trio.open_tcp_stream(*place))


async def client2(place: tuple[str, int], window: int = 65535) -> Client2:
    """Connect an HTTP/2 client."""
    return Client2(await trio.open_tcp_stream(*place), window)
