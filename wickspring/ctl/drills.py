"""Names of the drills: standard ones, and the names of earlier versions that stored results bear."""

from __future__ import annotations

# By standard name: the name in the laboratory and in stored results, which operators' scripts use.
DRILL_NAMES = {
    "no-fault": "calm",
    "config-changes": "orders",
    "restart-control-planes-in-turn": "lights-one-by-one",
    "restart-all-control-planes": "all-lights",
    "restart-all-control-planes-hot-tenant": "all-lights-hot",
    "restart-data-planes-in-turn": "pilots",
    "spoilt-responses": "liars",
    "drain-servers": "drains",
}


def stored_drill_name(name: str) -> str:
    """Return the stored name of a drill, by either name; a name that is not known is returned as it is."""
    return DRILL_NAMES.get(name, name)


def describe_drills() -> str:
    """Return one line for each drill: its standard name, and its name in earlier versions."""
    width = max(map(len, DRILL_NAMES))
    return "\n".join(f"{name.ljust(width)}  ({former})" for name, former in DRILL_NAMES.items())
