"""Contact with a quorum: observed by the clock, and what a control-plane node without it answers.

Real control planes and data planes run in virtual time (`tests/support/virtual_system.py`).
"""

from __future__ import annotations

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
    replace_config,
    run_virtual_system,
    run_with_control_plane,
    send_heartbeat,
)
from wickspring.common import settings as settings_module
from wickspring.common.config_status import QuorumContact
from wickspring.common.errors import GatewayError
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse
from wickspring.controlplane.api.config import ConfigReplace
from wickspring.controlplane.api.snapshot import SnapshotDownload, SnapshotRestore
from wickspring.controlplane.process import DRAIN_SHARE, ControlPlane, drain
from wickspring.controlplane.quorum_contact import (
    CONTACT_TIMEOUT_MS,
    ISOLATION_MS,
    QuorumContactMonitor,
)
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.controlplane.replication.replica import Replica, Update

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
        await drain(control_plane, control_plane.settings.guarantees.grace_s)
        elapsed_s = trio.current_time() - started_at
        expected_s = min(free_after_s, DRAIN_SHARE * control_plane.settings.guarantees.grace_s)
        assert control_plane.replication.stopping and control_plane.api_server.draining
        assert expected_s <= elapsed_s <= expected_s + 0.06

    run_with_control_plane(monkeypatch, drain_node)
