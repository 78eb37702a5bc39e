"""What the serving process tells the one that follows it: messages, and how state is taken out and put in.

Free of I/O and clock. Times are Unix milliseconds, which both processes read alike. What cannot be told apart
(an attempt that is out, a call to the counter that is not answered) stays with the process that made it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import msgspec

from wickspring.core.reducer import Reducer
from wickspring.policy import Policy
from wickspring.quota.account import Account
from wickspring.quota.ceiling import opened
from wickspring.quota.windows import window
from wickspring.routing.pace import Pace
from wickspring.routing.room import Room

VERSION = 1  # of the messages; another is answered with a plain start
BATCH = 256  # accounts, servers or ids in one message, so that none is longer than a socket takes


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """The successor's first word."""

    version: int


class Welcome(msgspec.Struct, tag="welcome", array_like=True, frozen=True):
    """The serving process's answer; with it come its listening sockets, the clients' first."""

    version: int
    out: list[bytes] = []  # ticket servers taken out
    back: dict[bytes, float] = {}  # and when others were put back


class Serving(msgspec.Struct, tag="serving", array_like=True, frozen=True):
    """The successor can serve: from here on it alone accepts."""


class AccountState(msgspec.Struct, array_like=True, frozen=True):
    """One customer's quota; the fields are those of `account.Account`."""

    customer: int
    plan: int
    spread: int
    at: float
    store: float
    alone: float
    ceiling: float
    window: int
    past_in: int
    total: float
    owed: float
    units: float
    heat: float
    heat_at: float
    own: float
    elsewhere: float


class ServerState(msgspec.Struct, array_like=True, frozen=True):
    """One ticket server's health and pace; the fields are those of `state.Server`."""

    server: bytes
    cold_from: float
    fails: int
    shun_until: float
    shun_part: dict[int, float]
    heard_at: float
    served_at: dict[int, float]
    pace_mean: float
    pace_at: float | None


class General(msgspec.Struct, array_like=True, frozen=True):
    """What the decision module knows of no one customer or server."""

    ask: float
    cut_at: float
    units: float
    room: float
    delay: float
    middle: float
    room_at: float
    full: list[float]
    retries: float
    answer_ms: list[float]


class State(msgspec.Struct, tag="state", array_like=True, frozen=True):
    """A part of the state; with the last one it is whole."""

    accounts: list[AccountState] = []
    servers: list[ServerState] = []
    general: General | None = None
    open: dict[str, float] = {}  # call ids under way, until when at most
    unsafe: dict[str, float] = {}  # call ids that must not run again, until when
    last: bool = False


class ClientConnection(msgspec.Struct, tag="client", array_like=True, frozen=True):
    """A client's connection, which comes with it, and what has been read of its next request."""

    ahead: bytes = b""


class MaintenanceChanged(msgspec.Struct, tag="moved", array_like=True, frozen=True):
    """A ticket server has been taken out, or put back at a time."""

    server: bytes
    back: float | None = None


class DescriptorsHeld(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """How many descriptors the old process still holds."""

    descriptors: int


Message = Hello | Welcome | Serving | State | ClientConnection | MaintenanceChanged | DescriptorsHeld


def _plans(policy: Policy) -> dict[int, int]:
    return {id(plan): index for index, plan in enumerate(policy.settings.plans)}


def _account(account: Account, plans: dict[int, int]) -> AccountState:
    return AccountState(
        account.customer,
        plans[id(account.plan)],
        account.spread,
        account.at,
        account.store,
        account.alone,
        account.ceiling.part,
        account.window,
        account.past_in,
        account.total,
        account.owed,
        account.units,
        account.heat,
        account.heat_at,
        account.own,
        account.elsewhere,
    )


def export_state(reducer: Reducer) -> Iterator[State]:
    """Return the state in parts; the last one says so."""
    policy = reducer.policy
    plans = _plans(policy)
    accounts = [_account(account, plans) for account in policy.accounts.values()]
    servers = [
        ServerState(
            name,
            one.cold_from,
            one.fails,
            one.shun_until,
            one.shun_part,
            one.heard_at,
            one.served_at,
            one.pace.mean,
            one.pace.at,
        )
        for name, one in policy.servers.items()
    ]
    is_open, unsafe = list(reducer.open_ids().items()), list(reducer.spent_ids().items())
    for at in range(0, max(len(accounts), len(servers), len(is_open), len(unsafe)), BATCH):
        part = slice(at, at + BATCH)
        yield State(accounts[part], servers[part], open=dict(is_open[part]), unsafe=dict(unsafe[part]))
    yield State(
        general=General(
            policy.ask,
            policy.cut_at,
            policy.units,
            policy.room.size,
            policy.room.delay,
            policy.room.middle,
            policy.room.at,
            policy.full,
            policy.retries,
            policy.answer_ms,
        ),
        last=True,
    )


def import_state(reducer: Reducer, state: State) -> None:
    """Take a part of the old process's state in; what does not fit the settings here is passed over."""
    policy, settings = reducer.policy, reducer.settings
    for told in state.accounts:
        if not 0 <= told.plan < len(settings.plans) or not 1 <= told.spread <= max(1, settings.gateways):
            continue
        plan = settings.plans[told.plan]
        windows = window(plan, told.spread, settings.largest_units)
        ceiling = replace(opened(plan, told.spread), part=told.ceiling)
        policy.accounts[told.customer] = Account(
            told.customer,
            plan,
            told.spread,
            windows,
            told.at,
            told.store,
            told.alone,
            ceiling,
            settings.largest_units,
            window=told.window,
            past_in=told.past_in,
            total=told.total,
            owed=told.owed,
            units=told.units,
            heat=told.heat,
            heat_at=told.heat_at,
            own=told.own,
            elsewhere=told.elsewhere,
        )
    for one in state.servers:
        server = policy.servers.get(one.server)
        if server is None or server.cold_from > one.cold_from:
            continue  # gone, or started anew since: nothing of old holds
        server.cold_from, server.fails, server.shun_until = one.cold_from, one.fails, one.shun_until
        server.shun_part, server.heard_at, server.served_at = one.shun_part, one.heard_at, one.served_at
        server.pace = Pace(one.pace_mean, one.pace_at)
    general = state.general
    if general is not None:
        policy.ask, policy.cut_at, policy.units = general.ask, general.cut_at, general.units
        policy.room = Room(general.room, general.delay, general.middle, general.room_at)
        policy.retries = general.retries
        if len(general.full) == len(policy.full) and len(general.answer_ms) == len(policy.answer_ms):
            policy.full, policy.answer_ms = list(general.full), list(general.answer_ms)
    reducer.adopt_ids(state.open, state.unsafe)
