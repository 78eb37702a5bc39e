"""The command line."""

from __future__ import annotations

import argparse
import importlib.metadata
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from wickspring import __version__, config, logs
from wickspring.net import server

log = logging.getLogger(__name__)


def serve(_: argparse.Namespace) -> int:
    """Run one ingress as GW_CONFIG says."""
    logs.setup()
    try:
        instance = config.from_environment()
        trio.run(server.run, instance)
    except config.ConfigError as error:
        log.error("bad_configuration", extra=logs.kv(reason=error))
        return 2
    except OSError as error:
        log.error("cannot_serve", extra=logs.kv(reason=error))
        return 1
    return 0


def check_config(arguments: argparse.Namespace) -> int:
    """Check a configuration file and name the first key at fault."""
    try:
        instance = config.load_instance(arguments.file, {}, arguments.http2)
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    settings = instance.settings
    print(f"{instance.name}: {len(settings.classes)} classes, {len(settings.plans)} plans, "
          f"{len(instance.known.servers)} ticket servers known")  # fmt: skip
    return 0


def version(_: argparse.Namespace) -> int:
    """Print the version of the program and of what it serves with."""
    print(f"wickspring {__version__}")
    for name in ("trio", "h11", "h2", "msgspec"):
        print(f"{name} {importlib.metadata.version(name)}")
    return 0


def parser() -> argparse.ArgumentParser:
    """Build the parser of all sub-commands."""
    top = argparse.ArgumentParser(prog="wickspring", description="Gateway of a shared ticketing service.")
    commands = top.add_subparsers(dest="command", required=True)
    add = commands.add_parser("serve", help="run one ingress; GW_CONFIG names its configuration")
    add.set_defaults(run=serve)
    add = commands.add_parser("check-config", help="check a configuration file")
    add.add_argument("file", type=Path)
    add.add_argument("--http2", type=Path, default=config.HTTP2_FILE, help="the HTTP/2 file")
    add.set_defaults(run=check_config)
    add = commands.add_parser("version", help="print the version")
    add.set_defaults(run=version)
    return top


def main(words: Sequence[str] | None = None) -> int:
    """Run the sub-command that the words name."""
    arguments = parser().parse_args(words)
    code: int = arguments.run(arguments)
    return code
