"""Notifications of an ingress to its agent, in the form of sd_notify(3): lines of `NAME=value`."""

from __future__ import annotations

from dataclasses import dataclass

# Words of STATUS that count answered requests; the last one counts those that failed.
_ANSWERED = ("served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class Notification:
    """What a process reports of itself."""

    token: str  # tells which process it is
    ready: bool
    served: int  # requests answered since its start, whatever the answer
    failed: int  # of these


def parse_notification(data: bytes) -> Notification:
    """Read a datagram; what cannot be read counts as missing."""
    lines = data.decode("utf-8", "replace").split("\n")
    pairs = dict(line.partition("=")[::2] for line in lines)
    words = dict(word.partition("=")[::2] for word in pairs.get("STATUS", "").split())
    counts = [_parse_count(words.get(name, "")) for name in _ANSWERED]
    return Notification(pairs.get("X_TOKEN", ""), pairs.get("READY") == "1", sum(counts), counts[-1])


def _parse_count(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
