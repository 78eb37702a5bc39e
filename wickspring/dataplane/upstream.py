"""Exchanges with endpoints: the shared connections, and what proves that a response is the endpoint's own.

An endpoint names the attempt's id in its response and signs each success. A response without them, or one
that could be spliced from two, is not believed, and its connection is closed (`docs/design/answers.md`).
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wickspring.core.invariants import check_invariant
from wickspring.interface import Status
from wickspring.net.octets import HeaderPairs, Headers
from wickspring.net.upstream.exchange import ExchangeResult, ResponseSink, ServerExchange
from wickspring.net.upstream.http1 import Http1ServerConnection
from wickspring.net.upstream.response_reader import Response, ResponseReader

ATTEMPT_ID_HEADER = "x-attempt-id"
SIGNATURE_HEADER = "x-server-seal"  # the name is agreed with endpoints; its value is not checked here
NOT_EXECUTED_HEADER = "x-not-executed"
HOP_BY_HOP_HEADERS = frozenset(  # RFC 9110, section 7.6.1; the length is framed anew on each connection
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
MISDIRECTED_REQUEST = 421  # RFC 9110, section 15.5.20: the endpoint is not who the request names
# Statuses that a client reads as: the request has not been executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
BODILESS_STATUSES = (204, 304)
_PROTECTED_HEADERS = frozenset({ATTEMPT_ID_HEADER, SIGNATURE_HEADER})  # never options of a connection
_STATUS_LINE = re.compile(r"HTTP/[0-9.]+ [0-9]{3}")


class ConnectionDefaults(msgspec.Struct, frozen=True):
    """What the shared connections need to know of endpoints. Times are milliseconds."""

    seed: int
    dial_timeout: float = 220.0
    idle_close: float = 9000.0
    cold_capacity: float = 1.0
    cold_time: float = 1.0
    load_fields: tuple[str, ...] = ()
    streams_per_connection: int = 1


@dataclass(slots=True)
class BufferedResponse(ExchangeResult):
    """A complete response of an endpoint."""

    code: int = 0
    pairs: HeaderPairs = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The head of a response that is streamed; a length of None means that it is sent in chunks."""

    status: int
    pairs: HeaderPairs
    length: int | None


def _ignore_headers(headers: Headers) -> None:
    """Learn nothing from the headers of a response."""


def _refuse_stream(head: ResponseHead) -> ResponseSink | None:
    """Let no response through before it is complete."""


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(ServerExchange):
    """One attempt at one endpoint."""

    id: str
    on_headers: Callable[[Headers], None] = _ignore_headers  # of each buffered response
    on_stream: Callable[[ResponseHead], ResponseSink | None] = _refuse_stream  # None buffers on
    deadline_bounds_transfer: bool = (
        True  # the route's timeout, or the client's deadline where that is earlier
    )


def end_to_end_headers(pairs: HeaderPairs) -> HeaderPairs:
    """Return the headers that are meant for the other end; attempt id and signature always are.

    The names come in lower case, as both ends' connections read them.
    """
    connection_values = [value for name, value in pairs if name == "connection"]
    options = {option.strip().lower() for value in connection_values for option in value.split(",")}
    dropped = HOP_BY_HOP_HEADERS | (options - _PROTECTED_HEADERS) if options else HOP_BY_HOP_HEADERS
    return [pair for pair in pairs if pair[0] not in dropped]


def answers_attempt(reader: ResponseReader, exchange: Exchange) -> bool:
    """Return whether a head belongs to one response, and to this attempt.

    A response that was cut within a header's value, or within its reason phrase, and is followed by the next
    one, reads as one head with the status of the first and the id of the second.
    """
    pairs = reader.pairs
    if [value for name, value in pairs if name == ATTEMPT_ID_HEADER] != [exchange.id]:
        return False
    return not any(_STATUS_LINE.search(text) for text in (reader.reason, *(value for _, value in pairs)))


def is_authentic(reader: ResponseReader, exchange: Exchange) -> bool:
    """Return whether a response is the endpoint's to this attempt, as far as its head can show.

    The response itself must tell its end: one that ends with its connection looks complete wherever it is
    cut. A success must bear exactly one signature.
    """
    status = reader.code
    headers = dict(reader.pairs)
    bodiless = status in BODILESS_STATUSES or exchange.method == "HEAD"
    if not (bodiless or "content-length" in headers or "transfer-encoding" in headers):
        return False
    if not answers_attempt(reader, exchange):
        return False
    signatures = [value for name, value in reader.pairs if name == SIGNATURE_HEADER]
    if len(signatures) > 1:
        return False
    return not (200 <= status < 300) or (any(signatures) and "content-encoding" not in headers)


class EndpointResponseReader(ResponseReader):
    """Reads the responses of an endpoint."""

    def may_stream(self, status: int) -> bool:
        """Return whether a long response may be passed on as it arrives: its status is final.

        A server error may be followed by another attempt, and a status that clients read as "not executed" is
        replaced.
        """
        return 200 <= status < 500 and status not in NOT_EXECUTED_STATUSES


class UpstreamConnection(Http1ServerConnection):
    """A connection to an endpoint of the gateway."""

    _taken_before = 0  # bytes that the kernel had taken before the present exchange

    def make_reader(self) -> ResponseReader:
        """Return what reads the responses."""
        return EndpointResponseReader()

    def begin(self, exchange: ServerExchange) -> None:
        """Write the request; nothing of an earlier response may be unread."""
        check_invariant(not self.reader.http.trailing_data[0], "no bytes of an earlier response are unread")
        if self.link is not None:
            self._taken_before = self.link.bytes_sent
        super().begin(exchange)

    def may_have_run(self) -> bool:
        """Return whether the endpoint can have read a byte; one that executes by the head alone may have."""
        return self.sent and self.link is not None and self.link.bytes_sent > self._taken_before

    def read_result(self, response: Response) -> ExchangeResult:
        """Return a complete response as the endpoint's own, or close the connection it came on."""
        code, headers, body = response
        exchange = self.exchange
        if not isinstance(exchange, Exchange):  # a health probe
            return ExchangeResult(Status.OK if code == 200 else Status.ERROR, body=body)
        exchange.on_headers(headers)
        if not answers_attempt(self.reader, exchange):
            # The late response of another attempt: what comes next on this connection is not to be trusted.
            return self._reset()
        if NOT_EXECUTED_HEADER in headers or code == MISDIRECTED_REQUEST:
            return BufferedResponse(Status.FULL, body=body, code=code, pairs=self.reader.pairs)
        if not is_authentic(self.reader, exchange):
            return self._reset()
        status = Status.OK if code < 500 else Status.ERROR
        return BufferedResponse(status, body=body, code=code, pairs=self.reader.pairs)

    def _reset(self) -> ExchangeResult:
        """Close the connection, whose responses are not to be trusted."""
        self.abandon_connection()
        return ExchangeResult(Status.RESET)

    def open_sink(self, exchange: ServerExchange) -> ResponseSink | None:
        """Let a long response through once its head shows whose it is."""
        if not isinstance(exchange, Exchange):
            return None
        pairs = self.reader.pairs
        not_executed = any(name == NOT_EXECUTED_HEADER for name, _ in pairs)
        if not_executed or not is_authentic(self.reader, exchange):
            return None
        return exchange.on_stream(ResponseHead(self.reader.code, pairs, self.reader.length))
