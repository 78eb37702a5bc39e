"""What a host and the decision module say to each other: settings, events and actions.

Times are milliseconds of the host's clock. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ServerId = bytes
"""Opaque address of a server; compare and return it, never read meaning into it."""

LONG_AGO = -1e12
"""A time before that of any clock, ms."""


class Effect(Enum):
    """How often a request's effect may happen."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a count call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the work was not started."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class Readiness(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What kind of news of the server list has come."""

    CACHED = "cached"
    CHANGES = "changes"
    FAILED = "failed"
    COMPLETE = "complete"


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    effect: Effect
    group: Group
    repeat_window: float
    target_latency: float
    deadline: float
    value: float
    late_value: float
    stream: bool
    name: str = ""


@dataclass(slots=True, frozen=True)
class PlanSettings:
    """One plan: quota per customer over all gateways, and its hard ceiling (rate 0: none)."""

    rate: float
    burst: float
    most_open: int
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    price: float
    over_quota_value: float
    over_quota_cost: float
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told when it starts."""

    seed: int
    own_number: int
    gateways: int
    zone: int
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    may_count: bool
    count_timeout: float
    largest_units: float
    settles_later: bool
    meter_period: float
    may_probe: bool
    may_cancel: bool
    parallel_attempts: bool
    most_attempts: int
    list_on_request: bool
    list_ask_within: float
    answer_slack: float
    drain_grace: float
    cold_capacity: float
    cold_time: float
    overload_factor: float
    overload_time: float
    tick: float
    load_fields: tuple[str, ...]
    marks_repeats: bool = False
    zones: tuple[str, ...] = ()
    dial_timeout: float = 250.0
    idle_close: float = 30_000.0
    streams_per_connection: int = 100


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of the server list."""

    server: ServerId
    zone: int
    cell: int
    readiness: Readiness
    weight: float
    started_at: float


@dataclass(slots=True, frozen=True)
class ServerList:
    """News of the server list."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client's try has come in; one final answer is owed from here on."""

    request: int
    class_index: int
    plan_index: int
    customer: int
    deadline: float
    units: float
    spread: int
    first_gateway: int
    repeat: bool = False  # marked by the client as a try of a request made before


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """An attempt's streamed answer has begun; it belongs to the client now."""

    request: int
    attempt: int
    server: ServerId


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended. `over` says that the client has its final answer."""

    request: int
    attempt: int
    server: ServerId
    status: Status
    over: bool
    elapsed: float
    load: tuple[float, ...]
    settled_units: float
    fleet_use: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The client has left; nothing more is owed."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer asked for with `SetTimer` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """How a probe ended."""

    server: ServerId
    status: Status
    elapsed: float
    load: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CountAnswer:
    """The answer to one `Count`; `total` holds with status OK alone."""

    name: int
    status: Status
    total: float
    elapsed: float


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Words from another gateway, where a deployment has them."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Avoid:
    """Servers that others have found bad, to be shunned until these times."""

    servers: tuple[tuple[ServerId, float], ...]


class PeerState:
    """What gateways share where they talk (`shared/shares.py`). This one shares and bounds nothing."""

    def may_take(self, now: float, name: str) -> bool:
        """Tell whether a right of a budget may be spent; without a budget of that name it may."""
        return True

    def take(self, now: float, name: str) -> bool:
        """Spend one; False where there is none."""
        return True

    def release(self, now: float, name: str) -> None:
        """Free one whose use is over."""

    def concurrency_budget(self, request: Request) -> str:
        """Name the budget of a customer's attempts out at once; empty where they are not held by rights."""
        return ""

    def record_usage(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> None:
        """Note units sent on in a customer's window, which ends then."""

    def peer_usage(self, customer: int, window: int) -> float:
        """Return the units that others have told to be sent on in a window."""
        return 0.0

    def receives_all_counts(self, now: float, first: int, spread: int) -> bool:
        """Tell whether all the others of a customer's set of gateways have been heard of late."""
        return False

    def record_outcome(self, now: float, server: ServerId, started: float, good: bool) -> None:
        """Note how an attempt at a server ended."""


Event = (
    ServerList
    | Request
    | StreamStarted
    | Outcome
    | Withdrawn
    | TimerFired
    | ProbeResult
    | CountAnswer
    | PeerMessage
    | Avoid
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt on a server; `timeout` 0 runs to the client's deadline."""

    request: int
    server: ServerId
    timeout: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, and trying again is harmless."""

    request: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, and nothing is promised."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay`."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a server for a sign of life and its load."""

    server: ServerId


@dataclass(slots=True, frozen=True)
class Count:
    """Add to a named number on the counter service."""

    name: int
    amount: float
    keep_for: float


@dataclass(slots=True, frozen=True)
class FollowList:
    """Subscribe to the server list, where it has to be asked for."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Count | FollowList
