"""Who a certificate speaks for in a fleet: an agent, or an operator."""

from __future__ import annotations

from wickspring.agent.wire import Peer
from wickspring.fleet.file import Fleet
from wickspring.tls import dns_names


def identify_peer(fleet: Fleet, certificate: dict[str, object] | None) -> Peer | None:
    """Return who a certificate speaks for: an agent of the fleet, an operator, or nobody."""
    agents = {one.name for one in fleet.file.agent}
    roles = {one.name: one.role for one in fleet.file.operator}
    for name in dns_names(certificate):
        if name in agents:
            return Peer(name, agent=True, role="operate")
        if name in roles:
            return Peer(name, role=roles[name])
    return None
