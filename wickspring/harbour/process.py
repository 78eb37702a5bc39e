"""How either program starts and ends: settings, logs, signals, garbage."""

from __future__ import annotations

import gc
import secrets
import signal
import sys
from collections.abc import Awaitable, Callable

import trio

from wickspring.harbour import boot as boots
from wickspring.harbour import log
from wickspring.harbour.kinds import FaultError

GC_AFTER = 50_000  # new objects; fewer runs of the collector, each over more

Run = Callable[[boots.Boot, int, trio.Event], Awaitable[None]]


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
        boots.load()
    except FaultError as error:
        log.event("settings_bad", reason=error)


async def _main(run: Run, boot: boots.Boot) -> None:
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_signals, ended, _reread)
        await run(boot, secrets.randbits(32), ended)
        nursery.cancel_scope.cancel()


def main(run: Run) -> None:
    """Run a program to its end."""
    try:
        boot = boots.load()
    except FaultError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)
    log.setup(boot.node_name)
    gc.set_threshold(GC_AFTER, 20, 20)
    trio.run(_main, run, boot)
