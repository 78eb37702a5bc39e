"""How either program runs and ends: logs, signals, garbage."""

from __future__ import annotations

import gc
import secrets
import signal
from collections.abc import Awaitable, Callable

import trio

from wickspring.harbour import boot as boots
from wickspring.harbour import lines, log
from wickspring.harbour.early import Started
from wickspring.harbour.kinds import FaultError

GC_AFTER = 50_000  # new objects; fewer runs of the collector, each over more

Run = Callable[[Started, int, trio.Event], Awaitable[None]]


async def _signals(ended: trio.Event, reread: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for one in signals:
            log.event("signal", number=int(one))
            if one == signal.SIGHUP:
                reread()
            else:
                ended.set()


def _reread() -> None:
    """Read the settings file again; what it says of seeds is for later lives, but a fault in it is news."""
    try:
        boots.read(lines.load())
    except FaultError as error:
        log.event("settings_bad", reason=error)


async def _main(run: Run, started: Started) -> None:
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_signals, ended, _reread)
        await run(started, secrets.randbits(32), ended)
        nursery.cancel_scope.cancel()


def main(run: Run, started: Started) -> None:
    """Run a program to its end."""
    log.setup(started.boot.node_name)
    gc.freeze()
    gc.set_threshold(GC_AFTER, 20, 20)
    gc.enable()
    trio.run(_main, run, started)
