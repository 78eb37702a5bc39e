"""Announcements of the present view and of the reachable control-plane nodes to data planes."""

from __future__ import annotations

from wickspring.common.messages import ClusterView
from wickspring.controlplane.components import Components
from wickspring.controlplane.data_plane_sessions import DataPlaneSessions, PeerSession


class ViewAnnouncer:
    """Sends the present view, the reachable nodes and the number of known data planes."""

    def __init__(self, components: Components, data_planes: DataPlaneSessions) -> None:
        self._own_ip = components.settings.ip
        self._replication = components.replication
        self._data_planes = data_planes
        self._known_data_planes = components.known_data_planes

    def reachable_nodes(self) -> list[str]:
        """Return this node and the other ones that it reaches."""
        others = [ip for ip in self._replication.peers.addresses if self._replication.peers.is_reachable(ip)]
        return [self._own_ip, *others]

    def _message(self) -> ClusterView:
        view = self._replication.chain.view
        members = [ip for ip, _ in view.chain]
        data_plane_count = self._known_data_planes.count
        return ClusterView(view.epoch, members, self.reachable_nodes(), data_plane_count)

    def send(self, session: PeerSession) -> None:
        """Announce the view to one data plane."""
        session.send(self._message())

    def broadcast(self) -> None:
        """Announce the view to all data planes."""
        self._data_planes.broadcast(self._message())
