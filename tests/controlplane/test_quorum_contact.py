"""A control-plane node without a quorum sends no old state as current, and refuses and confirms nothing.

Real control planes and data planes run in virtual time (`tests/support/virtual_system.py`). The rules by
which a data plane adopts a configuration are a state machine of their own.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from random import Random
from typing import Any, cast

import pytest
import trio

from tests.common.test_decoding import SETTINGS
from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    CutDirection,
    VirtualSystem,
    config_text,
    deregister,
    read_config,
    ready_endpoint,
    replace_config,
    run_virtual_system,
    send_heartbeat,
)
from wickspring.common import logs
from wickspring.common import settings as settings_module
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import PeerConnection
from wickspring.common.digest import digest_of
from wickspring.common.endpoints import GONE, READY
from wickspring.common.errors import GatewayError
from wickspring.common.messages import (
    ConfigOffer,
    EndpointsLost,
    EndpointSnapshot,
    Message,
    QuotaTotal,
)
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse
from wickspring.controlplane.api.config import ConfigReplace
from wickspring.controlplane.api.snapshot import SnapshotDownload, SnapshotRestore
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.controlplane.process import DRAIN_SHARE, ControlPlane, drain
from wickspring.controlplane.quorum_contact import (
    CONTACT_TIMEOUT_MS,
    ISOLATION_MS,
    QuorumContactMonitor,
)
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.update_submission import UpdateResult
from wickspring.dataplane.policy import config_adoption
from wickspring.dataplane.policy.config_adoption import AdoptionAction, ConfigAdoption, ConfigCopy
from wickspring.dataplane.policy.endpoint_selection import EndpointSelector

CUT_S = 20.0
CUT_NODES = ["head", "middle", "tail", "spare", "restarted"]


def snapshot_of(version: int) -> bytes:
    replica = Replica()
    replica.apply(Update(version, config_text(version)), 1)
    return snapshot.pack(replica, 1)


async def all_calls(control_plane: ControlPlane, version: int) -> dict[str, ApiResponse]:
    """Send one of each call that a node without contact must not answer for good."""
    return {
        "new": await replace_config(control_plane, version),
        "same again": await replace_config(control_plane, 2),
        "same number, other text": await replace_config(control_plane, 2, "other"),
        "lower": await replace_config(control_plane, 1),
        "read": await read_config(control_plane),
        "draining": await send_heartbeat(control_plane, "i1", 50, "draining"),
        "ready": await send_heartbeat(control_plane, "i2", 50),
        "ended": await deregister(control_plane, "i3"),
        "snapshot taken": await SnapshotDownload(control_plane).call(ApiRequest("GET", "", b"")),
        "snapshot brought": await SnapshotRestore(control_plane).call(
            ApiRequest("POST", "", snapshot_of(version))
        ),
    }


def pick(system: VirtualSystem, who: str) -> str:
    chain = system.chain
    if who == "spare":
        return next(ip for ip in system.control_planes if ip not in chain)
    return chain[{"head": 0, "middle": 1}.get(who, -1)]


@pytest.mark.parametrize("direction", ["both", "outbound", "inbound"])
@pytest.mark.parametrize("who", CUT_NODES)
def test_cut_off_twenty_seconds(monkeypatch: pytest.MonkeyPatch, who: str, direction: CutDirection) -> None:
    async def cut_off(system: VirtualSystem) -> None:
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 1)).status == 200
        for ip in DATA_PLANES:
            await system.start_data_plane(ip)
        victim = pick(system, who)
        others = [one for ip, one in system.control_planes.items() if ip != victim]
        assert (await replace_config(others[0], 2)).status == 200
        await system.wait_until(
            lambda: all(
                one.control_client.config.routing_table.version == 2 for one in system.data_planes.values()
            )
        )
        # Data planes, servers and operators reach both sides.
        system.cut(victim, direction=direction, reachable=DATA_PLANES)
        started_at = trio.current_time()
        if who == "restarted":
            system.kill(victim)
            await system.start_control_plane(victim)
        control_plane = system.control_planes[victim]
        await trio.sleep(2.0 * CONTACT_TIMEOUT_MS / 1000.0)
        assert control_plane.status().replication.contact == "none"
        await system.wait_until(
            lambda: (
                others[0].replication.in_contact
                and others[0].components.config_distributor.routing_table.version == 2
            )
        )
        version = 3
        while trio.current_time() - started_at < CUT_S:
            asked = trio.current_time()
            for call, response in (await all_calls(control_plane, version)).items():
                assert response.status == 503 and response.retry_after, call
            assert trio.current_time() == asked  # at once
            invalid = await ConfigReplace(control_plane).call(ApiRequest("POST", "", b"{}"))
            assert invalid.status == 400  # a fact of the text
            assert (await replace_config(others[version % len(others)], version)).status == 200
            assert (await replace_config(others[0], version, "other")).status == 409
            await system.wait_until(
                lambda number=version: all(  # type: ignore[misc]
                    one.control_client.config.routing_table.version == number
                    for one in system.data_planes.values()
                ),
                1.0,
            )
            version += 1
            await trio.sleep(2.5)
        system.heal()
        assert (
            await system.wait_until(
                lambda: control_plane.components.contact.observe() is not QuorumContact.NONE
            )
            < 4.0
        )
        await system.wait_until(
            lambda: control_plane.components.config_distributor.routing_table.version == version - 1, 2.0
        )
        tried = trio.current_time()  # the chain takes it in again meanwhile
        assert (
            await system.commit_config(victim, version)
        ).status == 200 and trio.current_time() - tried < 3.0
        assert (await replace_config(control_plane, version)).status == 200  # however often
        assert (await replace_config(control_plane, 1)).status == 200  # and what is not above changes nothing
        assert (await replace_config(control_plane, version, "other")).status == 409
        assert (await read_config(control_plane)).body == config_text(version)
        assert (await send_heartbeat(control_plane, "i2", 60)).status == 200
        await system.wait_until(
            lambda: all(numbers[-1] == version for numbers in system.adopted_versions.values())
        )
        for numbers in system.adopted_versions.values():
            assert numbers == sorted(numbers) and len(set(numbers)) == len(numbers)

    run_virtual_system(monkeypatch, cut_off, control_planes=4 if who == "spare" else 3)


def isolate_with_data_planes(system: VirtualSystem, victim: str) -> None:
    """Leave new data planes one node to reach."""
    system.cut(victim, reachable=DATA_PLANES)
    system.cut(*DATA_PLANES, reachable=(victim,))


async def leave_new_data_planes_an_isolated_node(system: VirtualSystem, restarted: bool) -> None:
    """Commit r1 everywhere, and r2 without the one node that new data planes reach."""
    victim = CONTROL_PLANES[2]
    assert (await replace_config(system.control_planes[victim], 1)).status == 200
    await trio.sleep(1.0)
    isolate_with_data_planes(system, victim)
    if restarted:
        system.kill(victim)
        await system.start_control_plane(victim)
    assert (await system.commit_config(CONTROL_PLANES[0], 2)).status == 200


@pytest.mark.parametrize("restarted", [False, True])
def test_a_data_plane_beside_an_isolated_node_waits_for_one_in_contact(
    monkeypatch: pytest.MonkeyPatch, restarted: bool
) -> None:
    """With nobody in contact to hear of, it goes by the last known after a while, and never goes back."""

    async def cut_off(system: VirtualSystem) -> None:
        await leave_new_data_planes_an_isolated_node(system, restarted)
        started_at = trio.current_time()
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        took = await system.wait_until(
            lambda: data_plane.control_client.config.routing_table.version == 1, 6.0
        )
        assert took >= ISOLATION_MS / 1000.0 and trio.current_time() - started_at < 6.0
        assert data_plane.control_client.config_status is (
            ConfigStatus.STORED if restarted else ConfigStatus.COMMITTED
        )
        assert not data_plane.control_client.in_contact
        system.heal()
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 2)
        await system.wait_until(lambda: data_plane.control_client.config_status is ConfigStatus.CURRENT, 0.5)
        assert system.adopted_versions[DATA_PLANES[0]] == [1, 2]

    run_virtual_system(monkeypatch, cut_off)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_contact_is_not_derived_from_messages_before_the_cut(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Connections are up again at once, but the last messages on them are twenty seconds old."""

    async def cut_off(system: VirtualSystem) -> None:
        victim, other = CONTROL_PLANES[2], system.control_planes[CONTROL_PLANES[0]]
        control_plane = system.control_planes[victim]
        assert (await replace_config(control_plane, 1)).status == 200
        system.cut(victim)
        assert (await system.commit_config(other.settings.ip, 2)).status == 200
        await trio.sleep(CUT_S)
        system.heal()
        while control_plane.components.config_distributor.routing_table.version != 2:
            assert (
                not control_plane.replication.in_contact or control_plane.updates.epoch >= other.updates.epoch
            )
            await trio.sleep(0.0005)

    run_virtual_system(monkeypatch, cut_off, seed=seed)


