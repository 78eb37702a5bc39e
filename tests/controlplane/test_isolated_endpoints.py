"""Heartbeats and updates of endpoints while a control-plane node is isolated."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from tests.common.test_decoding import SETTINGS
from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    VirtualSystem,
    deregister,
    ready_endpoint,
    replace_config,
    run_virtual_system,
    send_heartbeat,
)
from wickspring.common import settings as settings_module
from wickspring.common.config_status import QuorumContact
from wickspring.common.endpoints import GONE, READY
from wickspring.common.messages import EndpointsLost, EndpointSnapshot, Message, QuotaTotal
from wickspring.controlplane.endpoint_registry import EndpointRegistry
from wickspring.dataplane.endpoint_table import EndpointTable


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
        target_ip = target.partition(":")[0]
        assert target_ip in CONTROL_PLANES[1:3]
        system.cut(target_ip)
        await system.wait_until(lambda: not control_plane.replication.peers.is_reachable(target_ip))
        await system.wait_until(lambda: control_plane.replication.in_contact)
        response = await send_heartbeat(control_plane, "i1", 2)
        assert response.status == 200 and target.encode() not in response.body

    run_virtual_system(monkeypatch, cut_off)


def test_updates_of_an_isolated_node_undo_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """An endpoint times out and another ends while one node, which data planes reach, is isolated."""

    async def cut_off(system: VirtualSystem) -> None:
        isolated_node = system.control_planes[CONTROL_PLANES[2]]
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        await replace_config(control_plane, 1)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        for endpoint_id in ("unresponsive", "ended", "well"):
            assert (await send_heartbeat(isolated_node, endpoint_id, 40)).status == 200
        await system.wait_until(lambda: len(data_plane.endpoints.by_id) == 3)
        system.cut(isolated_node.settings.ip, reachable=DATA_PLANES)
        assert (await system.commit_config(CONTROL_PLANES[0], 2)).status == 200
        assert (await send_heartbeat(control_plane, "ended", 41, "draining")).status == 200
        assert (await deregister(control_plane, "ended")).status == 200
        sent: list[Message] = []
        for session in isolated_node.data_planes:
            send = session.connection.send

            def record(message: Message, send: Callable[..., None] = send) -> None:
                sent.append(message)
                send(message)

            monkeypatch.setattr(session.connection, "send", record)
        sequence = 41
        while not data_plane.endpoints.by_id["unresponsive"].unresponsive:
            sequence += 1
            assert sequence < 60
            assert (await send_heartbeat(control_plane, "well", sequence)).status == 200
            await trio.sleep(1.0)
        for _ in range(8):  # the isolated node still lists them
            for session in isolated_node.data_planes:
                isolated_node.endpoints.send_snapshot(session)
            sequence += 1
            await send_heartbeat(control_plane, "well", sequence)
            await trio.sleep(1.0)
        assert data_plane.endpoints.by_id["unresponsive"].unresponsive
        assert not data_plane.endpoints.accepts("ended")
        assert not data_plane.endpoints.by_id["well"].unresponsive
        assert any(isinstance(message, EndpointSnapshot) for message in sent)
        assert not any(isinstance(message, EndpointsLost | QuotaTotal) for message in sent)
        system.heal()
        await system.wait_until(lambda: isolated_node.components.contact.observe() is QuorumContact.STABLE)
        assert not data_plane.endpoints.by_id["well"].unresponsive
        assert not data_plane.endpoints.accepts("ended")
        assert data_plane.endpoints.by_id["unresponsive"].unresponsive
        assert (await send_heartbeat(isolated_node, "well", sequence + 1)).status == 200
        present = isolated_node.components.registry.present()
        assert [endpoint.id for endpoint in present if endpoint.state == READY] == ["well"]

    run_virtual_system(monkeypatch, cut_off)


def test_incomplete_snapshots_bring_no_endpoint_back() -> None:
    endpoints = EndpointTable()
    endpoints.update(0.0, ready_endpoint("i1", 4))
    endpoints.record_unresponsive(["i1"])
    assert (
        not endpoints.update(1.0, ready_endpoint("i1", 9), fresh=False) and endpoints.by_id["i1"].unresponsive
    )
    assert (
        endpoints.update(1.0, ready_endpoint("i2", 9), fresh=False) and not endpoints.by_id["i2"].unresponsive
    )
    endpoints.record_departures({"i2": GONE})
    endpoints.update(2.0, ready_endpoint("i2", 99))
    assert not endpoints.accepts("i2")
    assert endpoints.update(3.0, ready_endpoint("i1", 10)) and not endpoints.by_id["i1"].unresponsive


def test_a_heartbeat_to_another_node_brings_an_endpoint_back() -> None:
    registry = EndpointRegistry(1500.0)
    registry.record_heartbeat(0.0, ready_endpoint("i1"))
    assert registry.expire(5000.0) == ["i1"] and not registry.present()
    assert [endpoint.id for endpoint in registry.record_liveness(5100.0, [("i1", 2), ("i9", 1)])] == ["i1"]
    assert [endpoint.id for endpoint in registry.present()] == ["i1"] and registry.expire(5200.0) == []
