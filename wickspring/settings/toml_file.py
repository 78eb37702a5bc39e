"""Reading of TOML files into structures; the folder in which deployed settings files lie."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from wickspring.settings.errors import ConfigError

DEPLOY_FOLDER = Path(__file__).parents[2] / "deploy"

T = TypeVar("T")


def decode_toml(name: str, text: str, kind: type[T]) -> T:
    """Read TOML text as a structure of a kind.

    Raises:
        ConfigError: the text is no TOML, or not of this kind; the message begins with `name`.
    """
    try:
        return msgspec.convert(tomllib.loads(text), kind)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigError(f"{name}: {error}") from error


def read_toml(path: Path, kind: type[T]) -> T:
    """Read a TOML file as a structure of a kind.

    Raises:
        ConfigError: the file cannot be read, or is not of this kind; the message names the file.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise ConfigError(f"{path} cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path.name}: {error}") from error
    return decode_toml(path.name, text, kind)
