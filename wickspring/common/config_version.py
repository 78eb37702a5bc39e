"""The version of a configuration, and the absence of one.

A version is a number from 0 on, as the operator wrote it: `r0` is a version like any other. A process
without a configuration has no version (None), which is older than every version.

Messages and files have a number in the place of a version, beside the configuration's text or the digest of
that. Number 0 with an empty text or digest is no configuration, as earlier versions of this program write it.
"""

from __future__ import annotations

from typing import TypeAlias

ConfigVersion: TypeAlias = int | None

_ORDER_OF_ABSENCE = -1  # below every version
_WIRE_ABSENCE = 0  # with an empty digest


def version_order(version: ConfigVersion) -> int:
    """Return a number by which versions, and the absence of one, are ordered."""
    return _ORDER_OF_ABSENCE if version is None else version


def is_newer(version: ConfigVersion, than: ConfigVersion) -> bool:
    """Return whether a version is above another; any is above none."""
    return version_order(version) > version_order(than)


def version_to_wire(version: ConfigVersion) -> int:
    """Return the number that stands for a version in a message or a file, beside the digest of its text."""
    return _WIRE_ABSENCE if version is None else version


def version_from_wire(number: int, content: bytes | str) -> ConfigVersion:
    """Return the version of a message or a file.

    Args:
        number: what stands there in the place of the version.
        content: what stands beside it: the configuration's text, or the digest of that.
    """
    return None if number == _WIRE_ABSENCE and not content else number


def generation_of(version: ConfigVersion) -> str | None:
    """Return a version as operators write it, `r12`; None for no configuration."""
    return None if version is None else f"r{version}"


def version_label(version: ConfigVersion) -> str:
    """Return a version for a log line or an error, `r12` or `none`."""
    return generation_of(version) or "none"
