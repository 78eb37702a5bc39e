"""The way in: `serve` goes straight to the ingress, all else to the commands."""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence

import trio

from wickspring import config, logs

log = logging.getLogger(__name__)


def serve() -> int:
    """Run one ingress as GW_CONFIG says."""
    from wickspring.net import server

    logs.setup()
    try:
        instance = config.from_environment()
        trio.run(server.run, instance, None, config.reread_environment)
    except config.ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        return 2
    except OSError as error:
        log.error("cannot_serve", extra=logs.kv(reason=error))
        return 1
    return 0


def main(words: Sequence[str] | None = None) -> int:
    """Run the command that the words name; return its exit code."""
    given = list(sys.argv[1:] if words is None else words)
    if given == ["serve"]:
        return serve()  # an ingress pays for no command line
    from wickspring.commands import top

    try:
        top.main(args=given, prog_name="wickspring")
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else int(end.code is not None)
    return 0
