"""Metrics as text, and what both kinds of process tell by them."""

from __future__ import annotations

import pytest
import trio

from tests.support.virtual_system import CONTROL_PLANES, DATA_PLANES, VirtualSystem, run_virtual_system
from wickspring.common.metrics import Sample, event_samples, render_metrics
from wickspring.controlplane.api.calls import ApiRequest
from wickspring.controlplane.api.metrics import Metrics
from wickspring.dataplane.readiness import ReadinessProbe
from wickspring.net.http_server import HttpRequest


class RecordingClient:
    """Keeps the response that it is given."""

    status = 0
    body = b""

    def respond(self, status: int, _: str, body: bytes) -> None:
        self.status, self.body = status, body


def test_counts_become_samples_with_their_kind_as_a_label() -> None:
    counts = {"requests": 3, "attempts[answered]": 2, "state": "up"}
    assert render_metrics(event_samples(counts)) == (
        b'wickspring_requests 3\nwickspring_attempts{kind="answered"} 2\n'
    )


def test_label_values_are_escaped() -> None:
    assert Sample("units", 0.5, {"tenant": 'a"\\\n'}).render() == 'wickspring_units{tenant="a\\"\\\\\\n"} 0.5'


def test_both_kinds_of_process_give_their_metrics(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read(system: VirtualSystem) -> None:
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        await system.wait_until(lambda: control_plane.data_planes.live_count == 1)
        data_plane.quota.charge(0.0, "t")
        async with trio.open_nursery() as nursery:
            client = RecordingClient()
            probe = ReadinessProbe(data_plane, nursery, 64.0)
            probe.handle_request(client, HttpRequest("GET", "/metrics", {}, b""))  # type: ignore[arg-type]
        assert client.status == 200
        assert b"wickspring_control_planes_reachable 3\n" in client.body
        assert b'wickspring_quota_units_in_span{tenant="t"} 1\n' in client.body
        response = await Metrics(control_plane).call(ApiRequest("GET", "/metrics", b""))
        assert response.status == 200
        assert b"wickspring_data_planes_connected 1\n" in response.body

    run_virtual_system(monkeypatch, read)