def first_adopted_versions(monkeypatch: pytest.MonkeyPatch, restarted: bool) -> list[int]:
    """Start a pilot that hears one cut off at once, and after a second one in contact; what it goes by."""
    taken: list[int] = []

    async def cut_off(system: VirtualSystem) -> None:
        await leave_new_data_planes_an_isolated_node(system, restarted)
        await trio.sleep(2.0)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await trio.sleep(0.9)
        system.cuts -= {(DATA_PLANES[0], CONTROL_PLANES[0]), (CONTROL_PLANES[0], DATA_PLANES[0])}
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 2)
        await trio.sleep(3.0)
        taken.extend(system.adopted_versions[DATA_PLANES[0]])

    run_virtual_system(monkeypatch, cut_off)
    return taken


@pytest.mark.parametrize("restarted", [False, True])
def test_old_state_is_not_adopted_where_a_node_in_contact_appears(
    monkeypatch: pytest.MonkeyPatch, restarted: bool
) -> None:
    assert first_adopted_versions(monkeypatch, restarted) == [2]


def test_a_data_plane_passes_its_state_on_to_one_that_no_node_reaches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def apart(system: VirtualSystem) -> None:
        first, second = DATA_PLANES
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 1)).status == 200
        await system.start_data_plane(first)
        system.cut(second, reachable=(first,))
        alone = await system.start_data_plane(second)
        alone.gossip.introduce([first])
        await system.wait_until(lambda: alone.control_client.config.routing_table.version == 1)
        state = alone.state_digest()
        assert (state.config_version, state.config_digest) == (1, digest_of(config_text(1)))
        assert not alone.control_client.in_contact
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 2)).status == 200
        await system.wait_until(lambda: alone.control_client.config.routing_table.version == 2)

    run_virtual_system(monkeypatch, apart)


