"""What control planes answer, as far as the command line reads it, and the rows that it prints.

Field names of the answers are keys of the HTTP API. Rows keep the column and key names of earlier versions
(`lighthouse`, `pilots`), because operators' scripts read them.
"""

from __future__ import annotations

from enum import Enum

import msgspec

NO_CONTACT = "none"  # `contact` of a node that does not reach a majority
UNKNOWN = "?"


class ChainStatus(msgspec.Struct, frozen=True):
    """`chain` of `GET /status`: the view that a node knows, and its own part in it."""

    epoch: int
    members: list[str]
    member: bool
    contact: str
    frozen: bool
    steady: bool
    held: int
    safe: int
    disk: str
    short: list[str]


class PeerStatus(msgspec.Struct, frozen=True):
    """One entry of `core`: another node; disk and version are missing before its first report."""

    live: bool
    behind: list[str]
    disk: str = UNKNOWN
    version: int | None = None


class StatusReport(msgspec.Struct, frozen=True):
    """`GET /status`."""

    node: str
    chain: ChainStatus
    core: dict[str, PeerStatus]
    pilots: list[str]
    servers: list[dict[str, str | int | float]]
    counts: dict[str, dict[str, int | float]]


class SnapshotDocument(msgspec.Struct, frozen=True):
    """`GET /snapshot`, as far as it is looked at here."""

    leaving: dict[str, int]


class RestoreReport(msgspec.Struct, frozen=True):
    """The answer to `POST /snapshot`."""

    generation: str
    leaving: int


class ReplaceReport(msgspec.Struct, frozen=True):
    """The answer to `POST /config/replace`."""

    generation: str


class NodeState(Enum):
    """How a control plane stands, in one word for operators."""

    STEADY = "steady"
    FROZEN = "frozen"
    SPARE = "spare"
    ALONE = "alone"


class NodeRow(msgspec.Struct, frozen=True):
    """One line of `status`; the table shows the fields that `ctl.__main__.STATUS_COLUMNS` names, JSON all."""

    control_plane: str = msgspec.field(name="lighthouse")  # key fixed by earlier versions
    state: str
    epoch: int
    held: str
    safe: str
    servers: int
    pilots: str
    short: list[str]


class UnreachableRow(msgspec.Struct, frozen=True):
    """One line of `status`, of a control plane that did not answer."""

    control_plane: str = msgspec.field(name="lighthouse")  # key fixed by earlier versions
    state: str


class ReplicaRow(msgspec.Struct, frozen=True):
    """One line of `chain`."""

    place: str
    machine: str
    live: bool
    safe: str
    disk: str
    behind: str


def node_state(chain: ChainStatus) -> NodeState:
    """Return the state that operators are shown for a node."""
    if chain.frozen:
        return NodeState.STEADY if chain.steady else NodeState.FROZEN
    if chain.contact == NO_CONTACT:
        return NodeState.ALONE
    if chain.steady:
        return NodeState.STEADY
    return NodeState.ALONE if chain.member else NodeState.SPARE


def node_row(address: str, report: StatusReport) -> NodeRow:
    """Return a control plane's line of `status`."""
    chain = report.chain
    return NodeRow(
        control_plane=address,
        state=node_state(chain).value,
        epoch=chain.epoch,
        held=f"r{chain.held}",
        safe=f"r{chain.safe}",
        servers=len(report.servers),
        pilots=",".join(report.pilots) or "-",
        short=chain.short,
    )


def replica_rows(report: StatusReport) -> list[ReplicaRow]:
    """Return the lines of `chain`: its members from head to tail, then the spares."""
    members = report.chain.members
    places = ("head", *("middle",) * (len(members) - 2), "tail")
    rows = [_replica_row(report, places[index], ip) for index, ip in enumerate(members)]
    spares = [ip for ip in report.core if ip not in members]
    return rows + [_replica_row(report, "spare", ip) for ip in spares]


def _replica_row(report: StatusReport, place: str, ip: str) -> ReplicaRow:
    peer = report.core.get(ip)
    if peer is None:  # the node that was asked
        return ReplicaRow(place, ip, True, f"r{report.chain.safe}", report.chain.disk, "-")
    version = UNKNOWN if peer.version is None else peer.version
    return ReplicaRow(place, ip, peer.live, f"r{version}", peer.disk, "; ".join(peer.behind) or "-")
