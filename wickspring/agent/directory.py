"""Tenants and their plans from an LDAP directory.

The directory may be down, slow, or hold entries that nobody can use. The last good copy is kept in a file
and stays in force until a better one has been read whole; a faulty entry is left out and named.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ldap3
import trio
from ldap3.core.exceptions import LDAPException

from wickspring.agent.settings import DirectoryFile
from wickspring.logs import kv
from wickspring.tenants import Tenant, Tenants, TenantsError, load_tenants, save_tenants

log = logging.getLogger(__name__)

MAX_FAULTY_SHARE = 0.5  # of the entries; above it the mapping is taken to be faulty, and the list refused
MAX_LOGGED_FAULTS = 20
CUSTOMER_DIGITS = 16  # hexadecimal
MAX_CUSTOMER = 2**33  # exclusive
_HEX_DIGITS = frozenset("0123456789abcdef")


class DirectoryError(Exception):
    """The directory gave no list that can be used; the message says why."""


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One entry of the directory, as text."""

    dn: str
    attributes: dict[str, list[str]]

    def value(self, attribute: str, default: str | None = None) -> str:
        """Return the one value of an attribute, or the default where it has none.

        Raises:
            DirectoryError: it has several values, or none and no default.
        """
        values = self.attributes.get(attribute, [])
        if not values and default is not None:
            return default
        if len(values) != 1:
            raise DirectoryError(f"{self.dn}: {attribute} has {len(values)} values")
        return values[0]


def parse_entry(entry: DirectoryEntry, file: DirectoryFile, plans: frozenset[str]) -> Tenant:
    """Read one entry; `plans` are those of the instances, empty where any will do.

    Raises:
        DirectoryError: it cannot be used; the message names the entry and the attribute.
    """
    customer = entry.value(file.customer).lower()
    plan = entry.value(file.plan)
    if len(customer) != CUSTOMER_DIGITS or not _HEX_DIGITS.issuperset(customer):
        raise DirectoryError(f"{entry.dn}: {file.customer} is not 16 hex digits: {customer!r}")
    if int(customer, 16) >= MAX_CUSTOMER:
        raise DirectoryError(f"{entry.dn}: {file.customer} is not below 2^33: {customer!r}")
    if plans and plan not in plans:
        raise DirectoryError(f"{entry.dn}: {file.plan} is no plan of the instances: {plan!r}")
    return Tenant(customer, plan, entry.value(file.name, ""))


def parse_entries(entries: list[DirectoryEntry], file: DirectoryFile, plans: frozenset[str]) -> Tenants:
    """Read all entries; faulty ones are left out and named.

    Raises:
        DirectoryError: there are no entries, or too many are faulty.
    """
    tenants: dict[str, Tenant] = {}
    faults: list[str] = []
    for entry in entries:
        try:
            tenant = parse_entry(entry, file, plans)
            if tenant.customer in tenants:
                raise DirectoryError(f"{entry.dn}: {file.customer} {tenant.customer} is taken")
        except DirectoryError as error:
            faults.append(str(error))
        else:
            tenants[tenant.customer] = tenant
    if not entries:
        raise DirectoryError("no entry matches the filter")
    if len(faults) > MAX_FAULTY_SHARE * len(entries):
        raise DirectoryError(f"{len(faults)} of {len(entries)} entries are faulty; the first: {faults[0]}")
    return Tenants(tuple(sorted(tenants.values())), time.time(), tuple(faults))


def fetch(file: DirectoryFile, password: str, plans: frozenset[str]) -> Tenants:
    """Read the whole directory, page by page. Blocks: call it in a thread.

    Raises:
        DirectoryError: the directory cannot be reached, or gave no list that can be used.
    """
    try:
        connection = _connect(file, password)
        try:
            entries = _search(connection, file)
        finally:
            connection.unbind()
    except (LDAPException, OSError, UnicodeDecodeError) as error:
        raise DirectoryError(f"{type(error).__name__}: {error}") from error
    return parse_entries(entries, file, plans)


def _connect(file: DirectoryFile, password: str) -> ldap3.Connection:
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
    return connection


def _search(connection: ldap3.Connection, file: DirectoryFile) -> list[DirectoryEntry]:
    responses = connection.extend.standard.paged_search(
        file.base,
        file.filter,
        attributes=[file.customer, file.plan, file.name],
        paged_size=file.page_size,
        generator=True,
    )
    return [_decode_entry(response) for response in responses if response.get("type") == "searchResEntry"]


def _decode_entry(response: dict[str, Any]) -> DirectoryEntry:
    raw = response["raw_attributes"]
    attributes = {name: [value.decode() for value in raw[name] or ()] for name in raw}
    return DirectoryEntry(str(response["dn"]), attributes)


class DirectorySync:
    """Keeps the tenants in step with the directory for as long as it runs."""

    def __init__(self, file: DirectoryFile, password: str, plans: frozenset[str], tenants_file: Path) -> None:
        self.file = file
        self.password = password
        self.plans = plans
        self.tenants_file = tenants_file
        self.tenants = Tenants()  # the last good list
        self.error = ""  # of the last attempt; empty where it succeeded
        try:
            self.tenants = load_tenants(tenants_file)
        except TenantsError as error:
            log.warning("copy_unusable", extra=kv(reason=error))

    async def refresh(self) -> bool:
        """Read the directory once; a failure leaves the last good list in force."""
        try:
            tenants = await trio.to_thread.run_sync(fetch, self.file, self.password, self.plans)
            if tenants.tenants != self.tenants.tenants:
                log.info("tenants", extra=kv(count=len(tenants.tenants), faulty=len(tenants.faults)))
            self.tenants = tenants
            self.error = ""
            await trio.to_thread.run_sync(save_tenants, self.tenants_file, tenants)
        except (DirectoryError, OSError) as error:
            self.error = str(error)
            log.warning("directory_failed", extra=kv(reason=error, kept=len(self.tenants.tenants)))
            return False
        for fault in self.tenants.faults[:MAX_LOGGED_FAULTS]:
            log.warning("tenant_faulty", extra=kv(reason=fault))
        return True

    async def run(self) -> None:
        """Refresh every `refresh_s` seconds, until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(self.file.refresh_s)
