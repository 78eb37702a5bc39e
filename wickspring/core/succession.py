"""Hot restart: messages between the serving process and its successor, export and import of state.

No I/O, no clock. Times are Unix milliseconds, which both processes read alike. What cannot be handed over (an
attempt in flight, a call to the counter that is not answered) stays with the process that made it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import msgspec

from wickspring import interface as api
from wickspring.core.reducer import Reducer
from wickspring.policy import Policy
from wickspring.quota.ceiling_share import initial_share
from wickspring.quota.counting_windows import counting_window
from wickspring.quota.customer_quota import CustomerQuota
from wickspring.routing.concurrency_limit import ConcurrencyLimit
from wickspring.routing.latency_estimate import LatencyEstimate
from wickspring.routing.server_table import Server

VERSION = 1  # of the messages; a peer of another version is followed by a start without its state
BATCH = 256  # quotas, servers or ids in one message, so that none is longer than a socket takes


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """The successor's first message."""

    version: int


class Welcome(msgspec.Struct, tag="welcome", array_like=True, frozen=True):
    """The serving process's answer; with it come its listening sockets, the clients' first."""

    version: int
    excluded: list[bytes] = []  # servers, for maintenance
    included_at: dict[bytes, float] = {}  # when others were included again


class Serving(msgspec.Struct, tag="serving", array_like=True, frozen=True):
    """The successor can serve: from here on it alone accepts."""


class QuotaState(msgspec.Struct, array_like=True, frozen=True):
    """One customer's quota; the fields are those of `CustomerQuota`, their order is fixed by the wire."""

    customer: int
    plan: int
    spread: int
    updated_at: float
    tokens: float
    local_tokens: float
    ceiling_share: float
    window: int
    last_overspent: int
    total: float
    unreported: float
    last_units: float
    usage_ratio: float
    counted_at: float
    local_usage: float
    remote_usage: float


class ServerState(msgspec.Struct, array_like=True, frozen=True):
    """One ticket server's health and latency; the fields are those of `Server` in their order on the wire."""

    server: bytes
    warming_since: float
    failures: int
    ejected_until: float
    ejected_for: dict[int, float]
    last_received_at: float
    last_success_at: dict[int, float]
    latency_mean: float
    latency_updated_at: float | None


class General(msgspec.Struct, array_like=True, frozen=True):
    """What the decision module knows of no one customer or server."""

    call_probability: float
    probability_cut_at: float
    mean_units: float
    concurrency_limit: float
    mean_latency: float
    median_latency: float
    limit_updated_at: float
    full_ratio: list[float]
    retry_balance: float
    mean_latency_ms: list[float]


class State(msgspec.Struct, tag="state", array_like=True, frozen=True):
    """A part of the state; the last one says that all parts have been sent."""

    quotas: list[QuotaState] = []
    servers: list[ServerState] = []
    general: General | None = None
    open: dict[str, float] = {}  # call ids under way, until when at most
    unsafe: dict[str, float] = {}  # call ids that must not run again, until when
    last: bool = False


class ClientConnection(msgspec.Struct, tag="client", array_like=True, frozen=True):
    """A client's connection, which comes with it, and what has been read of its next request."""

    ahead: bytes = b""


class MaintenanceChanged(msgspec.Struct, tag="moved", array_like=True, frozen=True):
    """A server has been excluded for maintenance, or included again at a time."""

    server: bytes
    included_at: float | None = None


class DescriptorsHeld(msgspec.Struct, tag="held", array_like=True, frozen=True):
    """How many descriptors the old process still holds."""

    descriptors: int


Message = Hello | Welcome | Serving | State | ClientConnection | MaintenanceChanged | DescriptorsHeld


def _quota_state(quota: CustomerQuota, plan: int) -> QuotaState:
    return QuotaState(
        quota.customer,
        plan,
        quota.spread,
        quota.updated_at,
        quota.tokens,
        quota.local_tokens,
        quota.ceiling.share,
        quota.window,
        quota.last_overspent,
        quota.total,
        quota.unreported,
        quota.last_units,
        quota.usage_ratio,
        quota.counted_at,
        quota.local_usage,
        quota.remote_usage,
    )


