"""Tenants and their plans from an LDAP directory.

The directory may be down, slow, or hold entries that nobody can use. The last good copy is kept in a file
and stays in force until a better one has been read whole; a faulty entry is left out and named.
"""

from __future__ import annotations

import logging
import time
from pathlib import Path

import ldap3
import trio
from ldap3.core.exceptions import LDAPException

from wickspring.agent.settings import DirectoryFile
from wickspring.logs import kv
from wickspring.tenants import Tenant, Tenants, TenantsError, load_copy, save_copy

log = logging.getLogger(__name__)

MOST_FAULTY = 0.5  # of the entries; above it the answer is taken for a fault of the mapping, and refused
SHOWN_FAULTS = 20


class DirectoryError(Exception):
    """The directory gave no list that can be used; the message says why."""


def check(dn: str, attributes: dict[str, list[str]], file: DirectoryFile, plans: frozenset[str]) -> Tenant:
    """Read one entry; the error names the entry and the attribute."""

    def one(attribute: str, default: str | None = None) -> str:
        values = attributes.get(attribute, [])
        if not values and default is not None:
            return default
        if len(values) != 1:
            raise DirectoryError(f"{dn}: {attribute} has {len(values)} values")
        return values[0]

    customer, plan = one(file.customer).lower(), one(file.plan)
    if len(customer) != 16 or any(letter not in "0123456789abcdef" for letter in customer):
        raise DirectoryError(f"{dn}: {file.customer} is not 16 hex digits: {customer!r}")
    if int(customer, 16) >= 2**33:
        raise DirectoryError(f"{dn}: {file.customer} is not below 2^33: {customer!r}")
    if plans and plan not in plans:
        raise DirectoryError(f"{dn}: {file.plan} is no plan of the instances: {plan!r}")
    return Tenant(customer, plan, one(file.name, ""))


def collect(
    entries: list[tuple[str, dict[str, list[str]]]], file: DirectoryFile, plans: frozenset[str]
) -> Tenants:
    """Check all entries; too many faulty ones make the whole list faulty."""
    found, faults = dict[str, Tenant](), list[str]()
    for dn, attributes in entries:
        try:
            tenant = check(dn, attributes, file, plans)
            if tenant.customer in found:
                raise DirectoryError(f"{dn}: {file.customer} {tenant.customer} is taken")
        except DirectoryError as error:
            faults.append(str(error))
        else:
            found[tenant.customer] = tenant
    if not entries:
        raise DirectoryError("no entry matches the filter")
    if len(faults) > MOST_FAULTY * len(entries):
        raise DirectoryError(f"{len(faults)} of {len(entries)} entries are faulty; the first: {faults[0]}")
    return Tenants(tuple(sorted(found.values())), time.time(), tuple(faults))


def fetch(file: DirectoryFile, password: str, plans: frozenset[str]) -> Tenants:
    """Read the whole directory, page by page. Blocks: call it in a thread."""
    try:
        server = ldap3.Server(file.url, connect_timeout=file.timeout_s, get_info=ldap3.NONE)
        connection = ldap3.Connection(
            server,
            user=file.bind_dn or None,
            password=password or None,
            authentication=ldap3.SIMPLE if file.bind_dn else ldap3.ANONYMOUS,
            receive_timeout=file.timeout_s,
            raise_exceptions=True,
            read_only=True,
        )
        if file.start_tls:
            connection.start_tls()
        connection.bind()
        try:
            pages = connection.extend.standard.paged_search(
                file.base,
                file.filter,
                attributes=[file.customer, file.plan, file.name],
                paged_size=file.page_size,
                generator=True,
            )
            entries = []
            for entry in pages:
                if entry.get("type") == "searchResEntry":
                    raw = entry["raw_attributes"]
                    texts = {name: [value.decode() for value in raw[name] or ()] for name in raw}
                    entries.append((str(entry["dn"]), texts))
        finally:
            connection.unbind()
    except (LDAPException, OSError, UnicodeDecodeError) as error:
        raise DirectoryError(f"{type(error).__name__}: {error}") from error
    return collect(entries, file, plans)


class Follower:
    """Keeps the tenants fresh for as long as it runs."""

    def __init__(self, file: DirectoryFile, password: str, plans: frozenset[str], copy: Path) -> None:
        self.file, self.password, self.plans, self.copy = file, password, plans, copy
        self.held, self.error = Tenants(), ""  # the error of the last try; empty where it went well
        try:
            self.held = load_copy(copy)
        except TenantsError as error:
            log.warning("copy_unusable", extra=kv(reason=error))

    async def refresh(self) -> bool:
        """Read the directory once; a failure leaves what is held in force."""
        try:
            tenants = await trio.to_thread.run_sync(fetch, self.file, self.password, self.plans)
            if tenants.tenants != self.held.tenants:
                log.info("tenants", extra=kv(count=len(tenants.tenants), faulty=len(tenants.faults)))
            self.held, self.error = tenants, ""
            await trio.to_thread.run_sync(save_copy, self.copy, tenants)
        except (DirectoryError, OSError) as error:
            self.error = str(error)
            log.warning("directory_failed", extra=kv(reason=error, kept=len(self.held.tenants)))
            return False
        for fault in self.held.faults[:SHOWN_FAULTS]:
            log.warning("tenant_faulty", extra=kv(reason=fault))
        return True

    async def run(self) -> None:
        """Refresh for ever."""
        while True:
            await self.refresh()
            await trio.sleep(self.file.refresh_s)
