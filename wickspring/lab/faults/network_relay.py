"""An emulated network: a user-space relay on loopback between parties, with faults by direction.

Each pair of source and target has a listener of its own. A direction is between two parties, whoever opened
the connection: a path that is cut in one direction also loses the answers on connections that were opened in
the other one, as with lost packets.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from wickspring.lab.experiments.scenario import NetFault

RECEIVE_BYTES = 65536
POLL_S = 0.005  # between checks whether a cut is over


@dataclass(eq=False)
class Rule:
    """A fault that is active, from any of its sources to any of its targets."""

    fault: NetFault
    sources: frozenset[str]
    targets: frozenset[str]

    def applies(self, source: str, target: str) -> bool:
        """Tell whether it applies to this direction."""
        if source in self.sources and target in self.targets:
            return True
        return not self.fault.one_way and target in self.sources and source in self.targets


@dataclass(eq=False)
class _RelayedConnection:
    """One relayed connection."""

    source: str
    target: str
    streams: list[trio.SocketStream] = field(default_factory=list)


class Relay:
    """All paths of a run."""

    def __init__(self, nursery: trio.Nursery, random: Random) -> None:
        self.nursery, self.random = nursery, random
        self.rules: list[Rule] = []
        self._paths: dict[tuple[str, str], str] = {}
        self._connections: set[_RelayedConnection] = set()

    async def path(self, source: str, target: str, address: Callable[[], str]) -> str:
        """Return where a source is to reach a target, whose own address may change."""
        known = self._paths.get((source, target))
        if known is None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            serve = partial(self._serve, source, target, address)
            self.nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
            known = self._paths[source, target] = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        return known

    def apply(self, fault: NetFault, sources: Iterable[str], targets: Iterable[str]) -> Rule:
        """Activate a fault; a reset happens at once, and is over."""
        rule = Rule(fault, frozenset(sources), frozenset(targets))
        if fault.kind == "reset":
            for connection in list(self._connections):
                if rule.applies(connection.source, connection.target) or rule.applies(
                    connection.target, connection.source
                ):
                    self.nursery.start_soon(self._end, connection)
        else:
            self.rules.append(rule)
        return rule

    def lift(self, rule: Rule) -> None:
        """Deactivate a fault."""
        if rule in self.rules:
            self.rules.remove(rule)

    def _active_fault(self, source: str, target: str, kind: str) -> NetFault | None:
        return next(
            (rule.fault for rule in self.rules if rule.fault.kind == kind and rule.applies(source, target)),
            None,
        )

    async def _open_path(self, source: str, target: str) -> None:
        while self._active_fault(source, target, "cut") is not None:
            await trio.sleep(POLL_S)

    async def _serve(
        self, source: str, target: str, address: Callable[[], str], near: trio.SocketStream
    ) -> None:
        connection = _RelayedConnection(source, target, [near])
        self._connections.add(connection)
        try:
            async with near:
                await self._open_path(source, target)  # the first packet of a dial, and its answer
                await self._open_path(target, source)
                host, _, port = address().rpartition(":")
                async with await trio.open_tcp_stream(host, int(port)) as far:
                    connection.streams.append(far)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._pump, near, far, source, target, nursery)
                        nursery.start_soon(self._pump, far, near, target, source, nursery)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except BaseExceptionGroup as group:
            rest = group.split((OSError, trio.BrokenResourceError, trio.ClosedResourceError))[1]
            if rest is not None:
                raise rest from group
        finally:
            self._connections.discard(connection)

    async def _end(self, connection: _RelayedConnection) -> None:
        for stream in connection.streams:
            await trio.aclose_forcefully(stream)

    async def _pump(
        self, near: trio.SocketStream, far: trio.SocketStream, source: str, target: str, nursery: trio.Nursery
    ) -> None:
        """Pass one direction on, as the faults of the moment have it."""
        while data := await near.receive_some(RECEIVE_BYTES):
            await self._open_path(source, target)
            late = self._active_fault(source, target, "delay")
            if late is not None:
                await trio.sleep((late.ms + late.jitter_ms * self.random.random()) / 1000.0)
                await self._open_path(source, target)
            slow = self._active_fault(source, target, "throttle")
            if slow is not None:
                await trio.sleep(len(data) / slow.bytes_s)
            if self._active_fault(source, target, "half") is not None:
                await far.send_all(data[: len(data) // 2])
                nursery.cancel_scope.cancel()  # half a message, and then nothing
                return
            await far.send_all(data)
        await self._open_path(source, target)
        nursery.cancel_scope.cancel()  # neither side says anything after its end
