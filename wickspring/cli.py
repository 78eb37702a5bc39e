"""Entry point: `serve` goes straight to the ingress, everything else to the commands."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Sequence

import trio

from wickspring import config, logs
from wickspring.command_line.errors import ExitCode
from wickspring.settings.errors import ConfigError

log = logging.getLogger(__name__)


def serve() -> int:
    """Run one ingress as GW_CONFIG says, and return its exit code."""
    from wickspring.net import server

    logs.setup()
    try:
        instance = config.from_environment()
        trio.run(server.run, instance, None, config.reread_environment)
    except ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        return ExitCode.USAGE
    except OSError as error:
        log.error("cannot_serve", extra=logs.kv(reason=error))
        return ExitCode.FAILED
    return ExitCode.OK


def main(words: Sequence[str] | None = None) -> int:
    """Run the command that the words name, by default those of the process, and return its exit code."""
    given = list(sys.argv[1:] if words is None else words)
    if given == ["serve"]:
        return serve()  # an ingress loads no command line
    from wickspring.commands import run_command

    try:
        code = run_command(given)
        sys.stdout.flush()
    except KeyboardInterrupt:
        sys.stderr.write("interrupted\n")
        return ExitCode.FAILED
    except BrokenPipeError:  # whoever read the output has gone; nothing more can be written, not even at exit
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED
    return code
