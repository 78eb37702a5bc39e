"""Shapes of sites: an organisation's servers, classes of requests and plans, apart from any faults.

A shape is a TOML file in `sites/`. Every scenario runs on every shape (`lab run SCENARIO --site NAME`).
Times are milliseconds or seconds, as each key's suffix says.
"""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Literal

import msgspec

from wickspring.settings.errors import ConfigError
from wickspring.settings.toml_file import decode_toml

SITES = Path(__file__).parents[1] / "sites"


class ShapeError(ValueError):
    """A shape that cannot be used; the message names the file and the key."""


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    share: float  # of the requests
    effect: Literal["repeatable", "by_key", "once"]
    aim_ms: float
    deadline_ms: float
    worth: float
    group: Literal["all", "zone", "cell"] = "all"  # servers that recognise copies of a keyed request
    window_ms: float = 0.0  # for which they do
    late_worth: float = 0.1


class PlanShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plan; rates are scaled to the load, so their proportions count."""

    name: str
    share: float  # of the firms
    rate: float  # units a second
    burst_s: float
    price: float
    over_cost: float
    over_worth: float = 0.0
    ceiling: float = 0.0  # times rate and burst; 0: none


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete shape. What is 0 or empty is left to the scenario."""

    about: str
    kind: tuple[Kind, ...]
    plan: tuple[PlanShape, ...]
    drain_grace_ms: float
    fall_factor: float  # load, in multiples of its present capacity, that overloads a cold server
    fall_ms: float  # for which that load has to last
    counter_limit_ms: float
    counter_fee: float
    parallel: bool  # two attempts of a request at once
    probing: bool
    attempts: int
    marks_retries: bool
    # Prices in the ingress's settings (`Prices.Waste`, `Prices.LateFail`), in parts of the worth of a result.
    waste: float
    late_fail: float
    zone_name: str = "hall"
    halls: int = 0
    cell_size: int = 0  # servers of a hall that share which keys they have seen; 0: all
    cores: tuple[int, ...] = ()  # of the servers of a hall, in turn
    speeds: tuple[float, ...] = ()  # of one core, in turn as `cores`
    cold_share: float = 0.0
    warm_s: float = 0.0
    spread: tuple[int, int] = (2, 4)  # ingresses of a firm

    @property
    def deadline_ms(self) -> float:
        """Return the longest deadline."""
        return max(kind.deadline_ms for kind in self.kind)


def shipped() -> dict[str, Path]:
    """Return the shipped shapes by name."""
    return {path.stem: path for path in sorted(SITES.glob("*.toml"))}


@cache
def load(source: str) -> Shape:
    """Read a shipped shape by its name, or a TOML file by its path."""
    path = shipped().get(source) or Path(source)
    try:
        text = path.read_text()
    except OSError as error:
        raise ShapeError(f"{source} is no shipped site and no file: {error.strerror}") from error
    try:
        shape = decode_toml(path.name, text, Shape)
    except ConfigError as error:
        raise ShapeError(str(error)) from error
    fault = _fault(shape)
    if fault:
        raise ShapeError(f"{path.name}: {fault}")
    return shape


def _fault(shape: Shape) -> str:
    """Return what is wrong with the first key at fault, or an empty string."""
    checks = (_share_fault, _class_fault, _plan_fault, _server_fault)
    return next((fault for check in checks if (fault := check(shape))), "")


def _share_fault(shape: Shape) -> str:
    for name, entries in (("kind", shape.kind), ("plan", shape.plan)):
        if not entries:
            return f"{name}: there must be one at least"
        if any(one.share < 0 for one in entries) or sum(one.share for one in entries) <= 0:
            return f"{name}.share: shares are of 0 or more, and of more than 0 together"
    return ""


def _class_fault(shape: Shape) -> str:
    for index, kind in enumerate(shape.kind):
        if not 0 < kind.aim_ms <= kind.deadline_ms:
            return f"kind[{index}].aim_ms must lie between 0 and the deadline: {kind.aim_ms}"
        if kind.effect == "by_key" and kind.window_ms <= 0:
            return f"kind[{index}].window_ms must be above 0 for a keyed class: {kind.window_ms}"
    return ""


def _plan_fault(shape: Shape) -> str:
    for index, plan in enumerate(shape.plan):
        if plan.rate <= 0 or plan.burst_s <= 0:
            return f"plan[{index}].rate and burst_s must be above 0: {plan.rate}, {plan.burst_s}"
        if plan.ceiling and plan.ceiling < 1:
            return f"plan[{index}].ceiling must be 0, or 1 or more: {plan.ceiling}"
    return ""


def _server_fault(shape: Shape) -> str:
    if len(shape.speeds) not in (0, len(shape.cores)):
        return "speeds must be as many as cores, or none"
    if any(cores < 1 for cores in shape.cores) or any(speed <= 0 for speed in shape.speeds):
        return "cores must be 1 or more, speeds above 0"
    if not 1 <= shape.spread[0] <= shape.spread[1]:
        return f"spread must be two numbers, the least first: {shape.spread}"
    return ""
