"""What servers and operators may call: one handler object for each resource."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec
from zope.interface import Interface, implementer

from wickspring.common import logs
from wickspring.common.endpoints import DRAINING, GONE, READY, Endpoint
from wickspring.common.errors import ErrorDetail, ErrorKind, GatewayError
from wickspring.common.settings_file import parse_address
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, ControlPlaneApi, error_response
from wickspring.controlplane.api.config_validation import validate_config
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update

_STATES = {"ready": READY, "draining": DRAINING}
NO_QUORUM = ErrorDetail(ErrorKind.NOT_SAFE_YET, "no majority of the core answers")
MOST_SLOTS = 100_000
MOST_SEQ = 2**62  # what is larger cannot be told over a cable


class _Info(msgspec.Struct):
    """`build_info` of a beat."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    zone: str = ""
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MOST_SLOTS)] = 1
    generation: str = ""


class _Condition(msgspec.Struct):
    """`condition` of a beat."""

    state: Literal["ready", "draining"]
    call_seq: Annotated[int, msgspec.Meta(ge=0, le=MOST_SEQ)] = 0
    cold_left_s: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0


class _Beat(msgspec.Struct):
    """The body of a beat."""

    address: str
    build_info: _Info
    condition: _Condition


class IResource(Interface):  # type: ignore[misc]
    """A handler of one resource."""

    def call(self, call: ApiRequest) -> Any:
        """Await the answer."""


@implementer(IResource)
class _Resource:
    """What every handler has."""

    def __init__(self, control_plane: ControlPlaneApi) -> None:
        self.control_plane = control_plane

    async def _read_all(self) -> Replica | None:
        """Return all that the chain keeps, as of now; None where that cannot be told."""
        entered = await self.control_plane.order(Update(), read=True)
        return entered.replica if entered.verdict is CommitOutcome.SAFE else None


class Heartbeat(_Resource):
    """`POST /servers/ID/heartbeat`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/heartbeat\Z")

    def _read(self, call: ApiRequest) -> Endpoint:
        told = msgspec.json.decode(call.body, type=_Beat, strict=False)
        info, how = told.build_info, told.condition
        parse_address(told.address)
        left = 1000.0 * how.cold_left_s
        return Endpoint(
            call.parts["id"],
            info.service,
            told.address,
            info.zone,
            info.capacity,
            _STATES[how.state],
            how.call_seq,
            self.control_plane.clock.now() + left if left > 0 else 0.0,
            info.generation,
        )

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Take a beat; one that says `draining` is answered once that can no longer be forgotten."""
        try:
            server = self._read(call)
        except (msgspec.MsgspecError, UnicodeDecodeError, GatewayError) as error:
            return error_response(ErrorDetail(ErrorKind.BAD_REQUEST, f"heartbeat: {error}"))
        if self.control_plane.cut_off:  # the others may take the server for lost while it calls here
            return error_response(NO_QUORUM)
        self.control_plane.beat(server)
        if server.state == DRAINING and not await self.control_plane.leaves(server.id, DRAINING):
            return error_response(ErrorDetail(ErrorKind.NOT_SAFE_YET, "draining"))
        target = self.control_plane.beat_target(server.zone)
        return ApiResponse(200, msgspec.json.encode({"beat_target": target} if target else {}))


class Deregister(_Resource):
    """`POST /servers/ID/deregister`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/deregister\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Take a server's word that it ends."""
        if await self.control_plane.leaves(call.parts["id"], GONE):
            return ApiResponse(200)
        return error_response(ErrorDetail(ErrorKind.NOT_SAFE_YET, "deregister"))


class ConfigReplace(_Resource):
    """`POST /config/replace`."""

    method, path = "POST", re.compile(r"/config/replace\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Check a whole configuration, and acknowledge it once it is safe."""
        checked = validate_config(call.body)
        if checked.is_error():  # a fact of the text alone, so it is refused in contact or not
            logs.log_event("config_refused", reason=checked.error.reason)
            return error_response(checked.error)
        version = checked.ok
        entered = await self.control_plane.order(Update(version, call.body))
        if entered.verdict is not CommitOutcome.SAFE:
            return _not_safe(entered.verdict, "configuration", version)
        logs.log_event("config_acknowledged", version=version)
        return ApiResponse(200, msgspec.json.encode({"generation": f"r{version}"}))


def _not_safe(verdict: CommitOutcome, what: str, version: int = 0) -> ApiResponse:
    """Answer an order that is not kept: refused for good only where that can never change."""
    if verdict is CommitOutcome.CONFLICT:
        logs.log_event("config_conflict", version=version)
        return error_response(ErrorDetail(ErrorKind.VERSION_TAKEN, f"r{version} is another text's"))
    if version:
        logs.log_event("config_not_safe", version=version)
    return error_response(ErrorDetail(ErrorKind.NOT_SAFE_YET, what))


class ConfigRead(_Resource):
    """`GET /config/read`."""

    method, path = "GET", re.compile(r"/config/read\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Return the newest configuration, whole, as the chain has it."""
        safe = await self._read_all()
        if safe is None:
            return error_response(NO_QUORUM)
        if not safe.config.document:
            return error_response(ErrorDetail(ErrorKind.NO_CONFIG))
        return ApiResponse(200, safe.config.document)


class TakeSnapshot(_Resource):
    """`GET /snapshot`: all that the chain keeps, for an operator to put away."""

    method, path = "GET", re.compile(r"/snapshot\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Return it, as the chain has it."""
        safe = await self._read_all()
        return (
            error_response(NO_QUORUM)
            if safe is None
            else ApiResponse(200, snapshot.pack(safe, self.control_plane.epoch))
        )


class BringSnapshot(_Resource):
    """`POST /snapshot`: bring back what an operator has put away."""

    method, path = "POST", re.compile(r"/snapshot\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Join it with what is held; answered once that is safe."""
        read = snapshot.unpack(call.body)
        if read.is_error():
            return error_response(read.error)
        brought = read.ok
        entered = await self.control_plane.order(brought, read=True)
        if entered.verdict is not CommitOutcome.SAFE or entered.replica is None:
            return _not_safe(entered.verdict, "snapshot", brought.version)
        version, leaving = entered.replica.config.version, len(entered.replica.leaving)
        logs.log_event("snapshot_brought", version=brought.version, held=version, leaving=leaving)
        return ApiResponse(200, msgspec.json.encode({"generation": f"r{version}", "leaving": leaving}))


class Status(_Resource):
    """`GET /status`: what this core machine knows, for operators."""

    method, path = "GET", re.compile(r"/status\Z")

    async def call(self, call: ApiRequest) -> ApiResponse:
        """Return it as JSON."""
        return ApiResponse(200, msgspec.json.encode(self.control_plane.status()))


RESOURCES: tuple[Callable[[Any], Any], ...] = (
    Heartbeat,
    Deregister,
    ConfigReplace,
    ConfigRead,
    TakeSnapshot,
    BringSnapshot,
    Status,
)
