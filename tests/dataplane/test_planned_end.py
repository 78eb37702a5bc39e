"""A planned end of a data plane, while its clients use their connections until it is gone."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

import pytest
import trio

from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.memory_connection import DataPlaneEnd
from wickspring.lab.simulation.request_path.planned_end import (
    GRACE_S,
    SIGTERM_AT_S,
    ClientBehaviour,
    PlannedEnd,
    SentRequest,
    encode_request,
)
from wickspring.net.unanswered import EndReason

POLL_S = 0.001


class ConnectionWithLateRequest(DataPlaneEnd):
    """A connection on which a request arrives as the data plane looks whether it may close it."""

    request = b""

    def peek(self) -> bytes | None:
        request, self.request = self.request, b""
        self.peer.bytes_sent += len(request)
        self._unread += request
        if request:
            self.wake()
        return super().peek()


class RequestsAtTheClose(PlannedEnd):
    """Clients that say nothing until the data plane is about to close their connections."""

    async def client(self, number: int) -> None:
        near = ConnectionWithLateRequest(self.random, math.inf)
        request = SentRequest(f"c{number}", near.peer)
        self.ledger.requests[request.id] = PURE_PREFIX, 0
        self.serve_connection(near)
        await trio.sleep(POLL_S)  # the data plane also looks when the connection is new
        near.request = encode_request(PURE_PREFIX, request.id)
        while near.request:
            await trio.sleep(POLL_S)
        request.sent_at, request.last_byte = trio.current_time(), near.peer.bytes_sent
        self.sent.append(request)
        await self._read(request, ClientBehaviour.SILENT)
        request.ended_at = trio.current_time()


@dataclass
class SlowReaders(PlannedEnd):
    """Clients that read long responses slowly."""

    behaviours: tuple[ClientBehaviour, ...] = (ClientBehaviour.SLOW_READER,)


CASES = {
    "requests until the end": PlannedEnd,
    "at the close": RequestsAtTheClose,
    "slow readers": SlowReaders,
}


@pytest.mark.parametrize("case", CASES)
def test_nothing_that_was_taken_is_lost(case: str) -> None:
    lost = {}
    sent = 0
    for seed in range(40):
        simulation = CASES[case](seed)
        simulation.run()
        sent += len(simulation.sent)
        lost[seed] = [request.id for request in simulation.lost()]
    assert sent > 300
    assert not {seed: ids for seed, ids in lost.items() if ids}


def test_every_request_that_has_been_read_gets_a_response() -> None:
    """Also one that an endpoint works on for longer than the process may go on: its deadline ends before."""
    told: Counter[str] = Counter()
    for seed in range(100, 130):
        simulation = PlannedEnd(seed, client_count=16)
        simulation.run()
        assert not [request.id for request in simulation.sent if request.is_read and not request.status]
        assert simulation.process_ended_at < SIGTERM_AT_S + GRACE_S
        told.update(simulation.ledger.seen)
    assert told["told[200]"] > 400
    assert told["told[504]"] + told["told[503]"] < 0.1 * told["told[200]"]


@dataclass
class Killed(PlannedEnd):
    """A data plane that is killed while its clients use it."""

    async def shut_down(self) -> None:
        """End without a word."""


def test_each_request_that_ends_unanswered_is_counted_with_its_reason() -> None:
    counts: Counter[EndReason] = Counter()
    unanswered = 0
    for seed in range(30):
        simulation = Killed(seed)
        simulation.run()
        counts.update(simulation.data_plane.unanswered.counts)
        sent_to = simulation.ledger.sent_to  # also uploads of which a part was passed on
        taken = [request for request in simulation.sent if request.is_read or sent_to[request.id]]
        unanswered += sum(not request.status for request in taken)
    assert unanswered > 50
    assert counts == {EndReason.PROCESS_ENDED: unanswered}
