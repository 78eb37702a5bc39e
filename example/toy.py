"""A toy site: ticket servers (HTTP/1.1 and HTTP/2), the counter and discovery, on loopback.

    python -m example.toy example/config.json

serves what that configuration names. The tests use the same classes as stand-ins.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
import h2.events
import h11
import trio
from h2.errors import ErrorCodes
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame


@dataclass
class Seen:
    """A request as a ticket server got it."""

    server: ToyServer
    connection: Http1Side | Http2Side
    stream: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("x-call-id", "")


@dataclass
class Answer:
    """What a ticket server says; `reset` is an HTTP/2 error code in place of an answer, `raw` its bytes."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    reset: int | None = None
    raw: bytes | None = None


async def echo(seen: Seen) -> Answer:
    """Serve at once, saying which server and which request it was."""
    return Answer(body=f"{seen.server.name} {seen.call_id}\n".encode())


Behave = Callable[[Seen], Awaitable[Answer]]


class ToyServer:
    """One ticket server; it speaks HTTP/2 to who begins with its preface."""

    def __init__(self, name: str, behave: Behave = echo, streams: int = 100) -> None:
        self.name, self.behave, self.streams = name, behave, streams
        self.seen: list[Seen] = []
        self.sides: list[Http1Side | Http2Side] = []
        self.window = 65535  # that it lets clients send a body into
        self.credit = True  # and opens again as a body comes

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            first = await stream.receive_some(65536)
            kind: type[Http1Side] | type[Http2Side] = Http2Side if first.startswith(b"PRI ") else Http1Side
            side = kind(self, stream)
            self.sides.append(side)
            await side.run(first)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError, H2Error):
            pass  # a peer that leaves ends its own connection and no other
        finally:
            await trio.aclose_forcefully(stream)


class Http1Side:
    """An HTTP/1.1 connection of a ticket server."""

    def __init__(self, server: ToyServer, stream: trio.SocketStream) -> None:
        self.server, self.stream = server, stream
        self.http = h11.Connection(h11.SERVER)

    async def run(self, data: bytes) -> None:
        """Serve one request after another."""
        self.http.receive_data(data)
        while True:
            request, body = None, b""
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    break
            if request is None or not isinstance(event, h11.EndOfMessage):
                return
            headers = {name.decode(): value.decode() for name, value in request.headers}
            method, target = request.method.decode(), request.target.decode()
            seen = Seen(self.server, self, 0, method, target, headers, body)
            self.server.seen.append(seen)
            answer = await self.server.behave(seen)
            if answer.reset is not None:
                return
            if answer.raw is not None:  # a spoilt answer: the connection stays open and is of no further use
                await self.stream.send_all(answer.raw)
                await trio.sleep_forever()
            lines = [*answer.headers.items(), ("Content-Length", str(len(answer.body)))]
            out = self.http.send(h11.Response(status_code=answer.status, headers=lines)) or b""
            out += self.http.send(h11.Data(data=answer.body)) or b""
            out += self.http.send(h11.EndOfMessage()) or b""
            await self.stream.send_all(out)
            if self.http.our_state is not h11.DONE:
                return
            self.http.start_next_cycle()


