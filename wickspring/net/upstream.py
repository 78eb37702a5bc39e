"""Ticket servers: jobs, and a pool of connections for each server.

A job is one exchange with a ticket server, an attempt or a probe. It ends once, with one of the outcomes
of the protocol's table. Nothing here ever sends a job a second time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import trio

from wickspring import interface as api
from wickspring.interface import Status
from wickspring.logs import kv
from wickspring.net.clock import Clock
from wickspring.net.timers import Timer, Timers

log = logging.getLogger(__name__)

IDLE_SHARE = 0.6  # of the servers' IdleClose: a connection idle for longer is closed, not written to
SWEEP_MS = 1000.0
OCTAVES, FIRST_OCTAVE = 12, 32.0  # of idle times, and ms that the first one lasts
REMEMBERED, MORE_RESETS = 0.9, 0.1  # kept at each sweep; share of resets above the usual that is borne
MOST_ANSWER = 64 * 1024


@dataclass(slots=True)
class Reply:
    """How a job ended."""

    status: Status
    load: tuple[float, ...] = ()
    body: bytes = b""
    settled_units: float = 0.0
    fleet_use: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """One exchange: what to send, until when to wait, and whom to tell."""

    server: api.ServerId
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    until: float
    done: Callable[[Reply], None]
    new_work: bool = True  # an attempt; a probe may go to a server that drains
    carrier: Carrier | None = None
    timer: Timer | None = None
    ended: bool = False

    def end(self, reply: Reply) -> None:
        """Tell the end, once."""
        if not self.ended:
            self.retire()
            self.done(reply)

    def retire(self) -> None:
        """End without telling."""
        self.ended, self.carrier = True, None
        if self.timer is not None:
            self.timer.cancel()


class Carrier(Protocol):
    """A connection to a ticket server, of either protocol."""

    idle_since: float

    def room(self) -> int:
        """How many more jobs it takes now; 0 where it takes none, as it ends or is full."""

    def begin(self, job: Job) -> None:
        """Carry a job; the connection may still be on its way up."""

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job."""

    def stale(self) -> bool:
        """Tell whether the peer has closed it, or may be about to."""

    def busy(self) -> bool:
        """Tell whether it carries a job."""

    def close(self) -> None:
        """End it; its jobs end by the protocol's table."""

    async def run(self) -> None:
        """Dial and serve to the end."""


@dataclass(slots=True)
class Pool:
    """The connections to one server, the last used at the end."""

    address: tuple[str, int]
    carriers: list[Carrier] = field(default_factory=list)


class Reuse:
    """How long a connection may have been idle and still be used, learnt from requests reset on such ones.

    Some ticket servers let go of idle connections far sooner than the settings say, and in a way that shows
    with the next request alone; what was written then counts as possibly run.
    """

    def __init__(self) -> None:
        self._used = [0.0] * OCTAVES  # by idle time, each octave twice as long as the one before
        self._reset = [0.0] * OCTAVES

    def _octave(self, idle: float) -> int:
        return min(OCTAVES - 1, int(max(idle, 0.0) / FIRST_OCTAVE).bit_length())

    def note(self, idle: float, reset: bool) -> None:
        """Note how a request ended on a connection that had been idle for so many milliseconds."""
        octave = self._octave(idle)
        self._used[octave] += 1.0
        self._reset[octave] += reset

    def forget(self) -> None:
        """Let go of a part, so that what is not trusted is tried again after some seconds."""
        self._used = [REMEMBERED * used for used in self._used]
        self._reset = [REMEMBERED * reset for reset in self._reset]

    def trusted(self, idle: float) -> bool:
        """Tell whether requests fare about as well as on connections that were hardly idle."""
        octave = self._octave(idle)
        usual = self._reset[0] / (self._used[0] + 1.0)
        return octave == 0 or self._reset[octave] <= 1.0 + (usual + MORE_RESETS) * self._used[octave]


