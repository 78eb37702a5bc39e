"""A control-plane node without a quorum sends no old state as current, and refuses and confirms nothing.

Real control planes and data planes run in virtual time (`tests/support/virtual_system.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import pytest
import trio

from tests.common.test_decoding import SETTINGS
from tests.support.recording_connection import RecordingConnection
from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    CutDirection,
    VirtualSystem,
    config_text,
    deregister,
    read_config,
    replace_config,
    run_virtual_system,
    send_heartbeat,
)
from wickspring.common import settings as settings_module
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import PeerConnection
from wickspring.common.digest import digest_of
from wickspring.common.errors import GatewayError
from wickspring.common.messages import (
    ConfigOffer,
)
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse
from wickspring.controlplane.api.config import ConfigReplace
from wickspring.controlplane.api.snapshot import SnapshotDownload, SnapshotRestore
from wickspring.controlplane.data_plane_sessions import PeerSession
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

CUT_S = 20.0
CUT_ROLES = ["head", "middle", "tail", "spare", "restarted"]


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


def node_in_role(system: VirtualSystem, role: str) -> str:
    """Return the address of the node that has a role of `CUT_ROLES`; the one to restart is the tail."""
    chain = system.chain
    if role == "spare":
        return next(ip for ip in system.control_planes if ip not in chain)
    return chain[{"head": 0, "middle": 1}.get(role, -1)]


@pytest.mark.parametrize("direction", ["both", "outbound", "inbound"])
@pytest.mark.parametrize("role", CUT_ROLES)
def test_cut_off_twenty_seconds(monkeypatch: pytest.MonkeyPatch, role: str, direction: CutDirection) -> None:
    async def cut_off(system: VirtualSystem) -> None:
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 1)).status == 200
        for ip in DATA_PLANES:
            await system.start_data_plane(ip)
        isolated_ip = node_in_role(system, role)
        others = [node for ip, node in system.control_planes.items() if ip != isolated_ip]
        assert (await replace_config(others[0], 2)).status == 200
        await system.wait_until(
            lambda: all(
                data_plane.control_client.config.routing_table.version == 2
                for data_plane in system.data_planes.values()
            )
        )
        # Data planes, servers and operators reach both sides.
        system.cut(isolated_ip, direction=direction, reachable=DATA_PLANES)
        started_at = trio.current_time()
        if role == "restarted":
            system.kill(isolated_ip)
            await system.start_control_plane(isolated_ip)
        control_plane = system.control_planes[isolated_ip]
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
            called_at = trio.current_time()
            for call, response in (await all_calls(control_plane, version)).items():
                assert response.status == 503 and response.retry_after, call
            assert trio.current_time() == called_at  # at once
            invalid = await ConfigReplace(control_plane).call(ApiRequest("POST", "", b"{}"))
            assert invalid.status == 400  # a fact of the text
            assert (await replace_config(others[version % len(others)], version)).status == 200
            assert (await replace_config(others[0], version, "other")).status == 409
            await system.wait_until(
                lambda number=version: all(  # type: ignore[misc]
                    data_plane.control_client.config.routing_table.version == number
                    for data_plane in system.data_planes.values()
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
        sent_at = trio.current_time()  # the chain takes it in again meanwhile
        assert (
            await system.commit_config(isolated_ip, version)
        ).status == 200 and trio.current_time() - sent_at < 3.0
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

    run_virtual_system(monkeypatch, cut_off, control_planes=4 if role == "spare" else 3)


def isolate_with_data_planes(system: VirtualSystem, isolated_ip: str) -> None:
    """Leave new data planes one node to reach."""
    system.cut(isolated_ip, reachable=DATA_PLANES)
    system.cut(*DATA_PLANES, reachable=(isolated_ip,))


async def leave_new_data_planes_an_isolated_node(system: VirtualSystem, restarted: bool) -> None:
    """Commit r1 everywhere, and r2 without the one node that new data planes reach."""
    isolated_ip = CONTROL_PLANES[2]
    assert (await replace_config(system.control_planes[isolated_ip], 1)).status == 200
    await trio.sleep(1.0)
    isolate_with_data_planes(system, isolated_ip)
    if restarted:
        system.kill(isolated_ip)
        await system.start_control_plane(isolated_ip)
    assert (await system.commit_config(CONTROL_PLANES[0], 2)).status == 200


@pytest.mark.parametrize("restarted", [False, True])
def test_a_data_plane_beside_an_isolated_node_waits_for_one_in_contact(
    monkeypatch: pytest.MonkeyPatch, restarted: bool
) -> None:
    """While it knows of none in contact, it adopts the last known after a while, and never goes back."""

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
        isolated_ip = CONTROL_PLANES[2]
        other = system.control_planes[CONTROL_PLANES[0]]
        control_plane = system.control_planes[isolated_ip]
        assert (await replace_config(control_plane, 1)).status == 200
        system.cut(isolated_ip)
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
    """Return the versions that a new data plane adopts, which reaches an isolated node before the others."""
    adopted: list[int] = []

    async def cut_off(system: VirtualSystem) -> None:
        await leave_new_data_planes_an_isolated_node(system, restarted)
        await trio.sleep(2.0)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await trio.sleep(0.9)
        system.cuts -= {(DATA_PLANES[0], CONTROL_PLANES[0]), (CONTROL_PLANES[0], DATA_PLANES[0])}
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 2)
        await trio.sleep(3.0)
        adopted.extend(system.adopted_versions[DATA_PLANES[0]])

    run_virtual_system(monkeypatch, cut_off)
    return adopted


@pytest.mark.parametrize("restarted", [False, True])
def test_old_state_is_not_adopted_where_a_node_in_contact_appears(
    monkeypatch: pytest.MonkeyPatch, restarted: bool
) -> None:
    assert first_adopted_versions(monkeypatch, restarted) == [2]


def test_a_data_plane_passes_its_state_on_to_one_that_no_node_reaches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def isolate_second(system: VirtualSystem) -> None:
        first, second = DATA_PLANES
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 1)).status == 200
        await system.start_data_plane(first)
        system.cut(second, reachable=(first,))
        isolated = await system.start_data_plane(second)
        isolated.gossip.join([first])
        await system.wait_until(lambda: isolated.control_client.config.routing_table.version == 1)
        state = isolated.local_state.digest()
        assert (state.config_version, state.config_digest) == (1, digest_of(config_text(1)))
        assert not isolated.control_client.in_contact
        assert (await replace_config(system.control_planes[CONTROL_PLANES[0]], 2)).status == 200
        await system.wait_until(lambda: isolated.control_client.config.routing_table.version == 2)

    run_virtual_system(monkeypatch, isolate_second)


# Seeded defects: each must be seen by the scenario above it.


def test_the_scenario_detects_state_sent_before_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = ControlPlane.restore

    def publish_at_once(control_plane: ControlPlane) -> None:
        begin(control_plane)
        control_plane.on_committed(control_plane.replication.chain.replica)

    monkeypatch.setattr(ControlPlane, "restore", publish_at_once)
    monkeypatch.setattr(config_adoption, "FALLBACK_AFTER_MS", 0.0)  # and a data plane that adopts at once
    assert first_adopted_versions(monkeypatch, True) == [1, 2]


@pytest.mark.parametrize("defect", [False, True])
def test_a_restarted_node_sends_nothing_from_its_disk_as_committed(
    monkeypatch: pytest.MonkeyPatch, defect: bool
) -> None:
    async def restarted(system: VirtualSystem) -> None:
        isolated_ip = CONTROL_PLANES[1]
        assert (await replace_config(system.control_planes[isolated_ip], 1)).status == 200
        await trio.sleep(1.0)
        system.cut(isolated_ip)
        system.kill(isolated_ip)
        if defect:
            begin = ControlPlane.restore

            def publish_at_once(control_plane: ControlPlane) -> None:
                begin(control_plane)
                control_plane.on_committed(control_plane.replication.chain.replica)

            monkeypatch.setattr(ControlPlane, "restore", publish_at_once)
        control_plane = await system.start_control_plane(isolated_ip)
        started_at = trio.current_time()
        connection = RecordingConnection()
        session = PeerSession(cast(PeerConnection, connection))
        control_plane.peer_server.receive(
            session, ["hello", "pilot", DATA_PLANES[0], {"version": 0, "digest": b""}]
        )
        for _ in range(20):
            await trio.sleep(0.2)
            control_plane.peer_server.receive(session, ["tick", 0, b""])
        offers = [
            (message, sent_at_s)
            for message, sent_at_s in zip(connection.sent, connection.sent_at_s, strict=True)
            if isinstance(message, ConfigOffer)
        ]
        assert len(offers) == 1
        offer, sent_at_s = offers[0]
        sent_early = sent_at_s - started_at < ISOLATION_MS / 1000.0
        sent_as_committed = offer.status is not ConfigStatus.STORED
        assert (sent_early or sent_as_committed) == defect

    run_virtual_system(monkeypatch, restarted)


def with_control_plane(monkeypatch: pytest.MonkeyPatch, test: Callable[[ControlPlane], Any]) -> None:
    """Run with one node, for tests that fix what its replication answers."""

    async def run(system: VirtualSystem) -> None:
        await test(system.control_planes[CONTROL_PLANES[0]])

    run_virtual_system(monkeypatch, run)


def fix_outcome(monkeypatch: pytest.MonkeyPatch, outcome: CommitOutcome, contact: list[bool]) -> None:
    async def submit(node: ReplicationNode, update: Update, read: bool = False) -> UpdateResult:
        return UpdateResult(outcome, Replica() if read else None)

    monkeypatch.setattr(ReplicationNode, "submit", submit)
    monkeypatch.setattr(ReplicationNode, "in_contact", property(lambda node: contact[0]))


@pytest.mark.parametrize("outcome", [CommitOutcome.COMMITTED, CommitOutcome.CONFLICT])
@pytest.mark.parametrize("defect", [False, True])
def test_nothing_is_confirmed_or_refused_without_contact(
    monkeypatch: pytest.MonkeyPatch, outcome: CommitOutcome, defect: bool
) -> None:
    """Whatever the outcome in the chain; the seeded defect is a node that believes itself in contact."""

    async def test(control_plane: ControlPlane) -> None:
        contact = [True]
        fix_outcome(monkeypatch, outcome, contact)
        expected = 200 if outcome is CommitOutcome.COMMITTED else 409
        assert (await replace_config(control_plane, 3)).status == expected
        contact[0] = False
        if defect:
            monkeypatch.setattr(QuorumContactMonitor, "observe", lambda *_: QuorumContact.STABLE)
        started_at = trio.current_time()
        response = await replace_config(control_plane, 3)
        assert response.status == (expected if defect else 503)
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
        responses: list[ApiResponse] = []

        async def replace() -> None:
            responses.append(await replace_config(control_plane, 3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            await trio.sleep(0.4)
            assert not responses
            contact[0] = True
        assert responses[0].status == 200

    with_control_plane(monkeypatch, test)


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
    async def drain_node(control_plane: ControlPlane) -> None:
        started_at = trio.current_time()
        free = property(lambda node: trio.current_time() - started_at >= free_after_s)
        monkeypatch.setattr(ReplicationNode, "may_stop", free)
        await drain(control_plane)
        elapsed_s = trio.current_time() - started_at
        expected_s = min(free_after_s, DRAIN_SHARE * control_plane.settings.guarantees.grace_s)
        assert control_plane.replication.stopping and control_plane.api_server.draining
        assert expected_s <= elapsed_s <= expected_s + 0.06

    with_control_plane(monkeypatch, drain_node)