# Seeded defects: each must be seen by the scenario above it.


def test_the_scenario_detects_state_sent_before_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = ControlPlane.restore

    def publish_at_once(control_plane: ControlPlane) -> None:
        begin(control_plane)
        control_plane.on_committed(control_plane.replication.chain.replica)

    monkeypatch.setattr(ControlPlane, "restore", publish_at_once)
    monkeypatch.setattr(config_adoption, "FALLBACK_AFTER_MS", 0.0)  # and a data plane that adopts at once
    assert first_adopted_versions(monkeypatch, True) == [1, 2]


class RecordingConnection:
    """A data plane's end of a connection, with the offers that came and when."""

    def __init__(self) -> None:
        self.peer_address = ""
        self.live = True
        self.routing_tables: list[tuple[float, ConfigStatus]] = []

    def send(self, message: Message) -> None:
        if isinstance(message, ConfigOffer):
            self.routing_tables.append((trio.current_time(), message.status))

    def close(self) -> None:
        self.live = False


@pytest.mark.parametrize("defect", [False, True])
def test_a_restarted_node_sends_nothing_from_its_disk_as_committed(
    monkeypatch: pytest.MonkeyPatch, defect: bool
) -> None:
    async def restarted(system: VirtualSystem) -> None:
        victim = CONTROL_PLANES[1]
        assert (await replace_config(system.control_planes[victim], 1)).status == 200
        await trio.sleep(1.0)
        system.cut(victim)
        system.kill(victim)
        if defect:
            begin = ControlPlane.restore

            def publish_at_once(control_plane: ControlPlane) -> None:
                begin(control_plane)
                control_plane.on_committed(control_plane.replication.chain.replica)

            monkeypatch.setattr(ControlPlane, "restore", publish_at_once)
        control_plane = await system.start_control_plane(victim)
        started_at = trio.current_time()
        heard = RecordingConnection()
        session = PeerSession(cast(PeerConnection, heard))
        control_plane.peer_server.receive(
            session, ["hello", "pilot", DATA_PLANES[0], {"version": 0, "digest": b""}]
        )
        for _ in range(20):
            await trio.sleep(0.2)
            control_plane.peer_server.receive(session, ["tick", 0, b""])
        (at, standing), *more = heard.routing_tables
        assert not more
        seen = at - started_at < ISOLATION_MS / 1000.0 or standing is not ConfigStatus.STORED
        assert seen == defect

    run_virtual_system(monkeypatch, restarted)


