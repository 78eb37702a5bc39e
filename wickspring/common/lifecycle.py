"""How a data plane or control-plane process runs and ends: logging, signals and garbage collection."""

from __future__ import annotations

import gc
import secrets
from collections.abc import Awaitable, Callable

import trio

from wickspring.common import logs as logs_module
from wickspring.common import settings as settings_module
from wickspring.common import settings_file
from wickspring.common.bootstrap import Bootstrap
from wickspring.common.errors import GatewayError
from wickspring.common.termination import RELOAD_SIGNAL, TERMINATION_SIGNALS, Termination

# Thresholds of the garbage collector. The first is far above the default (700 new objects): fewer runs, each
# over more objects, take less time in total.
GC_THRESHOLDS = (50_000, 20, 20)
SEED_BITS = 32

# A program: what it starts with, the seed of its random numbers, and the event that asks it to end.
Run = Callable[[Bootstrap, int, trio.Event], Awaitable[None]]


async def _handle_signals(termination: Termination, ended: trio.Event) -> None:
    with trio.open_signal_receiver(*TERMINATION_SIGNALS, RELOAD_SIGNAL) as signals:
        if termination.is_requested:
            logs_module.log_event("told_to_end_while_loading")
            ended.set()
        async for number in signals:
            logs_module.log_event("signal_received", number=int(number))
            if number == RELOAD_SIGNAL:
                _check_settings_file()
            else:
                termination.request()
                ended.set()


def _check_settings_file() -> None:
    """Log what is wrong with the settings file; `seeds` reads the seeds from it when they are needed."""
    try:
        settings_module.parse_settings(settings_file.read_settings_file())
    except GatewayError as error:
        logs_module.log_event("settings_invalid", reason=error)


async def _main(run: Run, started: Bootstrap) -> None:
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, started.termination, ended)
        await run(started, secrets.randbits(SEED_BITS), ended)
        nursery.cancel_scope.cancel()


def main(run: Run, started: Bootstrap) -> None:
    """Run a program until it ends; SIGTERM or SIGINT asks it to."""
    logs_module.setup_logging(started.settings.node_name)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    trio.run(_main, run, started)
