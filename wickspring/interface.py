"""The types between a host and the decision module: settings, events and actions.

Times are milliseconds of the host's clock, rates are per millisecond. Nothing in this file decides anything.
A host is the ingress's reducer, or an outside simulator (`simwire.py`); values such as `MOOT` and the lists
of fields follow the simulator's wire, and the settings those that operators give.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ServerId = bytes
"""Opaque address of a server; compare and return it, never read meaning into it."""

LONG_AGO = -1e12
"""A time before that of any clock, ms."""


class Effect(Enum):
    """How often a request may be run."""

    SAFE = "safe"  # idempotent: any number of times
    KEYED = "keyed"  # more than once where servers drop repeats by their key
    UNSAFE = "unsafe"  # not idempotent: once


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a count call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # turned away, before any work was done
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # not sent: the request or the server was gone

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
    """What a message about the server list contains."""

    CACHED = "cached"  # a complete list that may be old
    CHANGES = "changes"
    FAILED = "failed"  # the list could not be read
    COMPLETE = "complete"


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    effect: Effect
    group: Group
    repeat_window: float  # ms for which servers drop the repeats of a keyed request
    target_latency: float  # ms within which an answer has its full value
    deadline: float  # ms after which an answer has none
    value: float  # of an answer within the target latency
    late_value: float  # of one within the deadline
    stream: bool
    name: str = ""


@dataclass(slots=True, frozen=True)
class PlanSettings:
    """One plan: quota per customer over all gateways, and its hard ceiling (rate 0: none)."""

    rate: float  # units a ms
    burst: float  # units
    max_in_flight: int  # attempts at once; 0: any number
    ceiling_rate: float  # units a ms
    ceiling_burst: float  # units
    ceiling_slack: float  # units by which the ceiling may be passed
    price: float  # factor on the value of an answer
    over_quota_value: float  # value of an answer beyond the quota
    over_quota_cost: float
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is given when it starts."""

    seed: int  # of its random generator
    own_number: int  # of this gateway among all of them, from 0
    gateways: int
    zone: int  # of this gateway
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    may_count: bool  # there is a quota counter to call
    count_timeout: float  # ms
    largest_units: float  # of any request
    settles_later: bool  # an answer tells the units that it has used
    meter_period: float  # ms
    may_probe: bool
    may_cancel: bool
    parallel_attempts: bool  # several attempts of a request may be in flight at once
    max_attempts: int  # of one request
    list_on_request: bool  # the server list has to be asked for
    list_ask_within: float  # ms
    answer_slack: float  # ms after the deadline within which a final answer still counts
    drain_grace: float  # ms
    cold_capacity: float  # part of its full capacity that a server has when it starts
    cold_time: float  # ms until it has all of it
    overload_factor: float  # times its present capacity that overload a server,
    overload_time: float  # for as long, ms
    tick: float  # ms, resolution of the host's timers
    load_fields: tuple[str, ...]  # what the figures of a load report are
    marks_repeats: bool = False  # clients mark the repeats of a request
    zones: tuple[str, ...] = ()
    dial_timeout: float = 250.0  # ms
    idle_close: float = 30_000.0  # ms
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
    """The server list, or changes to it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request has come in; one final answer is owed from here on."""

    request: int  # its number, unique at this gateway
    class_index: int
    plan_index: int
    customer: int
    deadline: float
    units: float  # of the customer's quota
    spread: int  # gateways through which the customer's requests come in: its set
    first_gateway: int  # number of the first one of the set
    repeat: bool = False  # marked by the client as a repeat of an earlier request


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
    attempt: int  # number among those of its request, from 0
    server: ServerId
    status: Status
    over: bool
    elapsed: float  # ms
    load: tuple[float, ...]  # the server's load report, as `Settings.load_fields`
    settled_units: float  # used in the end, where `Settings.settles_later`
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
    """A message from another gateway, where a deployment has them."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Avoid:
    """Servers that peers have found failing, to be ejected until these times."""

    servers: tuple[tuple[ServerId, float], ...]


class PeerState:
    """State that gateways share where they talk (`peer_state/shares.py`); none here."""

    def may_take(self, now: float, name: str) -> bool:
        """Tell whether a unit of a budget may be taken; without a budget of that name it may."""
        return True

    def take(self, now: float, name: str) -> bool:
        """Take a unit of a budget; return False where none is left."""
        return True

    def release(self, now: float, name: str) -> None:
        """Give a unit of a budget back."""

    def concurrency_budget(self, request: Request) -> str:
        """Return the name of the budget of a customer's concurrent attempts; empty where there is none."""
        return ""

    def record_usage(
        self, customer: int, window: int, units: float, until: float, first: int, spread: int
    ) -> None:
        """Record units forwarded in a customer's window, which ends at `until`."""

    def peer_usage(self, customer: int, window: int) -> float:
        """Return the units that peers report as forwarded in a window."""
        return 0.0

    def receives_all_counts(self, now: float, first: int, spread: int) -> bool:
        """Tell whether counts were lately received from all peers of a customer's set of gateways."""
        return False

    def record_outcome(self, now: float, server: ServerId, started: float, good: bool) -> None:
        """Record how an attempt at a server ended."""


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
    """Ask a server whether it is up, and for its load."""

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