def with_control_plane(monkeypatch: pytest.MonkeyPatch, test: Callable[[ControlPlane], Any]) -> None:
    """Run with one node, for tests that fix what its replication answers."""

    async def run(system: VirtualSystem) -> None:
        await test(system.control_planes[CONTROL_PLANES[0]])

    run_virtual_system(monkeypatch, run)


def fix_outcome(monkeypatch: pytest.MonkeyPatch, verdict: CommitOutcome, contact: list[bool]) -> None:
    async def submit(core: ReplicationNode, update: Update, read: bool = False) -> UpdateResult:
        return UpdateResult(verdict, Replica() if read else None)

    monkeypatch.setattr(ReplicationNode, "submit", submit)
    monkeypatch.setattr(ReplicationNode, "in_contact", property(lambda core: contact[0]))


@pytest.mark.parametrize("verdict", [CommitOutcome.COMMITTED, CommitOutcome.CONFLICT])
@pytest.mark.parametrize("defect", [False, True])
def test_nothing_is_confirmed_or_refused_without_contact(
    monkeypatch: pytest.MonkeyPatch, verdict: CommitOutcome, defect: bool
) -> None:
    """Whatever the chain says; with the defect seeded, that it believes itself in contact, it is."""

    async def test(control_plane: ControlPlane) -> None:
        contact = [True]
        fix_outcome(monkeypatch, verdict, contact)
        usual = 200 if verdict is CommitOutcome.COMMITTED else 409
        assert (await replace_config(control_plane, 3)).status == usual
        contact[0] = False
        if defect:
            monkeypatch.setattr(QuorumContactMonitor, "observe", lambda *_: QuorumContact.STABLE)
        started_at = trio.current_time()
        response = await replace_config(control_plane, 3)
        assert response.status == (usual if defect else 503)
        if not defect:
            assert 0.5 < trio.current_time() - started_at < 1.0  # a short gap is waited out
            await trio.sleep(1.0)
            started_at = trio.current_time()
            assert (
                await replace_config(control_plane, 3)
            ).status == 503 and trio.current_time() == started_at

    with_control_plane(monkeypatch, test)


