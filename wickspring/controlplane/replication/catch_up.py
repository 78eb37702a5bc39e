"""Catch-up: bringing nodes that are behind to the installed view and to what is committed.

A node that is behind is sent a full state, or a reference to the document that it stores, never the single
updates that it missed. So the cost of catching up does not grow with the time that it was unreachable.

No I/O and no clock here; times are milliseconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wickspring.controlplane.replication.messages import CatchUpMessage, CommittedState, Fetch, InstallView
from wickspring.controlplane.replication.view import Member

if TYPE_CHECKING:
    from wickspring.controlplane.replication.chain import ReplicationChain

RESEND_STATE_MS = 400.0  # between two states sent to a node that is behind


class CatchUp:
    """Brings nodes that are behind up to date, and this node when it is behind itself."""

    def __init__(self, chain: ReplicationChain) -> None:
        self._chain = chain
        self._last_sent_at: dict[str, float] = {}  # ms, by address

    def clone_for(self, chain: ReplicationChain) -> CatchUp:
        """Return a copy that belongs to another chain."""
        other = CatchUp(chain)
        other._last_sent_at = dict(self._last_sent_at)
        return other

    def receive(self, now: float, sender: str, message: CatchUpMessage) -> None:
        """Handle a request for a full state, or the state or view that another node has sent."""
        match message:
            case Fetch():
                self.on_fetch(sender, message)
            case CommittedState():
                self.on_committed_state(message)
            case InstallView():
                self.on_install_view(now, sender, message)

    def tick(self, now: float) -> None:
        """Send the view, or what is committed, to reachable nodes that are missing it."""
        chain = self._chain
        for address, peer in chain.peers.items():
            is_behind = peer.epoch < chain.view.epoch
            is_missing = peer.is_missing(chain.committed)
            if not peer.reachable or not (is_behind or is_missing):
                continue
            if now - self._last_sent_at.get(address, -math.inf) < RESEND_STATE_MS:
                continue
            self._last_sent_at[address] = now
            if is_behind:
                self.send_view(address, peer.identity)
            if is_missing:
                chain.send(address, CommittedState(chain.committed.abbreviated_for(peer.identity)))

    def send_view(self, address: str, known_identity: bytes = b"") -> None:
        """Send a node the view, with the state it goes on from where this node has that."""
        chain = self._chain
        state = None
        if chain.replica.config.epoch == chain.view.epoch:
            state = chain.replica.abbreviated_for(known_identity)
        chain.send(address, InstallView(chain.view, state))

    def fetch(self, address: str, epoch: int) -> None:
        """Ask for the full text of a state that came as a reference."""
        chain = self._chain
        chain.send(address, Fetch(epoch, chain.replica.config.identity, chain.me.disk_id))

    def on_fetch(self, sender: str, message: Fetch) -> None:
        """Send the full state to a node that is missing the text."""
        chain = self._chain
        member = Member(sender, message.disk_id)
        chain.updates.stored_identities[member] = message.identity
        if message.epoch != chain.view.epoch:
            return
        self.send_view(sender, message.identity)
        if chain.view.successor(chain.me) == member:
            chain.on_peer_reachable(sender)

    def on_committed_state(self, message: CommittedState) -> None:
        """Merge the state that another node knows to be committed."""
        chain = self._chain
        state = message.state.completed_from(chain.replica)
        if state is None:
            return  # it is sent again, in full, once this node has reported what it stores
        chain.dirty |= chain.replica.merge(state)
        chain.record_committed(state)

    def on_install_view(self, now: float, sender: str, message: InstallView) -> None:
        """Install a newer view, or merge the state of the present one."""
        chain = self._chain
        state = None if message.state is None else message.state.completed_from(chain.replica)
        is_newer = message.view.epoch > chain.view.epoch
        if is_newer and state is None and chain.me in message.view.chain:
            self.fetch(sender, message.view.epoch)
        elif is_newer:
            chain.install(now, message.view, state)
        elif state is not None and message.view.epoch == chain.view.epoch:
            chain.dirty |= chain.replica.merge(state)
