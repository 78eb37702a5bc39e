"""Log lines as key=value pairs on standard error."""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterable

_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/-+*,$[]")


def quote(value: object) -> str:
    """Write a value so that a line can be split at its spaces, and ends only at its end."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and _PLAIN.issuperset(text):
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"')
    if not text.isprintable():
        text = "".join(map(_escape, text))
    return f'"{text}"'


def _escape(character: str) -> str:
    """Write a character that ends lines, or cannot be seen, by its code."""
    return character if character.isprintable() else character.encode("unicode_escape").decode()


def format_pairs(pairs: Iterable[tuple[str, object]]) -> str:
    """Write pairs as one line, `key=value key=value`."""
    return " ".join(f"{key}={quote(value)}" for key, value in pairs)


class KeyValueFormatter(logging.Formatter):
    """Time, level, logger and event, then the pairs given as `extra={"kv": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Write one record as one line."""
        pairs: dict[str, object] = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return format_pairs(pairs.items())


def kv(**pairs: object) -> dict[str, dict[str, object]]:
    """Give pairs to a log call: `log.info("event", extra=kv(key=value))`."""
    return {"kv": pairs}


def setup(level: int = logging.INFO) -> None:
    """Send all log lines to standard error in the key=value form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