def test_a_short_gap_is_waited_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(control_plane: ControlPlane) -> None:
        contact = [False]
        fix_outcome(monkeypatch, CommitOutcome.COMMITTED, contact)
        response: list[ApiResponse] = []

        async def order() -> None:
            response.append(await replace_config(control_plane, 3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            await trio.sleep(0.4)
            assert not response
            contact[0] = True
        assert response[0].status == 200

    with_control_plane(monkeypatch, test)


# Heartbeats and updates of endpoints.


def test_heartbeats_are_redirected_only_to_reachable_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def cut_off(system: VirtualSystem) -> None:
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        monkeypatch.setattr(
            control_plane.endpoints,
            "_settings",
            settings_module.parse_settings(SETTINGS.replace("zone=a", "zone=b")),
        )
        target = control_plane.endpoints.heartbeat_target("a")
        assert target.encode() in (await send_heartbeat(control_plane, "i1", 1)).body
        lost = target.partition(":")[0]
        assert lost in CONTROL_PLANES[1:3]
        system.cut(lost)
        await system.wait_until(lambda: not control_plane.replication.peers.is_reachable(lost))
        await system.wait_until(lambda: control_plane.replication.in_contact)
        response = await send_heartbeat(control_plane, "i1", 2)
        assert response.status == 200 and target.encode() not in response.body

    run_virtual_system(monkeypatch, cut_off)


def test_updates_of_an_isolated_node_undo_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """An endpoint times out and another ends while one node, which data planes reach, is isolated."""

    async def cut_off(system: VirtualSystem) -> None:
        victim, control_plane = (
            system.control_planes[CONTROL_PLANES[2]],
            system.control_planes[CONTROL_PLANES[0]],
        )
        await replace_config(control_plane, 1)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        for id_ in ("silent", "ended", "well"):
            assert (await send_heartbeat(victim, id_, 40)).status == 200
        await system.wait_until(lambda: len(data_plane.endpoints.candidates) == 3)
        system.cut(victim.settings.ip, reachable=DATA_PLANES)
        assert (await system.commit_config(CONTROL_PLANES[0], 2)).status == 200
        assert (await send_heartbeat(control_plane, "ended", 41, "draining")).status == 200
        assert (await deregister(control_plane, "ended")).status == 200
        heard: list[Message] = []
        for session in victim.data_planes:
            send = session.connection.send

            def noted(message: Message, send: Callable[..., None] = send) -> None:
                heard.append(message)
                send(message)

            monkeypatch.setattr(session.connection, "send", noted)
        seq = 41
        while not data_plane.endpoints.candidates["silent"].unresponsive:
            seq += 1
            assert seq < 60
            assert (await send_heartbeat(control_plane, "well", seq)).status == 200
            await trio.sleep(1.0)
        for _ in range(8):  # the one cut off still lists them
            for session in victim.data_planes:
                victim.endpoints.send_snapshot(session)
            seq += 1
            await send_heartbeat(control_plane, "well", seq)
            await trio.sleep(1.0)
        assert data_plane.endpoints.candidates["silent"].unresponsive and not data_plane.endpoints.accepts(
            "ended"
        )
        assert not data_plane.endpoints.candidates["well"].unresponsive
        assert any(isinstance(message, EndpointSnapshot) for message in heard)
        assert not any(isinstance(message, EndpointsLost | QuotaTotal) for message in heard)
        system.heal()
        await system.wait_until(lambda: victim.components.contact.observe() is QuorumContact.STABLE)
        assert not data_plane.endpoints.candidates["well"].unresponsive and not data_plane.endpoints.accepts(
            "ended"
        )
        assert data_plane.endpoints.candidates["silent"].unresponsive
        assert (await send_heartbeat(victim, "well", seq + 1)).status == 200
        assert [one.id for one in victim.components.registry.present() if one.state == READY] == ["well"]

    run_virtual_system(monkeypatch, cut_off)


def test_incomplete_snapshots_bring_no_endpoint_back() -> None:
    endpoints = EndpointSelector("a", 1)
    endpoints.update(0.0, ready_endpoint("i1", 4))
    endpoints.mark_unresponsive(["i1"])
    assert (
        not endpoints.update(1.0, ready_endpoint("i1", 9), fresh=False)
        and endpoints.candidates["i1"].unresponsive
    )
    assert (
        endpoints.update(1.0, ready_endpoint("i2", 9), fresh=False)
        and not endpoints.candidates["i2"].unresponsive
    )
    endpoints.mark_departures({"i2": GONE})
    endpoints.update(2.0, ready_endpoint("i2", 99))
    assert not endpoints.accepts("i2")
    assert endpoints.update(3.0, ready_endpoint("i1", 10)) and not endpoints.candidates["i1"].unresponsive


def test_a_heartbeat_to_another_node_brings_an_endpoint_back() -> None:
    registry = EndpointRegistry(1500.0)
    registry.record_heartbeat(0.0, ready_endpoint("i1"))
    assert registry.expire(5000.0) == ["i1"] and not registry.present()
    assert [one.id for one in registry.record_liveness(5100.0, [("i1", 2), ("i9", 1)])] == ["i1"]
    assert [one.id for one in registry.present()] == ["i1"] and registry.expire(5200.0) == []


# The rules by which a data plane adopts a configuration.


def copy_of(version: int, mark: str, standing: ConfigStatus) -> ConfigCopy:
    return ConfigCopy(version, digest_of(config_text(version, mark)), b"", standing)


@pytest.mark.parametrize("seed", range(40))
def test_a_data_plane_never_returns_to_an_older_config(seed: int) -> None:
    """Random offers of nodes and data planes in contact and not; of each version one text is committed."""
    random, now, mine = Random(seed), 0.0, ConfigAdoption(0.0)
    safe = {version: random.choice("xy") for version in range(1, 40)}
    newest, contact_at, numbers = 1, 0.0, [0]
    for _ in range(400):
        now += random.expovariate(1 / 120.0)
        newest = min(39, newest + (random.random() < 0.06))
        standing = random.choice(list(ConfigStatus)) if now > 1000.0 * (seed % 4) else ConfigStatus.STORED
        version = newest if standing is ConfigStatus.CURRENT else random.randint(1, newest)
        if standing is ConfigStatus.STORED:
            version += random.randint(0, 1)  # a head's own, confirmed to nobody
        mark = random.choice("xy") if standing is ConfigStatus.STORED else safe.get(version, "x")
        copy = copy_of(version, mark, standing)
        before = mine.version, mine.status
        advice = mine.offer(now, copy, random.random() < 0.5)
        contact_at = now if standing is ConfigStatus.CURRENT else contact_at
        due = mine.fallback(now)
        assert advice is not AdoptionAction.FENCE  # one safe text a number: the fence never falls
        if advice in (AdoptionAction.ADOPT, AdoptionAction.REPLACE_UNCOMMITTED):
            assert standing >= ConfigStatus.COMMITTED
            assert before[0] or standing is ConfigStatus.CURRENT
            assert advice is AdoptionAction.ADOPT or before == (version, ConfigStatus.STORED)
            mine.adopted(copy)
        elif due is not None:
            assert not before[0] and now - contact_at >= config_adoption.FALLBACK_AFTER_MS
            mine.adopted(due)
        numbers.append(mine.version)
        if mine.status is ConfigStatus.COMMITTED:
            assert mine.digest == digest_of(config_text(mine.version, safe[mine.version]))
    assert numbers == sorted(numbers)
    mine.offer(now, copy_of(newest, safe[newest], ConfigStatus.CURRENT))
    assert mine.version <= newest or mine.status is ConfigStatus.STORED


def test_a_conflicting_text_is_taken_from_a_node_in_contact_and_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    monkeypatch.setattr(logs, "log_event", lambda name, **_: events.append(name))

    async def two_texts(system: VirtualSystem) -> None:
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        await replace_config(control_plane, 1)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 1)
        good = data_plane.control_client.config.packed
        other = zlib.compress(config_text(1, "other"))
        connection = next(iter(control_plane.data_planes)).connection
        for standing, by_control_plane in ((ConfigStatus.COMMITTED, True), (ConfigStatus.CURRENT, False)):
            offer = ConfigOffer(1, other, digest_of(config_text(1, "other")), standing)
            data_plane.control_client.config.offer(offer, by_control_plane)
            assert data_plane.control_client.config.packed == good
        data_plane.control_client.on_message(
            connection, ConfigOffer(1, other, digest_of(config_text(1)), ConfigStatus.CURRENT)
        )
        # Not the text of its digest: half a copy is none.
        assert data_plane.control_client.config.packed == good
        data_plane.control_client.on_message(
            connection, ConfigOffer(1, other, digest_of(config_text(1, "other")), ConfigStatus.CURRENT)
        )
        assert data_plane.control_client.config.packed == other
        await system.wait_until(
            lambda: data_plane.control_client.config.packed == good
        )  # its lighthouses have another still

    run_virtual_system(monkeypatch, two_texts)
    assert events.count("config_digest_mismatch") == 2


# Observations of contact, settings, and the end.


def test_contact_by_the_clock() -> None:
    monitor = QuorumContactMonitor(0.0, 1500.0)
    assert monitor.observe(100.0, False) is QuorumContact.NONE and not monitor.timed_out(100.0)
    assert monitor.observe(CONTACT_TIMEOUT_MS + 1.0, False) is QuorumContact.NONE and monitor.timed_out(
        CONTACT_TIMEOUT_MS + 1.0
    )
    assert not monitor.isolated(CONTACT_TIMEOUT_MS + 1.0) and monitor.isolated(ISOLATION_MS + 1.0)
    assert monitor.observe(2000.0, True) is QuorumContact.RECENT and not monitor.timed_out(9000.0)
    for now in range(2500, 4250, 250):
        monitor.observe(float(now), now % 1000 != 0)  # gaps of a moment do not count
    assert monitor.observe(4300.0, True) is QuorumContact.STABLE
    assert (
        monitor.observe(5400.0, True) is QuorumContact.RECENT
    )  # a second in which nobody looked: it was stopped


def test_another_config_mode_is_a_fault_of_the_settings() -> None:
    assert settings_module.parse_settings(SETTINGS + "config_mode=highest\n").config_mode == "highest"
    with pytest.raises(GatewayError, match="bad_settings: config_mode: 'latest'"):
        settings_module.parse_settings(SETTINGS + "config_mode=latest\n")


@pytest.mark.parametrize("free_after_s", [0.0, 1.0, 99.0])
def test_a_node_ends_once_it_may_or_its_grace_period_is_nearly_over(
    monkeypatch: pytest.MonkeyPatch, free_after_s: float
) -> None:
    async def leave(control_plane: ControlPlane) -> None:
        started_at = trio.current_time()
        free = property(lambda core: trio.current_time() - started_at >= free_after_s)
        monkeypatch.setattr(ReplicationNode, "may_stop", free)
        await drain(control_plane)
        most = DRAIN_SHARE * control_plane.settings.guarantees.grace_s
        assert control_plane.replication.stopping and control_plane.api_server.draining
        assert min(free_after_s, most) <= trio.current_time() - started_at <= min(free_after_s, most) + 0.06

    with_control_plane(monkeypatch, leave)
