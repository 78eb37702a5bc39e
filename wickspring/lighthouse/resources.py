"""What servers and operators may call: one handler object for each resource."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec
from zope.interface import Interface, implementer

from wickspring.harbour import log
from wickspring.harbour.kinds import ANSWERS, Fault, FaultError, Kind
from wickspring.harbour.lines import parse_address
from wickspring.harbour.servers import DRAINING, GONE, READY, Server
from wickspring.lighthouse import snapshot
from wickspring.lighthouse.chain import Hold
from wickspring.lighthouse.check import check

if TYPE_CHECKING:
    from wickspring.lighthouse.light import Light

BACK_S = 0.25  # after which a call that could not be made safe may come again
_STATES = {"ready": READY, "draining": DRAINING}
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


@dataclass(slots=True)
class Call:
    """One call."""

    method: str
    path: str
    body: bytes
    parts: dict[str, str] = field(default_factory=dict)  # of the path, by name


@dataclass(slots=True)
class Said:
    """What is answered."""

    status: int
    body: bytes = b"{}"
    retry_after: str = ""


def fault(what: Fault) -> Said:
    """Answer a fault by its kind."""
    said = msgspec.json.encode({"kind": what.kind.value, "reason": what.reason})
    return Said(what.status, said, f"{BACK_S}" if ANSWERS[what.kind].comes_back else "")


class IResource(Interface):  # type: ignore[misc]
    """A handler of one resource."""

    def call(self, call: Call) -> Any:
        """Await the answer."""


@implementer(IResource)
class _Resource:
    """What every handler has."""

    def __init__(self, light: Light) -> None:
        self.light = light


class Heartbeat(_Resource):
    """`POST /servers/ID/heartbeat`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/heartbeat\Z")

    def _read(self, call: Call) -> Server:
        told = msgspec.json.decode(call.body, type=_Beat, strict=False)
        info, how = told.build_info, told.condition
        parse_address(told.address)
        left = 1000.0 * how.cold_left_s
        return Server(
            call.parts["id"], info.service, told.address, info.zone, info.capacity, _STATES[how.state],
            how.call_seq, self.light.clock.now() + left if left > 0 else 0.0, info.generation,
        )  # fmt: skip

    async def call(self, call: Call) -> Said:
        """Take a beat; one that says `draining` is answered once that can no longer be forgotten."""
        try:
            server = self._read(call)
        except (msgspec.MsgspecError, UnicodeDecodeError, FaultError) as error:
            return fault(Fault(Kind.BAD_REQUEST, f"heartbeat: {error}"))
        self.light.beat(server)
        if server.state == DRAINING and not await self.light.leaves(server.id, DRAINING):
            return fault(Fault(Kind.NOT_SAFE_YET, "draining"))
        target = self.light.beat_target(server.zone)
        return Said(200, msgspec.json.encode({"beat_target": target} if target else {}))


class Deregister(_Resource):
    """`POST /servers/ID/deregister`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/deregister\Z")

    async def call(self, call: Call) -> Said:
        """Take a server's word that it ends."""
        if await self.light.leaves(call.parts["id"], GONE):
            return Said(200)
        return fault(Fault(Kind.NOT_SAFE_YET, "deregister"))


class ConfigReplace(_Resource):
    """`POST /config/replace`."""

    method, path = "POST", re.compile(r"/config/replace\Z")

    async def call(self, call: Call) -> Said:
        """Check a whole configuration, and acknowledge it once it is safe."""
        checked = check(call.body)
        if checked.is_error():
            log.event("config_refused", reason=checked.error.reason)
            return fault(checked.error)
        version = checked.ok
        safe = await self.light.core.enter(Hold(version, call.body))
        if safe is None or safe.version < version:
            log.event("config_not_safe", version=version)
            return fault(Fault(Kind.NOT_SAFE_YET, "configuration"))
        log.event("config_acknowledged", version=version, held=safe.version)
        return Said(200, msgspec.json.encode({"generation": f"r{safe.version}"}))


class ConfigRead(_Resource):
    """`GET /config/read`."""

    method, path = "GET", re.compile(r"/config/read\Z")

    async def call(self, call: Call) -> Said:
        """Return the newest configuration, whole, as the tail of the chain has it."""
        safe = await self.light.core.enter(Hold(), read=True)
        if safe is None:
            return fault(Fault(Kind.NOT_SAFE_YET, "no majority of the core answers"))
        if not safe.document:
            return fault(Fault(Kind.NO_CONFIG))
        return Said(200, safe.document)


class TakeSnapshot(_Resource):
    """`GET /snapshot`: all that the chain keeps, for an operator to put away."""

    method, path = "GET", re.compile(r"/snapshot\Z")

    async def call(self, call: Call) -> Said:
        """Return it, as the tail of the chain has it."""
        safe = await self.light.core.enter(Hold(), read=True)
        if safe is None:
            return fault(Fault(Kind.NOT_SAFE_YET, "no majority of the core answers"))
        return Said(200, snapshot.pack(safe, self.light.core.chain.view.epoch))


class BringSnapshot(_Resource):
    """`POST /snapshot`: bring back what an operator has put away."""

    method, path = "POST", re.compile(r"/snapshot\Z")

    async def call(self, call: Call) -> Said:
        """Join it with what is held; answered once that is safe."""
        read = snapshot.unpack(call.body)
        if read.is_error():
            return fault(read.error)
        brought = read.ok
        safe = await self.light.core.enter(brought, read=True)
        if safe is None:
            return fault(Fault(Kind.NOT_SAFE_YET, "snapshot"))
        log.event("snapshot_brought", version=brought.version, held=safe.version, leavers=len(safe.leavers))
        told = {"generation": f"r{safe.version}", "leavers": len(safe.leavers)}
        return Said(200, msgspec.json.encode(told))


class Status(_Resource):
    """`GET /status`: what this core machine knows, for operators."""

    method, path = "GET", re.compile(r"/status\Z")

    async def call(self, call: Call) -> Said:
        """Return it as JSON."""
        return Said(200, msgspec.json.encode(self.light.status()))


RESOURCES: tuple[Callable[[Any], Any], ...] = (
    Heartbeat, Deregister, ConfigReplace, ConfigRead, TakeSnapshot, BringSnapshot, Status,
)  # fmt: skip