def _quota(state: QuotaState, settings: api.Settings) -> CustomerQuota:
    plan = settings.plans[state.plan]
    return CustomerQuota(
        state.customer,
        plan,
        state.spread,
        counting_window(plan, state.spread, settings.largest_units),
        state.updated_at,
        state.tokens,
        state.local_tokens,
        replace(initial_share(plan, state.spread), share=state.ceiling_share),
        settings.largest_units,
        window=state.window,
        last_overspent=state.last_overspent,
        total=state.total,
        unreported=state.unreported,
        last_units=state.last_units,
        usage_ratio=state.usage_ratio,
        counted_at=state.counted_at,
        local_usage=state.local_usage,
        remote_usage=state.remote_usage,
    )


def _server_state(name: bytes, server: Server) -> ServerState:
    return ServerState(
        name,
        server.warming_since,
        server.failures,
        server.ejected_until,
        server.ejected_for,
        server.last_received_at,
        server.last_success_at,
        server.latency.mean,
        server.latency.updated_at,
    )


def _restore_server(server: Server, state: ServerState) -> None:
    server.warming_since = state.warming_since
    server.failures = state.failures
    server.ejected_until = state.ejected_until
    server.ejected_for = state.ejected_for
    server.last_received_at = state.last_received_at
    server.last_success_at = state.last_success_at
    server.latency = LatencyEstimate(state.latency_mean, state.latency_updated_at)


def _general(policy: Policy) -> General:
    calls, limit = policy.counter_calls, policy.concurrency_limit
    return General(
        calls.probability,
        calls.cut_at,
        calls.mean_units,
        limit.limit,
        limit.mean_latency,
        limit.median_latency,
        limit.updated_at,
        policy.full_ratio,
        policy.retry_budget.balance,
        policy.mean_latency_ms,
    )


def _restore_general(policy: Policy, general: General) -> None:
    calls = policy.counter_calls
    calls.probability = general.call_probability
    calls.cut_at = general.probability_cut_at
    calls.mean_units = general.mean_units
    policy.selector.concurrency_limit = ConcurrencyLimit(
        general.concurrency_limit, general.mean_latency, general.median_latency, general.limit_updated_at
    )
    policy.retry_budget.balance = general.retry_balance
    same_plans = len(general.full_ratio) == len(policy.full_ratio)
    if same_plans and len(general.mean_latency_ms) == len(policy.mean_latency_ms):
        policy.full_ratio = list(general.full_ratio)
        policy.mean_latency_ms = list(general.mean_latency_ms)


def export_state(reducer: Reducer) -> Iterator[State]:
    """Return the state in parts; the last one says so."""
    policy = reducer.policy
    plan_indexes = {id(plan): index for index, plan in enumerate(policy.settings.plans)}
    quotas = [_quota_state(quota, plan_indexes[id(quota.plan)]) for quota in policy.quotas.values()]
    servers = [_server_state(name, server) for name, server in policy.server_table.servers.items()]
    open_ids, unsafe = list(reducer.open_ids().items()), list(reducer.call_ids.unrepeatable.items())
    for at in range(0, max(len(quotas), len(servers), len(open_ids), len(unsafe)), BATCH):
        part = slice(at, at + BATCH)
        yield State(quotas[part], servers[part], open=dict(open_ids[part]), unsafe=dict(unsafe[part]))
    yield State(general=_general(policy), last=True)


def import_state(reducer: Reducer, state: State) -> None:
    """Take a part of the old process's state in; what does not fit the settings here is ignored."""
    policy, settings = reducer.policy, reducer.settings
    for quota in state.quotas:
        if 0 <= quota.plan < len(settings.plans) and 1 <= quota.spread <= max(1, settings.gateways):
            policy.quotas[quota.customer] = _quota(quota, settings)
    for server_state in state.servers:
        server = policy.server_table.servers.get(server_state.server)
        if server is not None and server.warming_since <= server_state.warming_since:
            _restore_server(server, server_state)  # else it is gone, or started anew since
    if state.general is not None:
        _restore_general(policy, state.general)
    reducer.call_ids.take_over(state.open, state.unsafe)
