"""Messages between data planes, and the status that operators ask for: one JSON line each way per exchange.

The order of the fields of `array_like` messages, the tags, and the names in `rename` are fixed by the wire;
the last are also keys of `peers status --json`, which operators' scripts read.
"""

from __future__ import annotations

import msgspec

from wickspring.membership.anti_entropy import Digest, Entry
from wickspring.membership.members import MemberInfo
from wickspring.membership.suspicions import Suspicion
from wickspring.peer_state.budget_view import BudgetView as BudgetView
from wickspring.peer_state.judgements import FailureReport
from wickspring.peer_state.shares import ShareMessages
from wickspring.wire import ProtocolVersions

PROTOCOL_VERSIONS = ProtocolVersions(1, 1, "ingress")
MAX_LINE_BYTES = 64 * 1024


class PeerInfo(MemberInfo, frozen=True, array_like=True):
    """What a data plane says of itself to all others."""

    hall: str = ""
    slot: int = 0  # the setting SelfIndex
    slots: int = 1  # the setting Siblings
    program: str = ""  # its version
    failures: FailureReport = FailureReport()


class PeerMessage(msgspec.Struct, frozen=True, tag="talk", array_like=True, omit_defaults=True):
    """One side's message of an exchange; without a digest it is no round of gossip."""

    sender: str
    slot: int
    slots: int
    incarnation: float
    digest: Digest | None = None
    entries: tuple[Entry[PeerInfo], ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    shares: ShareMessages = ShareMessages()


class IndirectProbe(msgspec.Struct, frozen=True, tag="reach", array_like=True):
    """Ask a helper whether it reaches another data plane."""

    sender: str
    target: str


class StatusRequest(msgspec.Struct, frozen=True, tag="show", array_like=True):
    """Ask for a data plane's status."""


Message = PeerMessage | IndirectProbe | StatusRequest


class MemberView(
    msgspec.Struct,
    frozen=True,
    rename={
        "state": "standing",
        "last_contact_s": "reached_s",
        "last_received_s": "heard_s",
        "failing_servers": "bad",
    },
):
    """One data plane as another sees it; seconds."""

    name: str
    slot: int
    hall: str
    state: str
    address: str
    program: str
    last_contact_s: float  # since the last exchange; -1: never
    last_received_s: float  # since its budgets and counts were received; -1: never
    failing_servers: tuple[str, ...] = ()  # ticket servers that fail it, by its own report


class View(msgspec.Struct, frozen=True, rename={"error_counts": "troubles"}):
    """The status of one data plane among the others."""

    name: str
    slot: int
    slots: int
    hall: str
    members: tuple[MemberView, ...] = ()
    budgets: tuple[BudgetView, ...] = ()
    avoided: dict[str, float] = {}  # ticket servers avoided by others' reports, with the weight against each
    customers: int = 0  # customers' windows of which counts are stored
    refused: int = 0  # rights requested in vain
    bytes_out: int = 0
    bytes_in: int = 0
    up_s: float = 0.0
    error_counts: dict[str, int] = {}  # unreadable messages, broken links, skipped exchanges


class Reply(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"message": "talk", "requested": "wants"}
):
    """The answer to any message; what does not apply is left out."""

    error: str = ""
    message: PeerMessage | None = None
    requested: tuple[str, ...] = ()
    reached: bool = False
    view: View | None = None