class Http2Side:
    """An HTTP/2 connection of a ticket server."""

    def __init__(self, server: ToyServer, stream: trio.SocketStream) -> None:
        self.server, self.stream = server, stream
        config = h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        self.http = h2.connection.H2Connection(config)
        self.open: dict[int, tuple[dict[str, str], bytearray]] = {}
        self.resets: list[int] = []
        self.sending = trio.Lock()

    async def flush(self) -> None:
        """Write what h2 has ready."""
        async with self.sending:
            await self.stream.send_all(self.http.data_to_send())

    async def goaway(self, last_stream: int) -> None:
        """Say that streams above this one are not taken, and go on with the others."""
        async with self.sending:
            await self.stream.send_all(GoAwayFrame(0, last_stream_id=last_stream).serialize())

    async def run(self, data: bytes) -> None:
        """Serve every stream in a task of its own."""
        limits = {
            SettingCodes.MAX_CONCURRENT_STREAMS: self.server.streams,
            SettingCodes.INITIAL_WINDOW_SIZE: self.server.window,
        }
        self.http.local_settings = Settings(client=False, initial_values=limits)
        self.http.initiate_connection()
        async with trio.open_nursery() as nursery:
            while data:
                for event in self.http.receive_data(data):
                    self._event(event, nursery)
                await self.flush()
                data = await self.stream.receive_some(65536)
            nursery.cancel_scope.cancel()

    def _event(self, event: h2.events.Event, nursery: trio.Nursery) -> None:
        if isinstance(event, h2.events.RequestReceived):
            headers = {str(name): str(value) for name, value in event.headers}
            self.open[event.stream_id] = headers, bytearray()
        elif isinstance(event, h2.events.DataReceived):
            self.open[event.stream_id][1].extend(event.data)
            if self.server.credit:
                self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, h2.events.StreamReset):
            self.resets.append(event.stream_id)
        elif isinstance(event, h2.events.StreamEnded):
            headers, body = self.open.pop(event.stream_id)
            method, target = headers[":method"], headers[":path"]
            seen = Seen(self.server, self, event.stream_id, method, target, headers, bytes(body))
            self.server.seen.append(seen)
            nursery.start_soon(self._answer, seen)

    async def _answer(self, seen: Seen) -> None:
        answer = await self.server.behave(seen)
        try:
            if answer.reset is not None:
                self.http.reset_stream(seen.stream, ErrorCodes(answer.reset))
            else:
                lines = [(":status", str(answer.status)), *answer.headers.items()]
                self.http.send_headers(seen.stream, lines)
                self.http.send_data(seen.stream, answer.body, end_stream=True)
            await self.flush()
        except (H2Error, trio.BrokenResourceError):
            pass  # the gateway has reset the stream, or has left


class ToyCounter:
    """The counter: names, totals, and a switch that makes it silent."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.silent = False

    def answer(self, line: str) -> str:
        """Answer one call."""
        match line.split():
            case ["ping"]:
                return "pong"
            case ["bump", name, amount, _life]:
                self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                return f"ok {self.totals[name]:.7g}"
        return "error"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        rest = b""
        async with stream:
            try:
                while data := await stream.receive_some(65536):
                    *lines, rest = (rest + data).split(b"\r\n")
                    if not self.silent:
                        answers = [self.answer(line.decode()).encode() + b"\r\n" for line in lines]
                        await stream.send_all(b"".join(answers))
            except trio.BrokenResourceError:
                return


class ToyDiscovery:
    """Discovery: the list, and watches that are told of changes."""

    def __init__(self) -> None:
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self.changed = trio.Event()
        self.news: list[bytes] = []

    def set(self, name: str, address: str, state: str = "up", **more: Any) -> None:
        """Add or change a server; all watches are told."""
        entry = {"id": name, "addr": address, "zone": "hall-a", "cell": 0, "state": state, "weight": 1.0}
        self.servers[name] = {**entry, "started_ms": 0, **more}
        self.version += 1
        self.news.append(self._line(False, [self.servers[name]]))
        self.changed.set()
        self.changed = trio.Event()

    def _line(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode() + b"\n"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one watch: the full list to who is behind, then each change, an empty line every 2 s."""
        async with stream:
            try:
                ask = await stream.receive_some(65536)
                since = int(ask.partition(b"since=")[2].split()[0])
                await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                told = len(self.news)
                line = self._line(True, list(self.servers.values())) if since < self.version else b"\n"
                while True:
                    await stream.send_all(b"%x\r\n%s\r\n" % (len(line), line))
                    if told == len(self.news):
                        with trio.move_on_after(2):
                            await self.changed.wait()
                    line = b"".join(self.news[told:]) or b"\n"
                    told = len(self.news)
            except trio.BrokenResourceError:
                return


Serve = Callable[[trio.SocketStream], Awaitable[None]]


async def start(nursery: trio.Nursery, serve: Serve, port: int = 0) -> str:
    """Listen on loopback; return the address."""
    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


async def main(path: Path) -> None:
    """Serve what a configuration names: its counter, its discovery and its known ticket servers."""
    config = json.loads(path.read_text())
    discovery, counter = ToyDiscovery(), ToyCounter()
    async with trio.open_nursery() as nursery:
        for entry in config["known"]["servers"]:
            port = int(entry["addr"].rpartition(":")[2])
            address = await start(nursery, ToyServer(entry["id"]).serve, port)
            discovery.set(entry["id"], address, zone=entry["zone"])
        await start(nursery, counter.serve, int(config["counter"].rpartition(":")[2]))
        await start(nursery, discovery.serve, int(config["discovery"].rpartition(":")[2]))
        print("toy site up; stop with Ctrl-C", flush=True)
        await trio.sleep_forever()


if __name__ == "__main__":
    try:
        trio.run(main, Path(sys.argv[1]))
    except KeyboardInterrupt:
        sys.exit(130)
