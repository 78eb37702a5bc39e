"""What a fleet is made of, as agents keep it, send it and show it. Times are Unix seconds."""

from __future__ import annotations

from enum import Enum

import msgspec


class Kind(Enum):
    """What an operation does to its instances."""

    START = "start"
    DRAIN = "drain"
    RESTART = "restart"
    UPGRADE = "upgrade"
    ROLLBACK = "rollback"


class Phase(Enum):
    """Where an operation is. The last four are ends."""

    CLAIMING = "claiming"
    RUNNING = "running"
    REVERTING = "reverting"  # the new build failed: what was moved goes back
    RELEASING = "releasing"
    DONE = "done"
    FAILED = "failed"  # it ended, and some did not follow
    REFUSED = "refused"  # another operation holds some of the instances
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Tell whether nothing more will happen."""
        return self in (Phase.DONE, Phase.FAILED, Phase.REFUSED, Phase.CANCELLED)


class Step(Enum):
    """Where one instance is within an operation."""

    PENDING = "pending"
    ASKING = "asking"  # for a place among those that may be down
    MOVING = "moving"  # told what is wanted
    PROVING = "proving"  # as wanted, and watched for a while
    DONE = "done"
    FAILED = "failed"
    REVERTED = "reverted"
    LOST = "lost"  # its agent does not answer: nothing is known against the build
    UNTOUCHED = "untouched"  # the operation ended before its turn


class Want(msgspec.Struct, frozen=True):
    """What is wanted of an instance; each change has the next version."""

    run: bool = False
    build: str = ""
    version: int = 0
    generation: int = 0  # raised to have it started anew
    by: str = ""
    at: float = 0.0


class Claim(msgspec.Struct, frozen=True):
    """Who may change what is wanted of an instance, and until when."""

    operation: str
    by: str
    coordinator: str
    at: float
    until: float
    what: str = ""


class Seen(msgspec.Struct, frozen=True):
    """How an instance is, as its agent sees it."""

    state: str = "stopped"  # stopped, starting, ready, silent, draining, waiting
    build: str = ""
    generation: int = 0
    version: int = 0  # of the want that it has come to
    pid: int = 0
    ready_at: float = 0.0  # since when it has been ready without a break; 0: it is not
    requests: int = 0  # answered since it started
    failed: int = 0
    starts: int = 0
    failures: int = 0  # in a row
    last_exit: int | None = None
    note: str = ""

    @property
    def ready(self) -> bool:
        """Tell whether it serves."""
        return self.state == "ready"


class Record(msgspec.Struct, frozen=True):
    """One instance at its home agent."""

    name: str
    hall: str
    agent: str
    labels: dict[str, str] = {}
    want: Want = Want()
    before: str = ""  # the build wanted before this one
    claim: Claim | None = None
    seen: Seen = Seen()


class Slot(msgspec.Struct, frozen=True):
    """Leave to be down, given to one instance of an operation by the warden of a scope."""

    scope: str  # hall:NAME, or fleet
    instance: str
    operation: str
    until: float


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for every operation, as the fleet file sets it."""

    down_share_hall: float = 0.34  # of a hall's instances that may be down at a time; one may be in any case
    down_share_fleet: float = 0.25
    ready_within_s: float = 30.0
    drain_within_s: float = 10.0
    hold_s: float = 3.0  # that a new build must have held before the next batch
    failed_share_most: float = 0.05  # of its answers in that time
    failed_least: int = 5  # answers that say nothing yet
    lease_s: float = 15.0
    ask_again_s: float = 0.5  # after leave to be down was not given
    suspect_phi: float = 3.0
    dead_phi: float = 8.0
    gossip_s: float = 0.5

    @property
    def moved_within_s(self) -> float:
        """Return how long an instance may take to be as wanted anew: to drain and to become ready."""
        return self.ready_within_s + self.drain_within_s


class Progress(msgspec.Struct, frozen=True):
    """One instance's place in an operation."""

    instance: str
    agent: str
    hall: str
    step: Step = Step.PENDING
    since: float = 0.0
    build_before: str = ""
    run_before: bool = True
    expect: int = -1  # version of the want that is to be changed; -1: not decided yet
    version: int = -1  # of the want that this operation has set; -1: none
    moved: bool = False  # a want was set at some time: it has to go back where the build fails
    denied_at: float = -1e12  # when leave was last not given
    granted: tuple[str, ...] = ()  # scopes whose leave it was given since it began to ask
    slots: tuple[str, ...] = ()  # scopes whose leave it may still hold: to be given back
    seen_requests: int = 0  # when it began to prove itself
    seen_failed: int = 0
    note: str = ""


class Operation(msgspec.Struct, frozen=True):
    """An operation, kept by its coordinator and shown by every agent."""

    id: str
    kind: Kind
    by: str
    coordinator: str
    at: float
    instances: tuple[Progress, ...]
    build: str = ""
    phase: Phase = Phase.CLAIMING
    batch: int = 1
    below_floor: bool = False
    claimed: tuple[str, ...] = ()  # agents whose claims are held
    released: tuple[str, ...] = ()
    heard_at: float = 0.0  # when anything last moved
    reason: str = ""
    outcome: Phase = Phase.DONE  # once all has been released
    renewed_at: float = 0.0
    ended_at: float = 0.0
    cancelled_by: str = ""

    def find(self, name: str) -> Progress | None:
        """Return an instance's progress."""
        return next((one for one in self.instances if one.instance == name), None)

    @property
    def agents(self) -> tuple[str, ...]:
        """Return the home agents concerned, in order of name."""
        return tuple(sorted({one.agent for one in self.instances}))

    @property
    def did_not_follow(self) -> tuple[Progress, ...]:
        """Return the instances that are not where they were to be."""
        return tuple(one for one in self.instances if one.step is not Step.DONE)


def scope_of(hall: str) -> str:
    """Return the scope of a hall."""
    return f"hall:{hall}"


FLEET = "fleet"
