"""Logs of the gateway's processes: one line of key=value pairs for each event, written through eliot."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping

import eliot

from wickspring.logs import format_pairs

_ENVELOPE_KEYS = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "node"})
_node_name = "-"


def _write(message: Mapping[str, object]) -> None:
    written_at = message.get("timestamp")
    pairs: list[tuple[str, object]] = [
        ("at", round(written_at, 3) if isinstance(written_at, float) else 0.0),  # seconds since 1970
        ("node", _node_name),
        ("event", message.get("message_type", "-")),
    ]
    pairs += [(key, value) for key, value in message.items() if key not in _ENVELOPE_KEYS]
    sys.stderr.write(format_pairs(pairs) + "\n")


class _EventHandler(logging.Handler):
    """Writes what modules shared with the ingress log by `logging`, as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as one event."""
        pairs = dict(getattr(record, "kv", {}))
        if record.exc_info:
            pairs["error"] = repr(record.exc_info[1])
        log_event(record.getMessage(), **pairs)


def setup_logging(node_name: str) -> None:
    """Write events to standard error from now on, with the name of this node."""
    global _node_name
    _node_name = node_name
    eliot.add_destinations(_write)
    logger = logging.getLogger("wickspring")
    logger.addHandler(_EventHandler())
    logger.setLevel(logging.INFO)


def log_event(name: str, **pairs: object) -> None:
    """Log an event with its values; `docs/operators/gateway.md` lists all events."""
    eliot.log_message(message_type=name, **pairs)
