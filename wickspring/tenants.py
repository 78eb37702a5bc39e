"""The tenants and their plans, as the agent keeps them in a file for itself and for its ingresses."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec


class TenantsError(ValueError):
    """A file of tenants that cannot be read."""


class Tenant(msgspec.Struct, frozen=True, order=True):
    """One member firm."""

    customer: str  # 16 hex digits, as in requests
    plan: str
    name: str = ""


class Tenants(msgspec.Struct, frozen=True):
    """All member firms, as they were at a time."""

    tenants: tuple[Tenant, ...] = ()
    read_at: float = 0.0  # Unix seconds; 0: never
    faults: tuple[str, ...] = ()


def load_tenants(path: Path) -> Tenants:
    """Read the last good list; empty where there is no file.

    Raises:
        TenantsError: the file cannot be read.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Tenants)
    except FileNotFoundError:
        return Tenants()
    except (OSError, msgspec.DecodeError) as error:
        raise TenantsError(f"{path}: {error}") from error


def save_tenants(path: Path, tenants: Tenants) -> None:
    """Replace the file atomically: a crash leaves the old list or the new one.

    Raises:
        OSError: the file cannot be written.
    """
    partial = path.with_name(path.name + ".new")
    with partial.open("wb") as file:
        file.write(msgspec.json.encode(tenants))
        file.flush()
        os.fsync(file.fileno())
    partial.replace(path)


class TenantPlans:
    """The plan of each customer, read again whenever the file has changed."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.plans: dict[int, str] = {}  # by customer
        self._version: tuple[int, int] | None = None  # modification time and inode of the file as read

    def refresh(self) -> bool:
        """Read the file if it has changed; return whether it had.

        Raises:
            TenantsError: the file cannot be read; the plans stay as they were.
        """
        try:
            stat = self.path.stat()
        except OSError:
            return False
        version = (stat.st_mtime_ns, stat.st_ino)
        if version == self._version:
            return False
        self._version = version
        tenants = load_tenants(self.path).tenants
        try:
            self.plans = {int(tenant.customer, 16): tenant.plan for tenant in tenants}
        except ValueError as error:
            raise TenantsError(f"{self.path}: {error}") from error
        return True
