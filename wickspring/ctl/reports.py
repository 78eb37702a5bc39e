"""What control planes answer, as far as the command line reads it, and the rows that it prints.

Keys of the HTTP API and of `--json` are fixed by earlier versions, because operators' scripts read them; the
`rename` of a class or the name of a field keeps them. Tables show the terms of `docs/GLOSSARY.md`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec
from msgspec import UNSET, UnsetType

from wickspring.common.status import ReplicationStatus

NO_CONTACT = "none"  # `contact` of a node that does not reach a majority
NOTHING = "-"
UNKNOWN = "?"

# Keys of a row of `status` with the columns of its table, in their order.
STATUS_LABELS = {
    "lighthouse": "control_plane",
    "state": "state",
    "epoch": "epoch",
    "held": "stored",
    "safe": "committed",
    "servers": "endpoints",
    "pilots": "data_planes",
}
STATUS_COLUMNS = tuple(STATUS_LABELS)
ENDPOINT_LABELS = {"silent_s": "since_heartbeat_s"}
QUOTA_LABELS = {"in_span": "used", "left": "remaining"}


class PeerStatus(msgspec.Struct, frozen=True, rename={"is_live": "live", "disk_id": "disk"}):
    """One entry of `core`: another node; disk and version are missing before its first report."""

    is_live: bool
    behind: list[str]
    disk_id: str = UNKNOWN
    version: int | None = None
    generation: str | UnsetType | None = UNSET


class StatusReport(
    msgspec.Struct,
    frozen=True,
    rename={
        "replication": "chain",
        "peer_nodes": "core",
        "data_planes": "pilots",
        "endpoints": "servers",
        "quota_counts": "counts",
    },
):
    """`GET /status`."""

    node: str
    replication: ReplicationStatus
    peer_nodes: dict[str, PeerStatus]
    data_planes: list[str]
    endpoints: list[dict[str, str | int | float]]
    quota_counts: dict[str, dict[str, int | float]]


class SnapshotDocument(msgspec.Struct, frozen=True, rename={"departures": "leaving"}):
    """`GET /snapshot`, as far as it is looked at here."""

    departures: dict[str, int]


class RestoreReport(msgspec.Struct, frozen=True, rename={"version": "generation", "departures": "leaving"}):
    """The answer to `POST /snapshot`."""

    version: str
    departures: int


class ReplaceReport(msgspec.Struct, frozen=True, rename={"version": "generation"}):
    """The answer to `POST /config/replace`."""

    version: str


class NodeState(Enum):
    """How a control plane stands; the values are those of `--json`."""

    STABLE = "steady"
    FROZEN = "frozen"
    SPARE = "spare"
    ISOLATED = "alone"


class NodeRow(
    msgspec.Struct,
    frozen=True,
    rename={
        "control_plane": "lighthouse",
        "stored": "held",
        "committed": "safe",
        "endpoints": "servers",
        "data_planes": "pilots",
        "shortfalls": "short",
    },
):
    """One line of `status`; the table shows the keys of `STATUS_LABELS`, JSON all."""

    control_plane: str
    state: str
    epoch: int
    stored: str
    committed: str
    endpoints: int
    data_planes: str
    shortfalls: list[str]


class UnreachableRow(msgspec.Struct, frozen=True, rename={"control_plane": "lighthouse"}):
    """One line of `status`, of a control plane that did not answer."""

    control_plane: str
    state: str

    @property
    def shortfalls(self) -> list[str]:
        """Nothing is known of its view."""
        return []


StatusRow = NodeRow | UnreachableRow


class ReplicaRow(msgspec.Struct, frozen=True):
    """One line of `chain`."""

    position: str
    node: str
    live: bool
    committed: str
    disk: str
    behind: str


def node_state(chain: ReplicationStatus) -> NodeState:
    """Return the state that operators are shown for a node."""
    if chain.frozen:
        return NodeState.STABLE if chain.steady else NodeState.FROZEN
    if chain.contact == NO_CONTACT:
        return NodeState.ISOLATED
    if chain.steady:
        return NodeState.STABLE
    return NodeState.ISOLATED if chain.is_member else NodeState.SPARE


def node_row(address: str, report: StatusReport) -> NodeRow:
    """Return a control plane's line of `status`."""
    chain = report.replication
    return NodeRow(
        control_plane=address,
        state=node_state(chain).value,
        epoch=chain.epoch,
        stored=_generation(chain.stored_generation, chain.stored_version),
        committed=_generation(chain.committed_generation, chain.committed_version),
        endpoints=len(report.endpoints),
        data_planes=",".join(report.data_planes) or NOTHING,
        shortfalls=chain.tolerance_shortfalls,
    )


def printed_status(row: StatusRow) -> Mapping[str, object]:
    """Return a line of `status` for the table: by the keys of JSON, with the state's present name."""
    cells: dict[str, object] = msgspec.to_builtins(row)
    names = {state.value: state.name.lower() for state in NodeState}
    cells["state"] = names.get(row.state, row.state)
    return cells


def replica_rows(report: StatusReport) -> list[ReplicaRow]:
    """Return the lines of `chain`: its members from head to tail, then the spares."""
    members = report.replication.members
    positions = ("head", *("middle",) * (len(members) - 2), "tail")
    rows = [_replica_row(report, positions[index], ip) for index, ip in enumerate(members)]
    spares = [ip for ip in report.peer_nodes if ip not in members]
    return rows + [_replica_row(report, "spare", ip) for ip in spares]


def _replica_row(report: StatusReport, position: str, ip: str) -> ReplicaRow:
    peer = report.peer_nodes.get(ip)
    if peer is None:  # the node that was asked
        chain = report.replication
        committed = _generation(chain.committed_generation, chain.committed_version)
        return ReplicaRow(position, ip, True, committed, chain.disk_id, NOTHING)
    committed = f"r{UNKNOWN}" if peer.version is None else _generation(peer.generation, peer.version)
    behind = "; ".join(peer.behind) or NOTHING
    return ReplicaRow(position, ip, peer.is_live, committed, peer.disk_id, behind)


def _generation(generation: str | UnsetType | None, version: int) -> str:
    """Return a version for a table; nodes of earlier versions report its number alone."""
    if generation is UNSET:
        return f"r{version}"
    return NOTHING if generation is None else generation
