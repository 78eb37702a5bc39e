"""How either program runs and ends: logs, signals, garbage."""

from __future__ import annotations

import gc
import secrets
import signal
from collections.abc import Awaitable, Callable

import trio

from wickspring.common import logs as logs_module
from wickspring.common import settings as settings_module
from wickspring.common import settings_file
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.errors import GatewayError

GC_AFTER = 50_000  # new objects; fewer runs of the collector, each over more

Run = Callable[[Bootstrap, int, trio.Event], Awaitable[None]]


async def _signals(ended: trio.Event, reread: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for one in signals:
            logs_module.log_event("signal_received", number=int(one))
            if one == signal.SIGHUP:
                reread()
            else:
                ended.set()


def _reread() -> None:
    """Read the settings file again; what it says of seeds is for later lives, but a fault in it is news."""
    try:
        settings_module.parse_settings(settings_file.read_settings_file())
    except GatewayError as error:
        logs_module.log_event("settings_invalid", reason=error)


async def _main(run: Run, started: Bootstrap) -> None:
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_signals, ended, _reread)
        await run(started, secrets.randbits(32), ended)
        nursery.cancel_scope.cancel()


def main(run: Run, started: Bootstrap) -> None:
    """Run a program to its end."""
    logs_module.setup_logging(started.settings.node_name)
    gc.freeze()
    gc.set_threshold(GC_AFTER, 20, 20)
    gc.enable()
    trio.run(_main, run, started)
