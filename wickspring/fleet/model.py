"""The data of a fleet, as agents store it, send it and show it. Times are Unix seconds.

The names in `rename` are those of stored data and of messages, which programs of earlier versions have.
"""

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
    REVERTING = "reverting"  # the new build failed: what was changed is set back
    RELEASING = "releasing"
    DONE = "done"
    FAILED = "failed"  # it ended, and some instances are not as it wants them
    REFUSED = "refused"  # another operation holds some of the instances
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Tell whether nothing more will happen."""
        return self in (Phase.DONE, Phase.FAILED, Phase.REFUSED, Phase.CANCELLED)


class Step(Enum):
    """Where one instance is within an operation."""

    PENDING = "pending"
    ASKING = "asking"  # for permits to be down
    MOVING = "moving"  # its desired state is being changed, or acted on
    PROVING = "proving"  # as desired, and watched for a while
    DONE = "done"
    FAILED = "failed"
    REVERTED = "reverted"
    LOST = "lost"  # its agent does not answer, which says nothing of the build
    UNTOUCHED = "untouched"  # the operation ended before its turn


class DesiredState(msgspec.Struct, frozen=True):
    """What operators want of an instance; each change has the next version."""

    run: bool = False
    build: str = ""
    version: int = 0
    generation: int = 0  # raised to have the instance restarted
    by: str = ""
    at: float = 0.0


class Claim(msgspec.Struct, frozen=True):
    """The operation that may change the desired state of an instance, and until when."""

    operation: str
    by: str
    coordinator: str
    at: float
    until: float
    what: str = ""


class ObservedState(msgspec.Struct, frozen=True):
    """How an instance is, as its agent observes it."""

    state: str = "stopped"  # stopped, starting, ready, silent, draining, waiting
    build: str = ""
    generation: int = 0
    version: int = 0  # of the desired state that its agent acts on
    pid: int = 0
    ready_at: float = 0.0  # since when it has been ready without interruption; 0: it is not ready
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


class InstanceRecord(msgspec.Struct, frozen=True, rename={"desired": "want", "observed": "seen"}):
    """One instance, at the agent that owns it."""

    name: str
    hall: str
    agent: str
    labels: dict[str, str] = {}
    desired: DesiredState = DesiredState()
    before: str = ""  # the build desired before the present one
    claim: Claim | None = None
    observed: ObservedState = ObservedState()


class Permit(msgspec.Struct, frozen=True):
    """Permission for one instance to be down during an operation, given by the permit issuer of a scope."""

    scope: str  # hall:NAME, or fleet
    instance: str
    operation: str
    until: float


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that hold for every operation, as the fleet file sets them."""

    down_share_hall: float = 0.34  # of a hall's instances that may be down at a time; one may be in any case
    down_share_fleet: float = 0.25
    ready_within_s: float = 30.0
    drain_within_s: float = 10.0
    hold_s: float = 3.0  # that a new build must have served before the next batch
    failed_share_most: float = 0.05  # largest share of failed answers in that time
    failed_least: int = 5  # answers needed to judge that share
    lease_s: float = 15.0  # of claims and permits
    ask_again_s: float = 0.5  # after a permit was denied
    suspect_phi: float = 3.0
    dead_phi: float = 8.0
    gossip_s: float = 0.5

    @property
    def moved_within_s(self) -> float:
        """Return the seconds that a change of an instance may take: to drain and to become ready."""
        return self.ready_within_s + self.drain_within_s


class Progress(
    msgspec.Struct,
    frozen=True,
    rename={
        "expected_version": "expect",
        "applied_version": "version",
        "was_changed": "moved",
        "granted_scopes": "granted",
        "permits": "slots",
        "requests_before": "seen_requests",
        "failed_before": "seen_failed",
    },
):
    """How far an operation has come with one instance."""

    instance: str
    agent: str
    hall: str
    step: Step = Step.PENDING
    since: float = 0.0
    build_before: str = ""
    run_before: bool = True
    expected_version: int = -1  # of the desired state that is to be changed; -1: not read yet
    applied_version: int = -1  # of the desired state that this operation has set; -1: none
    was_changed: bool = False  # whether its desired state was ever set: it is reverted if the build fails
    denied_at: float = -1e12  # when a permit was last denied
    granted_scopes: tuple[str, ...] = ()  # scopes that have granted a permit since it began to ask
    permits: tuple[str, ...] = ()  # scopes whose permit it may still hold: to be released
    requests_before: int = 0  # answered when it began to prove itself
    failed_before: int = 0  # of these
    note: str = ""


class Operation(msgspec.Struct, frozen=True, rename={"advanced_at": "heard_at"}):
    """An operation, stored by its coordinator and shown by every agent."""

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
    advanced_at: float = 0.0  # when any instance or claim last went on
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
        """Return the agents that own its instances, in order of name."""
        return tuple(sorted({one.agent for one in self.instances}))

    @property
    def incomplete(self) -> tuple[Progress, ...]:
        """Return the instances that are not as the operation wants them."""
        return tuple(one for one in self.instances if one.step is not Step.DONE)


def scope_of(hall: str) -> str:
    """Return the scope of a hall."""
    return f"hall:{hall}"


FLEET = "fleet"
