"""The error that every settings file and variable raises."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the key."""
