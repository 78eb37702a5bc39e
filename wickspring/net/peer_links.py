"""Outgoing links to peers: one exchange at a time to each address, on links that are kept while of use."""

from __future__ import annotations

import logging
from collections import Counter

import msgspec
import trio

from wickspring.connections.dial_limits import TokenBucket
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.peer_state.messages import MAX_LINE_BYTES, PROTOCOL_VERSIONS, Message, Reply
from wickspring.tls import Certificates, dns_names
from wickspring.wire import LineClient, LineStream, WireError, connect

log = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_S = 0.8  # for one exchange, connecting included
MAX_KEPT_LINKS = 8
BURST_S = 8.0  # of the bytes a second that may be sent at once
LINK_ERRORS = (
    WireError,
    OSError,
    msgspec.DecodeError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_reply_decoder = msgspec.json.Decoder(Reply)


class TrafficMeter:
    """Bytes of all links either way, and the limit on those sent."""

    def __init__(self, clock: Clock, bytes_per_s: float) -> None:
        self.bytes_out = 0
        self.bytes_in = 0
        self._clock = clock
        self._bucket = TokenBucket(bytes_per_s)
        self._bucket.burst = BURST_S * bytes_per_s
        self._bucket.level = self._bucket.burst

    def has_bytes_left(self) -> bool:
        """Tell whether a message may be sent now."""
        return self._bucket.has_token(self._clock.now())

    def record(self, lines: LineStream, out_before: int = 0, in_before: int = 0) -> None:
        """Add what a link has transferred since its counters had the given values."""
        sent = lines.bytes_sent - out_before
        self.bytes_out += sent
        self.bytes_in += lines.bytes_received - in_before
        self._bucket.has_token(self._clock.now())  # refills it up to now
        self._bucket.level = max(-self._bucket.burst, self._bucket.level - sent)


class PeerLinks:
    """The links that this data plane has opened, by address."""

    def __init__(
        self, certificates: Certificates | None, traffic: TrafficMeter, error_counts: Counter[str]
    ) -> None:
        self._certificates = certificates
        self._traffic = traffic
        self._error_counts = error_counts
        self._links: dict[str, LineClient] = {}  # the last used at the end
        self._busy: set[str] = set()  # addresses to which an exchange is under way

    def is_busy(self, address: str) -> bool:
        """Tell whether an exchange to an address is under way."""
        return address in self._busy

    async def exchange(self, name: str, address: str, message: Message) -> Reply | None:
        """Send a message and return the reply; None where there is none, or another exchange is under way.

        `name` is the expected peer's; empty for a seed.
        """
        if not address or address in self._busy:
            return None
        self._busy.add(address)
        try:
            with trio.move_on_after(EXCHANGE_TIMEOUT_S):
                return await self._exchange_or_retry(name, address, message)
            self._error_counts["no_answer"] += 1
            return None
        finally:
            self._busy.discard(address)

    async def _exchange_or_retry(self, name: str, address: str, message: Message) -> Reply | None:
        """Use the kept link; it may have been closed at the other side, so a new one is tried after it."""
        kept = self._links.pop(address, None)
        if kept is not None:
            try:
                return await self._exchange_on(kept, name, address, message)
            except LINK_ERRORS:
                pass  # retried below
        try:
            link = await self._connect(name, address)
            return await self._exchange_on(link, name, address, message)
        except LINK_ERRORS:
            self._error_counts["link_broke"] += 1
            return None

    async def _exchange_on(self, link: LineClient, name: str, address: str, message: Message) -> Reply:
        """Make an exchange on a link and keep the link; one that fails is closed."""
        try:
            reply = await self._ask(link, message)
            self._links[address] = link
            await self._close_oldest()
        except BaseException:
            with trio.CancelScope(shield=True):
                await link.close()
            raise
        if reply.error:
            self._error_counts["refused"] += 1
            log.info("peer_refuses", extra=kv(name=name or address, reason=reply.error))
        return reply

    async def _connect(self, name: str, address: str) -> LineClient:
        tls = self._certificates.client() if self._certificates is not None else None
        if tls is not None:
            tls.check_hostname = False  # a seed has no name yet; the name is checked below
        link = await connect(address, name or address, PROTOCOL_VERSIONS, tls, name, MAX_LINE_BYTES)
        self._traffic.record(link.lines)
        if tls is not None and name and name not in dns_names(link.lines.stream.getpeercert()):
            await link.close()
            raise WireError(f"{name}: the certificate at {address} does not name it")
        return link

    async def _ask(self, link: LineClient, message: Message) -> Reply:
        out_before = link.lines.bytes_sent
        in_before = link.lines.bytes_received
        try:
            return await link.exchange(message, _reply_decoder)
        finally:
            self._traffic.record(link.lines, out_before, in_before)

    async def _close_oldest(self) -> None:
        while len(self._links) > MAX_KEPT_LINKS:
            link = self._links.pop(next(iter(self._links)))
            await link.close()
