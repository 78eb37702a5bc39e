"""Exchanges with servers: the shared connections, and what an answer must show to be the server's own."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wickspring.core.invariants import holds
from wickspring.interface import Status
from wickspring.net.upstream.carrier import Job, Reply, Sink
from wickspring.net.upstream.http1 import AnswerReader, Http1Link

HOP = frozenset(
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
ID, SEAL, NOT_RUN = "x-attempt-id", "x-server-seal", "x-not-executed"
_STATUS_LINE = re.compile(r"HTTP/[0-9.]+ [0-9]{3}")


class ConnectionDefaults(msgspec.Struct, frozen=True):
    """What the shared connections need to know of servers; milliseconds."""

    seed: int
    dial_timeout: float = 220.0
    idle_close: float = 9000.0
    cold_capacity: float = 1.0
    cold_time: float = 1.0
    load_fields: tuple[str, ...] = ()
    streams_per_connection: int = 1


@dataclass(slots=True)
class BufferedResponse(Reply):
    """A server's answer, whole."""

    code: int = 0
    pairs: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False, kw_only=True)
class Exchange(Job):
    """One try at one server."""

    id: str
    heard: Callable[[dict[str, str]], None] = lambda _: None  # of each answer's headers
    flowing: Callable[[int, list[tuple[str, str]], int | None], Sink | None] = lambda *_: None


def end_to_end_headers(pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are not of a single connection, nor named so by it; id and seal always stay."""
    values = [value for name, value in pairs if name.lower() == "connection"]
    named = {word.strip().lower() for value in values for word in value.split(",")} - {ID, SEAL}
    return [(k, v) for k, v in pairs if k.lower() not in HOP and k.lower() not in named]


def is_for(reader: AnswerReader, passage: Exchange) -> bool:
    """Tell whether an answer's head is one, and of the answer to this request.

    An answer that was cut within a header's value, or within the words beside its status, and is followed by
    the next one, reads as one head with the status of the first and the id of the second.
    """
    pairs = reader.pairs
    if [value for name, value in pairs if name == ID] != [passage.id]:
        return False
    return not any(_STATUS_LINE.search(text) for text in (reader.reason, *(value for _, value in pairs)))


def is_own(reader: AnswerReader, passage: Exchange) -> bool:
    """Tell whether an answer is the server's to this request, as far as its head can show.

    The answer itself must tell its end: one that ends with its connection looks whole wherever it is cut.
    """
    code, headers = reader.code, dict(reader.pairs)
    bodiless = code in (204, 304) or passage.method == "HEAD"
    if not (bodiless or "content-length" in headers or "transfer-encoding" in headers):
        return False
    if not is_for(reader, passage):
        return False
    seals = [value for name, value in reader.pairs if name == SEAL]
    if len(seals) > 1:
        return False
    return not (200 <= code < 300) or (any(seals) and "content-encoding" not in headers)


class UpstreamConnection(Http1Link):
    """A connection to a server of the gateway."""

    _before = 0  # bytes that the kernel had taken before the present job

    def begin(self, job: Job) -> None:
        """Write the job; nothing is left over of what came before."""
        holds(not self.reader.http.trailing_data[0], "no bytes are left over for the next request")
        if self.link is not None:
            self._before = self.link.taken
        super().begin(job)

    def written(self) -> bool:
        """Tell whether the server can have read a byte: one that runs by the head alone may have run."""
        return self.sent and self.link is not None and self.link.taken > self._before

    def read(self, answer: tuple[int, dict[str, str], bytes]) -> Reply:
        """Take a whole answer for the server's, or its connection for spoilt."""
        code, headers, body = answer
        passage = self.job
        if not isinstance(passage, Exchange):  # a probe
            return Reply(Status.OK if code == 200 else Status.ERROR, body=body)
        passage.heard(headers)
        if not is_for(self.reader, passage):
            # Another request's answer, late: what comes next on this connection is not to be trusted.
            self._spoilt()
            return Reply(Status.RESET)
        if NOT_RUN in headers or code == 421:
            return BufferedResponse(Status.FULL, body=body, code=code, pairs=self.reader.pairs)
        if not is_own(self.reader, passage):
            self._spoilt()
            return Reply(Status.RESET)
        status = Status.OK if code < 500 else Status.ERROR
        return BufferedResponse(status, body=body, code=code, pairs=self.reader.pairs)

    def _spoilt(self) -> None:
        self.closed = True
        self.upstream.room(self.conn, 0)
        if self.link is not None:
            self.link.close()

    def begins(self, job: Job) -> Sink | None:
        """Let a long answer through once its head shows whose it is."""
        if not isinstance(job, Exchange):
            return None
        pairs = self.reader.pairs
        if any(name == NOT_RUN for name, _ in pairs) or not is_own(self.reader, job):
            return None
        return job.flowing(self.reader.code, pairs, self.reader.length)
