"""How a node joins its replication group when its process starts."""

from __future__ import annotations

import secrets

from wickspring.common.settings import NodeSettings
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.view import FaultTolerance, Member, View
from wickspring.controlplane.storage import ReplicaStore

FIRST_DISK_ID = "first"  # the disk's id on the very first start, which all nodes can know of each other
DISK_ID_BYTES = 6


def load_chain(settings: NodeSettings, store: ReplicaStore, seed: int) -> ReplicationChain:
    """Return the chain of this node: as saved, as a seed on the very first start, or as a new member.

    A node whose disk was lost, or that is new, has no vote until a view includes it. The chain is marked
    dirty, so that its state is saved before anything is sent.
    """
    limits = settings.tolerates
    tolerance = FaultTolerance(limits.machines, limits.zones, limits.regions)
    saved = store.load()
    if saved is not None:
        durable, replica = saved
        me = Member(settings.ip, str(durable["disk"]))
        chain = ReplicationChain(me, View(), seed, replica, tolerance, settings.zone)
        chain.restore(durable)
    elif settings.is_first_start:
        members = tuple(Member(address, FIRST_DISK_ID) for address in settings.seed_ips())
        me = Member(settings.ip, FIRST_DISK_ID)
        chain = ReplicationChain(me, View(1, members, members), seed, None, tolerance, settings.zone)
    else:
        me = Member(settings.ip, secrets.token_hex(DISK_ID_BYTES))
        chain = ReplicationChain(me, View(), seed, None, tolerance, settings.zone)
    chain.dirty = True
    return chain
