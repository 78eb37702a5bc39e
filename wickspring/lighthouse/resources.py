"""What servers and operators may call: one handler object for each resource."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from zope.interface import Interface, implementer

from wickspring.harbour import log
from wickspring.harbour.kinds import ANSWERS, Fault, Kind
from wickspring.harbour.servers import DRAINING, GONE, READY, Server
from wickspring.lighthouse.chain import Hold
from wickspring.lighthouse.check import check

if TYPE_CHECKING:
    from wickspring.lighthouse.light import Light

BACK_S = 0.25  # after which a call that could not be made safe may come again
_STATES = {"ready": READY, "draining": DRAINING}


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
class Heartbeat:
    """`POST /servers/ID/heartbeat`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/heartbeat\Z")

    def __init__(self, light: Light) -> None:
        self.light = light

    def _read(self, call: Call) -> Server:
        told = msgspec.json.decode(call.body)
        info, how = told["build_info"], told["condition"]
        now = self.light.clock.now()
        left = 1000.0 * float(how.get("cold_left_s", 0))
        return Server(
            call.parts["id"], str(info["service"]), str(told["address"]), str(info.get("zone", "")),
            int(info.get("capacity", 1)), _STATES[how["state"]], int(how.get("call_seq", 0)),
            now + left if left > 0 else 0.0, str(info.get("generation", "")),
        )  # fmt: skip

    async def call(self, call: Call) -> Said:
        """Take a beat; one that says `draining` is answered once that can no longer be forgotten."""
        try:
            server = self._read(call)
        except (msgspec.DecodeError, UnicodeDecodeError, KeyError, TypeError, ValueError) as error:
            return fault(Fault(Kind.BAD_REQUEST, f"heartbeat: {error!r}"))
        self.light.beat(server)
        if server.state == DRAINING and not await self.light.leaves(server.id, DRAINING):
            return fault(Fault(Kind.NOT_SAFE_YET, "draining"))
        target = self.light.beat_target(server.zone)
        return Said(200, msgspec.json.encode({"beat_target": target} if target else {}))


@implementer(IResource)
class Deregister:
    """`POST /servers/ID/deregister`."""

    method, path = "POST", re.compile(r"/servers/(?P<id>[^/]{1,200})/deregister\Z")

    def __init__(self, light: Light) -> None:
        self.light = light

    async def call(self, call: Call) -> Said:
        """Take a server's word that it ends."""
        if await self.light.leaves(call.parts["id"], GONE):
            return Said(200)
        return fault(Fault(Kind.NOT_SAFE_YET, "deregister"))


@implementer(IResource)
class ConfigReplace:
    """`POST /config/replace`."""

    method, path = "POST", re.compile(r"/config/replace\Z")

    def __init__(self, light: Light) -> None:
        self.light = light

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


@implementer(IResource)
class ConfigRead:
    """`GET /config/read`."""

    method, path = "GET", re.compile(r"/config/read\Z")

    def __init__(self, light: Light) -> None:
        self.light = light

    async def call(self, call: Call) -> Said:
        """Return the newest configuration, whole, as the tail of the chain has it."""
        safe = await self.light.core.enter(Hold(), read=True)
        if safe is None:
            return fault(Fault(Kind.NOT_SAFE_YET, "no majority of the core answers"))
        if not safe.document:
            return fault(Fault(Kind.NO_CONFIG))
        return Said(200, safe.document)


@implementer(IResource)
class Status:
    """`GET /status`: what this core machine knows, for operators."""

    method, path = "GET", re.compile(r"/status\Z")

    def __init__(self, light: Light) -> None:
        self.light = light

    async def call(self, call: Call) -> Said:
        """Return it as JSON."""
        return Said(200, msgspec.json.encode(self.light.status()))


RESOURCES: tuple[Callable[[Any], Any], ...] = (Heartbeat, Deregister, ConfigReplace, ConfigRead, Status)
