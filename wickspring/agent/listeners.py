"""The sockets of an agent: TCP for agents and operators, a local socket for its owner, and notifications."""

from __future__ import annotations

import logging
import socket
from functools import partial

import trio

from wickspring.agent import control, wire
from wickspring.agent.context import AgentContext
from wickspring.agent.local_instances import LocalInstances
from wickspring.agent.message_handler import MessageHandler
from wickspring.agent.notifications import parse_notification
from wickspring.agent.tls import identify_peer
from wickspring.agent.wire import Peer
from wickspring.fault_isolation import FaultStep, isolate_faults
from wickspring.logs import kv
from wickspring.settings.address import parse_address
from wickspring.tls import Certificates

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_NOTIFICATION = 4096  # bytes

LOOPBACK_PEER = Peer("agent", agent=True, role="operate")  # without TLS, agents listen on loopback alone
LOCAL_PEER = Peer("", role="operate")  # only the owner may open the local socket


class ListenError(Exception):
    """A socket that could not be opened; the message says why."""


class AgentListeners:
    """Accepts connections and notifications, and passes on what arrives."""

    def __init__(
        self,
        context: AgentContext,
        certificates: Certificates | None,
        handler: MessageHandler,
        instances: LocalInstances,
    ) -> None:
        self.context = context
        self.certificates = certificates
        self.handler = handler
        self.instances = instances
        self._tcp: list[trio.SocketListener] = []
        self._local: trio.SocketListener | None = None

    async def open(self) -> None:
        """Listen on TCP and on the local socket.

        Raises:
            ConfigError: the agent's address cannot be read.
            ListenError: a socket could not be opened.
        """
        host, port = parse_address("address", self.context.agent.address)
        try:
            self._tcp = await trio.open_tcp_listeners(port, host=host)
            self._local = control.open_socket(self.context.local_socket)
        except (OSError, control.ControlError) as error:
            raise ListenError(str(error)) from error

    def start(self, nursery: trio.Nursery) -> None:
        """Serve the sockets in a nursery; `open` has been called."""
        assert self._local is not None
        nursery.start_soon(self.receive_notifications)
        nursery.start_soon(partial(trio.serve_listeners, self.serve_tcp, self._tcp))
        nursery.start_soon(partial(trio.serve_listeners, self._serve_local, [self._local]))

    def close(self) -> None:
        """Remove the local socket's file."""
        self.context.local_socket.unlink(missing_ok=True)

    async def receive_notifications(self) -> None:
        """Receive what instances report of themselves, until cancelled."""
        path = self.context.notify_socket
        path.unlink(missing_ok=True)
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
            await sock.bind(str(path))
            while True:
                data = await sock.recv(MAX_NOTIFICATION)
                with isolate_faults(FaultStep.DATAGRAM):
                    self.instances.receive_notification(parse_notification(data))

    async def serve_tcp(self, stream: trio.SocketStream) -> None:
        """Serve one connection of an agent or operator, known by its certificate."""
        try:
            if self.certificates is None:
                await wire.serve(stream, LOOPBACK_PEER, self.handler.handle)
            else:
                await self._serve_tls(stream, self.certificates)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log.info("refused", extra=kv(reason=error.__cause__ or error))
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_tls(self, stream: trio.SocketStream, certificates: Certificates) -> None:
        secure = trio.SSLStream(stream, certificates.server(), server_side=True, https_compatible=True)
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S) as scope:
            await secure.do_handshake()
        if scope.cancelled_caught:
            return
        certificate = secure.getpeercert()
        peer = identify_peer(self.context.fleet, certificate)
        if peer is None:
            log.warning("stranger", extra=kv(certificate=certificate))
            return
        await wire.serve(secure, peer, self.handler.handle)

    async def _serve_local(self, stream: trio.SocketStream) -> None:
        async with stream:
            await wire.serve(stream, LOCAL_PEER, self.handler.handle)
