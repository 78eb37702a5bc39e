"""`POST /servers/ID/heartbeat`: the heartbeat of an endpoint, with its address, service and readiness.

Data planes and control-plane nodes send messages instead (`common.messages`).
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from wickspring.common.endpoints import DRAINING, READY, Endpoint
from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.settings_file import parse_address
from wickspring.controlplane.api.calls import (
    NO_QUORUM,
    ApiRequest,
    ApiResponse,
    ControlPlaneHandler,
    error_response,
)

MAX_SLOTS = 100_000
MAX_SEQUENCE = 2**62  # msgpack cannot carry larger integers between nodes
MAX_WARM_UP_S = 1e6

_STATES = {"ready": READY, "draining": DRAINING}


class _BuildInfo(msgspec.Struct):
    """The field `build_info` of a heartbeat: service, zone and capacity of the endpoint."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    zone: str = ""
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 1
    generation: str = ""


class _Condition(msgspec.Struct):
    """The field `condition` of a heartbeat: readiness and remaining warm-up of the endpoint."""

    state: Literal["ready", "draining"]
    call_seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)] = 0
    cold_left_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARM_UP_S)] = 0.0


class _HeartbeatBody(msgspec.Struct):
    """The body of a heartbeat."""

    address: str
    build_info: _BuildInfo
    condition: _Condition


def _read_endpoint(endpoint_id: str, body: bytes, now: float) -> Endpoint:
    """Read an endpoint from the body of its heartbeat; raises where the body is malformed."""
    heartbeat = msgspec.json.decode(body, type=_HeartbeatBody, strict=False)
    parse_address(heartbeat.address)
    build_info = heartbeat.build_info
    condition = heartbeat.condition
    cold_left_ms = 1000.0 * condition.cold_left_s
    return Endpoint(
        endpoint_id,
        build_info.service,
        heartbeat.address,
        build_info.zone,
        build_info.capacity,
        _STATES[condition.state],
        condition.call_seq,
        now + cold_left_ms if cold_left_ms > 0 else 0.0,
        build_info.generation,
    )


class Heartbeat(ControlPlaneHandler):
    """Handles an endpoint's heartbeat, `POST /servers/ID/heartbeat`."""

    method = "POST"
    path = re.compile(r"/servers/(?P<id>[^/]{1,200})/heartbeat\Z")

    async def call(self, request: ApiRequest) -> ApiResponse:
        """Register the endpoint; `draining` is acknowledged once it is committed."""
        endpoints = self._control_plane.endpoints
        try:
            endpoint = _read_endpoint(request.parts["id"], request.body, self._control_plane.clock.now())
        except (msgspec.MsgspecError, UnicodeDecodeError, GatewayError) as error:
            return error_response(ErrorDetail(ErrorKind.BAD_REQUEST, f"heartbeat: {error}"))
        if self._control_plane.updates.out_of_contact:  # other nodes may count the server as lost
            return error_response(NO_QUORUM)
        endpoints.receive_heartbeat(endpoint)
        if endpoint.state == DRAINING and not await endpoints.commit_departure(endpoint.id, DRAINING):
            return error_response(ErrorDetail(ErrorKind.NOT_COMMITTED, "draining"))
        target = endpoints.heartbeat_target(endpoint.zone)
        return ApiResponse(200, msgspec.json.encode({"beat_target": target} if target else {}))
