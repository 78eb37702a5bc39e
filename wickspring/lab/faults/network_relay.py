"""A stand-in network: a user-space relay on loopback between parties, with faults by direction.

Between a source and a target lies one listener; what a source sends goes the one way, what it is answered the
other way, and each way is a direction between two parties, whoever opened the connection. So a path that is
cut one way also takes the answers away from connections that were opened the other way, as lost packets do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from wickspring.lab.experiments.scenario import NetFault

PIECE = 65536
LOOK_S = 0.005  # between looks whether a cut is over


@dataclass(eq=False)
class Rule:
    """A fault that holds now, from any of some parties to any of others."""

    fault: NetFault
    sources: frozenset[str]
    targets: frozenset[str]

    def holds(self, source: str, target: str) -> bool:
        """Tell whether it holds in this direction."""
        if source in self.sources and target in self.targets:
            return True
        return not self.fault.one_way and target in self.sources and source in self.targets


@dataclass(eq=False)
class _Passage:
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
        self._passages: set[_Passage] = set()

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
        """Have a fault hold from now on; a reset happens at once, and is over."""
        rule = Rule(fault, frozenset(sources), frozenset(targets))
        if fault.kind == "reset":
            for passage in list(self._passages):
                if rule.holds(passage.source, passage.target) or rule.holds(passage.target, passage.source):
                    self.nursery.start_soon(self._end, passage)
        else:
            self.rules.append(rule)
        return rule

    def lift(self, rule: Rule) -> None:
        """Have a fault be over."""
        if rule in self.rules:
            self.rules.remove(rule)

    def _holding(self, source: str, target: str, kind: str) -> NetFault | None:
        return next(
            (rule.fault for rule in self.rules if rule.fault.kind == kind and rule.holds(source, target)),
            None,
        )

    async def _open_path(self, source: str, target: str) -> None:
        while self._holding(source, target, "cut") is not None:
            await trio.sleep(LOOK_S)

    async def _serve(
        self, source: str, target: str, address: Callable[[], str], near: trio.SocketStream
    ) -> None:
        passage = _Passage(source, target, [near])
        self._passages.add(passage)
        try:
            async with near:
                await self._open_path(source, target)  # the first packet of a dial, and its answer
                await self._open_path(target, source)
                host, _, port = address().rpartition(":")
                async with await trio.open_tcp_stream(host, int(port)) as far:
                    passage.streams.append(far)
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
            self._passages.discard(passage)

    async def _end(self, passage: _Passage) -> None:
        for stream in passage.streams:
            await trio.aclose_forcefully(stream)

    async def _pump(
        self, near: trio.SocketStream, far: trio.SocketStream, source: str, target: str, nursery: trio.Nursery
    ) -> None:
        """Pass one direction on, as the faults of the moment have it."""
        while data := await near.receive_some(PIECE):
            await self._open_path(source, target)
            late = self._holding(source, target, "delay")
            if late is not None:
                await trio.sleep((late.ms + late.jitter_ms * self.random.random()) / 1000.0)
                await self._open_path(source, target)
            slow = self._holding(source, target, "throttle")
            if slow is not None:
                await trio.sleep(len(data) / slow.bytes_s)
            if self._holding(source, target, "half") is not None:
                await far.send_all(data[: len(data) // 2])
                nursery.cancel_scope.cancel()  # half a message, and then nothing
                return
            await far.send_all(data)
        await self._open_path(source, target)
        nursery.cancel_scope.cancel()  # neither side says anything after its end
