"""Which control-plane node keeps a tenant's count or a service's load: its owner.

All processes choose the owner alike among the members of the view, by rendezvous hashing (Thaler and
Ravishankar, 1998). No I/O.
"""

from __future__ import annotations

import hashlib

HASH_SIZE = 8  # bytes


class Owners:
    """The members of the view of the highest epoch, and the owner of each key among them."""

    def __init__(self) -> None:
        self.epoch = -1  # of the view; sent with each add as its fencing token
        self.members: list[str] = []  # IPs of the replicas
        self._by_key: dict[str, str] = {}

    def update_view(self, epoch: int, members: list[str]) -> bool:
        """Adopt the members of a view; return False where its epoch is not higher than the present one."""
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self.members = members
        self._by_key.clear()
        return True

    def owner(self, key: str) -> str:
        """Return the IP of the member that owns a tenant's or service's count; "" where none is known."""
        owner = self._by_key.get(key)
        if owner is None:
            owner = max(self.members, key=lambda ip: _hash(key, ip), default="")
            self._by_key[key] = owner
        return owner


def _hash(key: str, ip: str) -> bytes:
    return hashlib.blake2b(f"{key} {ip}".encode(), digest_size=HASH_SIZE).digest()
