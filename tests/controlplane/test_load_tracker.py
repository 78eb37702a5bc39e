"""Advice on endpoints by the load of all data planes, against choosing in isolation, under random load."""

from __future__ import annotations

import heapq
from pathlib import Path
from random import Random
from typing import cast

import trio

from tests.common.test_decoding import SETTINGS
from tests.support.recording_connection import RecordingConnection
from wickspring.common import settings as settings_module
from wickspring.common.connection import PeerConnection
from wickspring.common.endpoints import DRAINING, Endpoint
from wickspring.common.messages import EndpointAdvice
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.load_tracker import MAX_ADVISED, LoadTracker
from wickspring.controlplane.process import ControlPlane
from wickspring.controlplane.replication.view import View
from wickspring.dataplane.endpoint_table import EndpointTable
from wickspring.dataplane.policy.endpoint_selection import AttemptResult, EndpointSelector


def ready_endpoints(count: int, zone: str = "a") -> list[Endpoint]:
    return [Endpoint(f"i{n}", "s", f"10.0.0.{n}:80", zone, 2) for n in range(count)]


def endpoint_table(endpoints: list[Endpoint]) -> EndpointTable:
    table = EndpointTable()
    for endpoint in endpoints:
        table.update(0.0, endpoint)
    return table


def mean_wait_ms(is_advised: bool, seed: int) -> float:
    """Return the mean wait, ms, of requests of 8 data planes to 12 endpoints that are two thirds busy."""
    random, endpoints = Random(seed), ready_endpoints(12)
    load_tracker = LoadTracker(seed)
    tables = [endpoint_table(endpoints) for _ in range(8)]
    data_planes = [EndpointSelector(table, "a", seed + n) for n, table in enumerate(tables)]
    free = {endpoint.id: [0.0, 0.0] for endpoint in endpoints}  # when each slot is free
    ends: list[tuple[float, int, str]] = []
    now, waited, work = 0.0, list[float](), 100.0
    for _ in range(4000):
        now += random.expovariate(0.16)
        while ends and ends[0][0] <= now:
            at, whose, id_ = heapq.heappop(ends)
            ratio = data_planes[whose].attempt_ended(
                at, tables[whose].by_id[id_], round(at * 1e6), "r", AttemptResult.SUCCESS
            )
            load_tracker.request_ended(at, f"p{whose}", id_, ratio)
        number = random.randrange(8)
        data_plane = data_planes[number]
        offers = load_tracker.advise(now, "a", endpoints) if is_advised else ()
        candidate = data_plane.pick(now, "s", "r", set(), offers)
        assert candidate is not None
        slots = free[candidate.endpoint.id]
        begins = max(now, min(slots))
        took = random.expovariate(1.0 / work)
        slots[slots.index(min(slots))] = begins + took
        waited.append(begins - now)
        data_plane.attempt_started(now, candidate, round((begins + took) * 1e6))
        load_tracker.request_sent(f"p{number}", candidate.endpoint.id)
        heapq.heappush(ends, (begins + took, number, candidate.endpoint.id))
    return sum(waited) / len(waited)


def test_requests_wait_less_where_all_in_flight_is_known() -> None:
    for seed in (1, 2, 3):
        assert mean_wait_ms(True, seed) < 0.5 * mean_wait_ms(False, seed)


def test_slow_unresponsive_failing_and_draining_endpoints_are_not_offered_first() -> None:
    load_tracker, endpoints = LoadTracker(1), ready_endpoints(6)
    del endpoints[0]
    for _ in range(6):
        load_tracker.request_sent("p", "i1")  # and never answers
    load_tracker.request_ended(0.0, "p", "i2", -1.0)
    for _ in range(30):
        load_tracker.request_ended(0.0, "q", "i3", 3.0)
    first = [load_tracker.advise(1.0, "a", endpoints)[0][0] for _ in range(50)]
    assert set(first) == {"i4", "i5"}
    offers = dict(load_tracker.advise(1.0, "a", endpoints))
    assert len(offers) == MAX_ADVISED and "i0" not in offers
    load_tracker.forget_data_plane("p")  # its requests in flight are forgotten
    assert "i1" in {load_tracker.advise(1.0, "a", endpoints)[0][0] for _ in range(50)}


def test_a_data_plane_leaves_out_endpoints_that_it_knows_to_be_unfit() -> None:
    table = endpoint_table(ready_endpoints(4))
    selector = EndpointSelector(table, "a", 1, has_idle_connection=lambda id_: id_ != "i1")
    table.record_departures({"i0": DRAINING})
    offers = [("i0", 0.5), ("i1", 1.0), ("i2", 1.2), ("i9", 0.1)]
    chosen = selector.pick(1.0, "s", "r", set(), offers)
    # i1 is to be connected to, i0 departs, i9 is not known
    assert chosen is not None and chosen.endpoint.id == "i2"
    again = selector.pick(1.0, "s", "r", {"i1", "i2"}, offers)
    assert again is not None and again.endpoint.id == "i3"


def test_an_overloaded_endpoint_is_not_taken_for_a_dead_one() -> None:
    table = endpoint_table(ready_endpoints(2))
    selector = EndpointSelector(table, "a", 1)
    busy, dead = table.by_id["i0"], table.by_id["i1"]
    for number, candidate in enumerate((busy, dead)):
        selector.attempt_started(10.0, candidate, number)
    selector.attempt_started(10.0, busy, 9)
    selector.attempt_ended(900.0, busy, 9, "r", AttemptResult.SUCCESS)
    assert selector.attempt_ended(1200.0, busy, 0, "r", AttemptResult.TIMEOUT) == 0.0
    assert busy.ejected_until == 0.0
    assert selector.attempt_ended(1200.0, dead, 1, "r", AttemptResult.TIMEOUT) < 0.0
    assert dead.ejected_until > 1200.0


def test_an_isolated_node_advises_no_endpoints(tmp_path: Path) -> None:
    settings = SETTINGS.replace("ip=10.1.0.30", "ip=10.1.0.33") + f"data_dir={tmp_path}\n"

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            control_plane = ControlPlane(settings_module.parse_settings(settings), nursery, 1)
            for endpoint in ready_endpoints(2):
                control_plane.components.registry.record_heartbeat(control_plane.clock.now(), endpoint)
            connection = RecordingConnection()
            session = PeerSession(cast(PeerConnection, connection))
            ask = ["berth", 1, "s", "a"]
            control_plane.peer_server.receive(session, ask)  # of two seeds it reaches only itself
            assert connection.sent == [EndpointAdvice(1, [], 2)]
            control_plane.replication.chain.view = View(
                2, (control_plane.replication.chain.me,), (control_plane.replication.chain.me,)
            )
            control_plane.replication.lease.install(
                control_plane.clock.now(), control_plane.replication.chain.view
            )
            control_plane.peer_server.receive(session, ask)
            _, advice = connection.sent
            assert isinstance(advice, EndpointAdvice)
            assert len(advice.offers) == advice.known_endpoints == 2
            nursery.cancel_scope.cancel()

    trio.run(play)
