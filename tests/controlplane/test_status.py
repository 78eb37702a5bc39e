"""The names in the JSON of `GET /status`: operators and `wickspring.ctl` read them."""

from __future__ import annotations

import json

import pytest

from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    VirtualSystem,
    replace_config,
    run_virtual_system,
    send_heartbeat,
)
from wickspring.controlplane.api.calls import ApiRequest
from wickspring.controlplane.api.status import Status

TOP_NAMES = ["node", "chain", "core", "pilots", "servers", "counts"]
CHAIN_NAMES = [
    "epoch",
    "members",
    "voters",
    "member",
    "contact",
    "frozen",
    "steady",
    "held",
    "safe",
    "disk",
    "short",
    "stored_generation",
    "committed_generation",
]
NODE_NAMES = [
    "live",
    "behind",
    "disk",
    "epoch",
    "safe_epoch",
    "version",
    "leaving",
    "leaving_sum",
    "identity",
    "ill",
    "zone",
    "control",
    "sees",
    "generation",
]
SERVER_NAMES = ["id", "service", "address", "zone", "state", "slots", "silent_s"]


def test_status_keeps_its_names(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read_status(system: VirtualSystem) -> None:
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        assert (await replace_config(control_plane, 3)).status == 200
        assert (await send_heartbeat(control_plane, "i1", 1)).status == 200
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 3)
        control_plane.components.quota_counter.acquire(control_plane.clock.now(), "t", "p", 5.0, 5.0)
        control_plane.replication.peers.statuses.pop(CONTROL_PLANES[2])  # as before its first report
        response = await Status(control_plane).call(ApiRequest("GET", "/status", b""))
        assert response.status == 200
        status = json.loads(response.body)
        assert list(status) == TOP_NAMES
        assert list(status["chain"]) == CHAIN_NAMES
        assert status["chain"]["held"] == status["chain"]["safe"] == 3
        assert status["chain"]["stored_generation"] == status["chain"]["committed_generation"] == "r3"
        assert status["chain"]["contact"] == "settled" and status["chain"]["member"] is True
        assert list(status["core"]) == list(CONTROL_PLANES[1:3])
        assert list(status["core"][CONTROL_PLANES[1]]) == NODE_NAMES
        assert list(status["core"][CONTROL_PLANES[2]]) == ["live", "behind"]
        assert status["pilots"] == [DATA_PLANES[0]]
        assert [list(server) for server in status["servers"]] == [SERVER_NAMES]
        assert status["servers"][0]["state"] == "ready"
        assert list(status["counts"]["t"]) == ["in_span", "left"] and status["counts"]["t"]["in_span"] == 1

    run_virtual_system(monkeypatch, read_status)
