"""Connections that data planes and other control-plane nodes open to this node."""

from __future__ import annotations

from wickspring.common.connection import PeerConnection
from wickspring.common.messages import DATA_PLANE_REQUESTS, NODE_REQUESTS, Hello, WireMessage
from wickspring.controlplane.data_plane_messages import DataPlaneMessageHandler
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.replication.node import ReplicationNode


class PeerServer:
    """Reads the messages of each connection, and hands them on by the role of the peer."""

    def __init__(self, replication: ReplicationNode, data_plane_messages: DataPlaneMessageHandler) -> None:
        self._replication = replication
        self._data_plane_messages = data_plane_messages

    async def serve(self, connection: PeerConnection) -> None:
        """Serve one connection until it ends."""
        session = PeerSession(connection)
        try:
            await connection.read_wire_messages(lambda message: self.receive(session, message))
        finally:
            self._data_plane_messages.disconnected(session)
            connection.close()

    def receive(self, session: PeerSession, wire_message: WireMessage) -> None:
        """Handle one message; those with unknown names are ignored.

        A peer counts as a data plane until its `Hello` says that it is a node. Raises one of `DECODE_ERRORS`
        where the message is malformed.
        """
        if session.is_control_plane_node:
            self._receive_from_node(session, wire_message)
            return
        message = DATA_PLANE_REQUESTS.decode(wire_message)
        if isinstance(message, Hello):
            self._on_hello(session, message)
        elif message is not None:
            self._data_plane_messages.receive(session, message)

    def _receive_from_node(self, session: PeerSession, wire_message: WireMessage) -> None:
        message = NODE_REQUESTS.decode(wire_message)
        if message is not None:
            self._replication.on_message(session.connection, message)

    def _on_hello(self, session: PeerSession, hello: Hello) -> None:
        session.connection.peer_address = hello.ip
        if hello.is_node:
            session.is_control_plane_node = True
            self._replication.peers.on_incoming_connection(session.name)
        else:
            self._data_plane_messages.connected(session, hello)
