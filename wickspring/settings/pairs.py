"""Settings as pairs of a path and a value, both text: `Lanes.0.Deadline=250`.

This is the form in which an outside simulator gives the settings of the decision module. Nested JSON is
flattened to the same pairs, so that both have one mapping. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from wickspring.settings.errors import ConfigError

_TRUE, _FALSE = ("true", "1"), ("false", "0")


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Turn nested JSON into pairs: keys are joined by dots, a list of objects has a `count` and numbers."""
    if isinstance(value, Mapping):
        return _flatten_mapping(value, path)
    if isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        return _flatten_objects(value, path)
    if isinstance(value, list):
        return {path: ",".join(flatten(item, path)[path] for item in value)}
    if isinstance(value, bool):
        return {path: "true" if value else "false"}
    return {path: "" if value is None else str(value)}


def _flatten_mapping(value: Mapping[Any, Any], path: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for key, inner in value.items():
        pairs.update(flatten(inner, f"{path}.{key}" if path else str(key)))
    return pairs


def _flatten_objects(value: list[Any], path: str) -> dict[str, str]:
    pairs = {f"{path}.count": str(len(value))}
    for index, item in enumerate(value):
        pairs.update(flatten(item, f"{path}.{index}"))
    return pairs


class SettingPairs:
    """Typed reading of pairs.

    Every method takes the path of a setting. It raises `ConfigError`, which names the path, where the setting
    is missing and has no default, or where its value cannot be read.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str) -> str:
        """Return a value as it is written."""
        if path not in self.pairs:
            raise ConfigError(f"missing setting {path}")
        return self.pairs[path]

    def number(self, path: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Return a finite number that is not below `minimum`."""
        if default is not None and path not in self.pairs:
            return default
        text = self.text(path)
        try:
            value = float(text)
        except ValueError as error:
            raise ConfigError(f"setting {path} is not a number: {text!r}") from error
        if not math.isfinite(value) or value < minimum:
            raise ConfigError(f"setting {path} must be a number from {minimum:g} up: {text!r}")
        return value

    def integer(self, path: str, default: int | None = None, minimum: int = 0) -> int:
        """Return a whole number that is not below `minimum`."""
        value = self.number(path, default, minimum)
        if value != int(value):
            raise ConfigError(f"setting {path} is not a whole number: {self.pairs[path]!r}")
        return int(value)

    def flag(self, path: str, default: str | None = None) -> bool:
        """Return a boolean: `true`, `false`, `1` or `0`."""
        text = self.text(path) if default is None else self.pairs.get(path, default)
        if text.lower() not in _TRUE + _FALSE:
            raise ConfigError(f"setting {path} is neither true nor false: {text!r}")
        return text.lower() in _TRUE

    def words(self, path: str) -> tuple[str, ...]:
        """Return the parts of a list that is parted by commas; empty where the setting is missing."""
        return tuple(word for word in self.pairs.get(path, "").split(",") if word)