class Upstream:
    """Starts and stops jobs; owns the pools."""

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        timers: Timers,
        nursery: trio.Nursery,
        may_send: Callable[[api.ServerId], bool],
        make: Callable[[Upstream, api.ServerId, tuple[str, int]], Carrier],
    ) -> None:
        self.settings, self.clock, self.timers, self.nursery = settings, clock, timers, nursery
        self.may_send, self._make = may_send, make
        self.pools: dict[api.ServerId, Pool] = {}
        self.dials = 0
        self.reuse = Reuse()
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)

    def start(self, job: Job, address: tuple[str, int] | None) -> None:
        """Carry a job on a connection that has room, or on a new one."""
        if address is None:
            job.end(Reply(Status.CONNECT_FAILED))
            return
        job.timer = self.timers.at(job.until, partial(self.stop, job, Reply(Status.TIMEOUT)))
        self.place(job, address)

    def place(self, job: Job, address: tuple[str, int]) -> None:
        """Give a job of which nothing has been written to a connection."""
        pool = self.pools.get(job.server)
        if pool is None or pool.address != address:
            if pool is not None:  # the server has moved; what is out at the old address may still answer
                self._close_idle(pool, 0.0)
            pool = self.pools[job.server] = Pool(address)
        carrier = self._ready(pool)
        if carrier is None:
            carrier = self._make(self, job.server, address)
            pool.carriers.append(carrier)
            self.dials += 1
            self._begin(carrier, job)
            self.nursery.start_soon(self._run, pool, carrier)
        else:
            self._begin(carrier, job)

    def _begin(self, carrier: Carrier, job: Job) -> None:
        job.carrier = carrier
        carrier.begin(job)

    def _ready(self, pool: Pool) -> Carrier | None:
        """Return the connection used last of those with room, so that spare ones fall idle and go."""
        now = self.clock.now()
        oldest = now - IDLE_SHARE * self.settings.idle_close
        for carrier in reversed(pool.carriers):
            if carrier.room():
                # A server closes what is idle; its close may have come and not been read yet, and work
                # written after it would count as possibly run.
                since = carrier.idle_since
                if not carrier.busy() and (
                    since < oldest or not self.reuse.trusted(now - since) or carrier.stale()
                ):
                    carrier.close()
                    continue
                return carrier
        return None

    async def _run(self, pool: Pool, carrier: Carrier) -> None:
        try:
            await carrier.run()
        except Exception as error:  # one server's oddity must not end the ingress
            log.exception("server_connection_failed", extra=kv(reason=error))
        finally:
            carrier.close()
            if carrier in pool.carriers:
                pool.carriers.remove(carrier)

    def freed(self, server: api.ServerId, carrier: Carrier) -> None:
        """Note that a connection has done its job: it goes to the end of its pool."""
        pool = self.pools.get(server)
        if pool is not None and carrier in pool.carriers and pool.carriers[-1] is not carrier:
            pool.carriers.remove(carrier)
            pool.carriers.append(carrier)

    def stop(self, job: Job, reply: Reply | None = None) -> None:
        """Stop waiting for a job; with a reply its end is told, without one it is not."""
        if job.ended:
            return
        carrier = job.carrier
        if reply is None:
            job.retire()
        else:
            job.end(reply)
        if carrier is not None:
            carrier.abandon(job)

    def _sweep(self) -> None:
        self.reuse.forget()
        oldest = self.clock.now() - IDLE_SHARE * self.settings.idle_close
        for server, pool in list(self.pools.items()):
            self._close_idle(pool, oldest if self.may_send(server) else 0.0)
            if not pool.carriers and not self.may_send(server):
                del self.pools[server]
        self.timers.at(self.clock.now() + SWEEP_MS, self._sweep)

    def _close_idle(self, pool: Pool, oldest: float) -> None:
        for carrier in list(pool.carriers):
            if not carrier.busy() and (not oldest or carrier.idle_since < oldest):
                carrier.close()
