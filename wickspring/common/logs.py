"""Logs of the gateway: one line of key=value pairs for each event, written by way of eliot."""

from __future__ import annotations

import sys
from typing import Any

import eliot

from wickspring.logs import quote

_SKIPPED = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "node"})
_node = ["-"]


def _write(message: dict[str, Any]) -> None:
    pairs = [("at", round(message.get("timestamp", 0.0), 3)), ("node", _node[0])]
    pairs.append(("event", message.get("message_type", "-")))
    pairs += [(key, value) for key, value in message.items() if key not in _SKIPPED]
    sys.stderr.write(" ".join(f"{key}={quote(value)}" for key, value in pairs) + "\n")


def setup_logging(node: str) -> None:
    """Have events written to standard error, under this node's name."""
    _node[0] = node
    eliot.add_destinations(_write)


def log_event(name: str, **pairs: object) -> None:
    """Log one event."""
    eliot.log_message(message_type=name, **pairs)
