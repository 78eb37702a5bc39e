"""The example configuration of an ingress, with changes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

EXAMPLE_CONFIG = Path(__file__).parents[2] / "example" / "config.json"


def example_config(**changes: Any) -> dict[str, Any]:
    """Return the example with values replaced by path (`limits__sockets=3`); None removes one."""
    data: dict[str, Any] = json.loads(EXAMPLE_CONFIG.read_text())
    for path, value in changes.items():
        inner = data
        *keys, last = path.split("__")
        for key in keys:
            inner = inner[int(key)] if isinstance(inner, list) else inner[key]
        if value is None:
            del inner[last]
        else:
            inner[last] = value
    return data
