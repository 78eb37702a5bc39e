"""Data planes that reach only control-plane nodes without a quorum: which configurations they adopt.

Real control planes and data planes run in virtual time (`tests/support/virtual_system.py`). Tests with
a seeded defect check that the scenario detects it.
"""

from __future__ import annotations

from typing import cast

import pytest
import trio

from tests.support.recording_connection import RecordingConnection
from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    VirtualSystem,
    config_text,
    replace_config,
    run_virtual_system,
)
from wickspring.common.config_status import ConfigStatus
from wickspring.common.connection import PeerConnection
from wickspring.common.digest import digest_of
from wickspring.common.messages import (
    ConfigOffer,
)
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.process import ControlPlane
from wickspring.controlplane.quorum_contact import (
    ISOLATION_MS,
)
from wickspring.dataplane.policy import config_adoption


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


def seed_publishing_on_restore(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seed a defect: a starting node publishes the replica from its disk as committed."""
    restore = ControlPlane.restore

    def restore_and_publish(control_plane: ControlPlane) -> None:
        restore(control_plane)
        control_plane.on_committed(control_plane.replication.chain.replica)

    monkeypatch.setattr(ControlPlane, "restore", restore_and_publish)


def test_the_scenario_detects_state_sent_before_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    seed_publishing_on_restore(monkeypatch)
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
            seed_publishing_on_restore(monkeypatch)
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
