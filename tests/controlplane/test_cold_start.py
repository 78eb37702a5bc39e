"""A start of all core machines: what is safe is known as soon as the last of them is there."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from wickspring.common import reconnecting_client
from wickspring.common.connection import PeerConnection
from wickspring.common.messages import NODE_REPLIES, NodeReply
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.messages import Prepare
from wickspring.controlplane.replication.paxos import Ballot
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.replication.view import Member, View
from wickspring.net.clock import Clock

MEMBERS = tuple(Member(ip, "disk") for ip in "abc")


def started() -> dict[str, ReplicationChain]:
    """Return the chains of three machines as a loss of all power leaves them, none with a cable yet."""
    replica = Replica()
    replica.apply(Update(7, b"seven"), 3)
    view = View(3, MEMBERS, MEMBERS)
    chains = {
        ip: ReplicationChain(Member(ip, "disk"), view, at, replica.copy()) for at, ip in enumerate("abc")
    }
    for chain in chains.values():
        chain.start(0.0)
        chain.effects.messages.clear()  # nobody is in reach yet
    return chains


def carry(chains: dict[str, ReplicationChain], up: set[tuple[str, str]]) -> None:
    """Carry what is said over the cables that are up, until nobody says more."""
    while any(chain.effects.messages for chain in chains.values()):
        for ip, chain in chains.items():
            for to, message in chain.take_effects().messages:
                if (ip, to) in up:
                    chains[to].receive(1.0, ip, message)


@pytest.mark.parametrize("seed", range(30))
def test_the_pass_goes_again_whichever_connection_comes_up_last(seed: int) -> None:
    """No tick and no resend is needed once each machine reaches the next, and is reached by it."""
    chains, up = started(), set()
    order = [("b", "a"), ("c", "b"), ("a", "b"), ("b", "c")]  # up the line first: words back are not lost
    Random(seed).shuffle(order)
    order.sort(key=lambda pair: pair[0] < pair[1])
    for here, there in order:
        up.add((here, there))
        chains[here].on_peer_reachable(there)
        carry(chains, up)
    assert all(chain.committed.config.version == 7 for chain in chains.values())


def test_nothing_is_passed_again_by_who_does_not_pass() -> None:
    chains = started()
    chains["c"].on_peer_reachable("a")
    spare = ReplicationChain(Member("d", "disk"), View(3, MEMBERS, MEMBERS), 9)
    spare.on_peer_reachable("a")
    chains["a"].receive(
        1.0, "b", Prepare(4, Ballot(1, "b"), b"")
    )  # promised: it passes nothing in this epoch
    chains["a"].effects.messages.clear()
    chains["a"].on_peer_reachable("b")
    assert not any(one.effects.messages for one in (spare, chains["c"], chains["a"]))


class SilentHandler:
    """Does nothing with a connection."""

    def on_connect(self, connection: PeerConnection) -> None:
        pass

    def on_message(self, connection: PeerConnection, message: NodeReply) -> None:
        pass

    def on_disconnect(self, client: reconnecting_client.ReconnectingClient) -> None:
        pass


@pytest.mark.parametrize("hurried", [True, False])
def test_who_has_called_is_called_back_at_once(monkeypatch: pytest.MonkeyPatch, hurried: bool) -> None:
    dialled: list[float] = []

    async def play() -> None:
        twice = trio.Event()

        async def nobody(*_: Any) -> None:
            dialled.append(trio.current_time())
            if len(dialled) == 2:
                twice.set()

        monkeypatch.setattr(reconnecting_client, "connect", nobody)
        async with trio.open_nursery() as nursery:
            caller = reconnecting_client.ReconnectingClient(
                ("10.1.0.1", 1), SilentHandler(), NODE_REPLIES, Clock(), nursery, Random(1)
            )
            nursery.start_soon(caller.run)
            if hurried:
                caller.reconnect_now()
            await twice.wait()
            caller.close()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    pause = dialled[1] - dialled[0]
    assert pause == 0.0 if hurried else 1000.0 * pause >= reconnecting_client.RECONNECT_DELAY_MS[0]
