"""What ingresses say to each other and show to an operator: one JSON line each way per exchange."""

from __future__ import annotations

import msgspec

from wickspring.membership.anti_entropy import Digest, Entry
from wickspring.membership.swim import MemberInfo, Suspicion
from wickspring.peer_state.judgements import Words
from wickspring.peer_state.shares import Parts
from wickspring.wire import Numbers

NUMBERS = Numbers(1, 1, "ingress")
MOST_LINE = 64 * 1024  # bytes


class About(MemberInfo, frozen=True, array_like=True):
    """What an ingress tells all others of itself."""

    hall: str = ""
    slot: int = 0  # SelfIndex
    slots: int = 1  # Siblings
    program: str = ""
    words: Words = Words()


class Talk(msgspec.Struct, frozen=True, tag="talk", array_like=True, omit_defaults=True):
    """One side's word of a talk; without a digest it is no round of gossip."""

    sender: str
    slot: int
    slots: int
    life: float
    digest: Digest | None = None
    entries: tuple[Entry[About], ...] = ()
    doubts: tuple[Suspicion, ...] = ()
    parts: Parts = Parts()


class Reach(msgspec.Struct, frozen=True, tag="reach", array_like=True):
    """Ask whether another ingress can be reached from here."""

    sender: str
    name: str


class Show(msgspec.Struct, frozen=True, tag="show", array_like=True):
    """Ask for what this ingress holds and hears."""


Message = Talk | Reach | Show


class MemberView(msgspec.Struct, frozen=True):
    """One ingress as another sees it; seconds."""

    name: str
    slot: int
    hall: str
    standing: str
    address: str
    program: str
    reached_s: float  # since they last talked; -1: never
    heard_s: float  # since its budgets and counts were last heard; -1: never
    bad: tuple[str, ...] = ()  # ticket servers that fail it, by its own word


class BudgetView(msgspec.Struct, frozen=True):
    """One budget as held here, in rights."""

    name: str
    rights: int
    part: int
    free: int
    busy: int
    lent: int
    borrowed: int


class View(msgspec.Struct, frozen=True):
    """All that `peers status` shows."""

    name: str
    slot: int
    slots: int
    hall: str
    members: tuple[MemberView, ...] = ()
    budgets: tuple[BudgetView, ...] = ()
    avoided: dict[str, float] = {}  # ticket servers avoided by hearsay, with the weight against each
    customers: int = 0  # customers' windows of which counts are held
    refused: int = 0  # rights asked for in vain
    bytes_out: int = 0
    bytes_in: int = 0
    up_s: float = 0.0
    troubles: dict[str, int] = {}  # bad words, links that broke, talks that were not made


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to any message; what does not apply is left out."""

    error: str = ""
    talk: Talk | None = None
    wants: tuple[str, ...] = ()
    reached: bool = False
    view: View | None = None
