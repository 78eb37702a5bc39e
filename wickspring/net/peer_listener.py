"""Incoming links of peers and operators: whatever comes on one ends at most that link."""

from __future__ import annotations

import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import trio

from wickspring.logs import kv
from wickspring.net.peer_links import EXCHANGE_TIMEOUT_S, TrafficMeter
from wickspring.peer_state.messages import MAX_LINE_BYTES, PROTOCOL_VERSIONS, Message, Reply
from wickspring.tls import Certificates, dns_names
from wickspring.wire import LineStream, WireError, answer_greeting

log = logging.getLogger(__name__)

MAX_INCOMING_LINKS = 24
IDLE_TIMEOUT_S = 20.0
MAX_UNREADABLE_MESSAGES = 3  # after which a link is closed

_message_decoder = msgspec.json.Decoder(Message)

CertificateNames = tuple[str, ...] | None  # None without TLS
ReplyTo = Callable[[Message, CertificateNames], Awaitable[Reply]]


class PeerListener:
    """Serves the links that others open."""

    def __init__(
        self,
        certificates: Certificates | None,
        traffic: TrafficMeter,
        error_counts: Counter[str],
        reply_to: ReplyTo,
    ) -> None:
        self._certificates = certificates
        self._traffic = traffic
        self._error_counts = error_counts
        self._reply_to = reply_to
        self._streams: dict[trio.abc.Stream, None] = {}  # the oldest first

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept links until cancelled."""
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve_link, [listener], handler_nursery=nursery)

    async def _serve_link(self, stream: trio.SocketStream) -> None:
        self._streams[stream] = None
        while len(self._streams) > MAX_INCOMING_LINKS:
            oldest = next(iter(self._streams))
            del self._streams[oldest]
            await trio.aclose_forcefully(oldest)
        try:
            await self._answer_all(stream)
        except msgspec.DecodeError:
            self._error_counts["bad_words"] += 1
        except (WireError, OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            self._error_counts["link_ended"] += 1
        except Exception as error:  # whatever a peer sends may not end the serving
            self._error_counts["raised"] += 1
            log.exception("peer_link_failed", extra=kv(reason=error))
        finally:
            self._streams.pop(stream, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines, certificate_names = await self._secure(stream)
        with trio.move_on_after(IDLE_TIMEOUT_S):
            greeting = await answer_greeting(lines, PROTOCOL_VERSIONS)
            if greeting.error:
                self._error_counts["another_protocol"] += 1
                log.warning("peer_refused", extra=kv(reason=greeting.error))
                return
            self._traffic.record(lines)
        unreadable = 0
        while unreadable < MAX_UNREADABLE_MESSAGES:
            with trio.move_on_after(IDLE_TIMEOUT_S) as scope:
                unreadable += not await self._answer(lines, certificate_names)
            if scope.cancelled_caught:
                return

    async def _secure(self, stream: trio.SocketStream) -> tuple[LineStream, CertificateNames]:
        """Do the TLS handshake where certificates are configured."""
        if self._certificates is None:
            return LineStream(stream, MAX_LINE_BYTES), None
        tls = self._certificates.server()
        secure = trio.SSLStream(stream, tls, server_side=True, https_compatible=True)
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            await secure.do_handshake()
        return LineStream(secure, MAX_LINE_BYTES), dns_names(secure.getpeercert())

    async def _answer(self, lines: LineStream, certificate_names: CertificateNames) -> bool:
        """Answer one message; False where it could not be read."""
        out_before = lines.bytes_sent
        in_before = lines.bytes_received
        line = await lines.read()
        readable = True
        try:
            reply = await self._reply_to(_message_decoder.decode(line), certificate_names)
        except msgspec.DecodeError as error:
            readable = False
            self._error_counts["bad_words"] += 1
            reply = Reply(error=f"cannot be read: {error}")
        await lines.write(reply)
        if reply.view is None:  # operators' requests do not count as traffic between peers
            self._traffic.record(lines, out_before, in_before)
        return readable
