"""Connections that data planes and other control-plane nodes open to this node."""

from __future__ import annotations

from wickspring.common.connection import Message, PeerConnection
from wickspring.common.settings_file import parse_ip
from wickspring.controlplane.data_plane_messages import DataPlaneMessageHandler
from wickspring.controlplane.data_plane_sessions import PeerSession, ReportedConfig
from wickspring.controlplane.replication.node import ReplicationNode

NODE_ROLE = "core"  # of a control-plane node in its "hello"; any other is a data plane


class PeerServer:
    """Reads the messages of each connection, and hands them on by the role of the peer."""

    def __init__(self, replication: ReplicationNode, data_plane_messages: DataPlaneMessageHandler) -> None:
        self._replication = replication
        self._data_plane_messages = data_plane_messages

    async def serve(self, connection: PeerConnection) -> None:
        """Serve one connection until it ends."""
        session = PeerSession(connection)
        try:
            await connection.read(lambda _, message: self.receive(session, message))
        finally:
            self._data_plane_messages.disconnected(session)
            connection.close()

    def receive(self, session: PeerSession, message: Message) -> None:
        """Handle one message; raises one of `DECODE_ERRORS` where it is malformed."""
        if message[0] == "hello":
            self._on_hello(session, message)
        elif session.is_control_plane_node:
            self._replication.take(session.connection, message)
        else:
            self._data_plane_messages.receive(session, message)

    def _on_hello(self, session: PeerSession, message: Message) -> None:
        _, role, ip, properties, *_ = message
        session.connection.name = parse_ip(ip)
        if role == NODE_ROLE:
            session.is_control_plane_node = True
            self._replication.called(session.name)
            return
        reported = ReportedConfig(int(properties.get("version", 0)), bytes(properties.get("digest", b"")))
        self._data_plane_messages.connected(session, reported)
