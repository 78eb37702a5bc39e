"""HTTP/1.1 to a server: one connection, one exchange at a time (no pipelining; RFC 9112, section 9.3.2)."""

from __future__ import annotations

import math
from functools import partial

import h11
import trio

from wickspring.connections.model import ClosedBy, PooledConnection
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.interface import Status
from wickspring.net.body_stream import BodyStream
from wickspring.net.link import Link
from wickspring.net.upstream.exchange import ExchangeResult, FailedExchange, ResponseSink, ServerExchange
from wickspring.net.upstream.manager import LostExchange, UpstreamManager, finish_lost
from wickspring.net.upstream.response_reader import Response, ResponseReader
from wickspring.net.upstream.responses import read_result

STALL_S = 15.0  # for a peer that moves no byte of a transfer; slow ones take seconds


def _stall_s(exchange: ServerExchange) -> float:
    """Return for how long a side may move no byte of a transfer; the deadline may be the only bound."""
    return math.inf if exchange.deadline_bounds_transfer else STALL_S


class Http1ServerConnection:
    """A connection in the pool."""

    def __init__(self, upstream: UpstreamManager, connection: PooledConnection) -> None:
        self.upstream = upstream
        self.connection = connection
        self.exchange: ServerExchange | None = None
        self.link: Link | None = None
        self.reader = self.make_reader()
        self.closed = False
        self.sent = False  # bytes of the present request have been written
        self._request_complete = False  # its last byte has been handed to the link
        self._sink: ResponseSink | None = None  # where the streamed response goes that has begun
        self._has_received = False  # bytes have arrived since the present exchange began

    def make_reader(self) -> ResponseReader:
        """Return what reads the responses."""
        return ResponseReader()

    def is_stale(self) -> bool:
        """Tell whether the peer has closed the connection, or has sent something unasked."""
        return self.link is None or self.link.peek() is not None

    def has_received(self, exchange: ServerExchange) -> bool:
        """Tell whether any byte has arrived since the exchange began."""
        return self.exchange is exchange and self._has_received

    # The request.

    def begin(self, exchange: ServerExchange) -> None:
        """Write the request of an exchange."""
        self.exchange, self._has_received = exchange, False
        if self.link is None:
            self.close()
        elif exchange.new_work and not self.upstream.accepts_work(self.connection.server):
            # The server was told to drain while the connection was being dialed: nothing new may go there.
            self._end(ExchangeResult(Status.CONNECT_FAILED))
        else:
            self._send(exchange, self.link)

    def _send(self, exchange: ServerExchange, link: Link) -> None:
        self.sent = True
        self._request_complete = exchange.body_stream is None
        link.send(self.reader.encode_request(exchange))
        if link.broken:
            self.close(ClosedBy.PEER)
        elif exchange.body_stream is not None:
            self.upstream.nursery.start_soon(self._upload, exchange, exchange.body_stream, link)

    async def _upload(self, exchange: ServerExchange, body_stream: BodyStream, link: Link) -> None:
        """Write the rest of a long body; a fault of this program ends its exchange alone."""
        with isolate_faults(FaultStep.UPLOAD, partial(self.fail, exchange)):
            await self._write_body(exchange, body_stream, link)

    async def _write_body(self, exchange: ServerExchange, body_stream: BodyStream, link: Link) -> None:
        """Write the rest of a long body as it arrives and as the server reads it."""
        while True:
            with trio.move_on_after(_stall_s(exchange)) as stalled:
                await link.wait_writable()
            if stalled.cancelled_caught and self.exchange is exchange:
                self.close(ClosedBy.PEER)
            more = not link.broken and await body_stream.wait_readable()
            if self.exchange is not exchange or link.broken or body_stream.closed:
                return  # answered, given up or broken meanwhile; whoever did so has seen to the rest
            if more:
                if not exchange.may_stream_body():
                    return
                link.send(self.reader.encode_body(body_stream.read_available()))
            elif body_stream.ended:
                link.send(self.reader.encode_end())
                self._request_complete = True
                exchange.on_body_sent()
                return

    # The response.

    async def run(self) -> None:
        """Dial, then read responses until either side closes the connection."""
        self.link = link = await self.upstream.connect(self.connection)
        if link is None:
            self.closed = True
            return
        self.upstream.dial_succeeded(self.connection, 1)
        while not self.closed:
            data: bytes | None = None
            with trio.move_on_after(self._silence_s()):
                data = await link.receive()
            if data is None or self.exchange is None:
                break  # broken, or something sent unasked, a close most of all
            self._has_received |= bool(data)
            try:
                response = self.reader.receive(data)
            except h11.RemoteProtocolError:
                break
            if self.reader.streamed and self.reader.has_body_bytes and not await self._stream(self.exchange):
                break
            if response is not None:
                self._on_response(response)
            elif not data:
                break
        self.close(ClosedBy.PEER)

    def _silence_s(self) -> float:
        """Return for how long the server may send nothing."""
        if self.exchange is None or self._sink is None:
            return math.inf
        return _stall_s(self.exchange)

    async def _stream(self, exchange: ServerExchange) -> bool:
        """Pass on what has arrived of a streamed response; False where nobody wants it any more."""
        if self._sink is None:
            if not exchange.deadline_bounds_transfer:
                exchange.cancel_deadline()
            self._sink = self.open_sink(exchange)
        if self._sink is None or self.exchange is not exchange:
            return False
        self._sink.write_body(self.reader.take_body())
        with trio.move_on_after(_stall_s(exchange)):
            return await self._sink.wait_writable() and self.exchange is exchange
        return False

    def open_sink(self, exchange: ServerExchange) -> ResponseSink | None:
        """Return where a streamed response goes; None where nobody takes it."""
        return exchange.open_sink(self.reader.length)

    def _on_response(self, response: Response) -> None:
        # A response before the request is out (a server that turns work away early) leaves the
        # connection in no state to be used again.
        if not (self.link is not None and self.link.flushed and self.reader.start_next()):
            self.abandon_connection()
        self.reader.streamed = False
        self._end(self.read_result(response))

    def abandon_connection(self) -> None:
        """Close the connection, and let the pools give it no further exchange."""
        self.closed = True
        self.upstream.capacity_changed(self.connection, 0)
        if self.link is not None:
            self.link.close()

    def read_result(self, response: Response) -> ExchangeResult:
        """Return what a complete response means."""
        return read_result(*response, self.upstream.settings.load_fields)

    # Ends.

    def _end(self, result: ExchangeResult) -> None:
        exchange, self.exchange = self.exchange, None
        self.sent, self._sink = False, None
        if exchange is not None:
            self._finish(exchange, result)

    def _finish(self, exchange: ServerExchange, result: ExchangeResult) -> None:
        """End an exchange on a connection that goes on; after a fault in that the connection is closed."""

        def close_after_fault() -> None:
            exchange.finish(result)
            self.close()

        with isolate_faults(FaultStep.SERVER_CONNECTION, close_after_fault):
            self.upstream.finish(exchange, result)

    def cancel(self, exchange: ServerExchange) -> None:
        """Give up an exchange, which closes the connection once its request is written."""
        if self.exchange is exchange:
            self.exchange = None
            self.close()

    def fail(self, exchange: ServerExchange) -> None:
        """End an exchange that a fault of this program has stopped, with its connection."""
        may_have_run = self.may_have_run()
        try:
            self.cancel(exchange)
        finally:
            exchange.finish(FailedExchange(Status.RESET if may_have_run else Status.MOOT))

    def fail_all(self) -> None:
        """End the present exchange, if any, after a fault in closing the connection."""
        if self.exchange is not None:
            self.fail(self.exchange)

    def may_have_run(self) -> bool:
        """Tell whether the server may have run the present request: its last byte was written."""
        return self.sent and self._request_complete and self.link is not None and self.link.flushed

    def close(self, closed_by: ClosedBy = ClosedBy.LOCAL) -> None:
        """Close; the exchange ends by what was written of it."""
        may_have_run = self.may_have_run()
        self.closed, self.sent = True, False
        if self.link is not None:
            self.link.close()
        exchange, self.exchange = self.exchange, None
        lost = []
        if exchange is not None:
            result = ExchangeResult(Status.RESET if may_have_run else Status.CONNECT_FAILED)
            lost.append(LostExchange(exchange, result, self._has_received))
        try:
            self.upstream.connection_closed(self.connection, closed_by, lost)
        finally:
            finish_lost(lost)
