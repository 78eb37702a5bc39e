"""The part of a control-plane node's status that the node writes and the command line reads by its fields.

The names in JSON belong to the interface of operators. Where a field has another name in this program, the
`rename` of its class keeps the name in JSON.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType


class ReplicationStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "is_member": "member",
        "stored_version": "held",
        "committed_version": "safe",
        "disk_id": "disk",
        "tolerance_shortfalls": "short",
    },
):
    """The replication chain as this node knows it."""

    epoch: int
    members: list[str]  # of the chain, its head first
    voters: list[str]
    is_member: bool
    contact: str
    frozen: bool
    steady: bool
    stored_version: int  # 0 for r0 and for none; `stored_generation` tells them apart
    committed_version: int
    disk_id: str
    tolerance_shortfalls: list[str]  # faults named in the settings that the view would not survive
    stored_generation: str | UnsetType | None = UNSET  # as operators write it; None: no configuration
    committed_generation: str | UnsetType | None = UNSET
