"""What a client's request says, the same for both fronts, and where its response goes."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import parse_qs

from wickspring import interface as api
from wickspring.core.effects import ResponseKind
from wickspring.net.octets import HeaderPair, Headers, OctetText
from wickspring.net.sockets import DEFER_S as DEFER_S
from wickspring.tenants import TenantPlans

MAX_BUFFERED_BODY = 64 * 1024  # bytes of a body; a longer one is passed on as it arrives
MAX_BODY_BYTES = 64 << 20
READY_PATH = "/up"
CALL_PATH = "/api"
# What is passed on unchanged must stay one token there too: HTTP/2 lets more through than HTTP/1.1 may say.
_TOKEN = re.compile(r"[\x21-\x7e]{1,256}")
_VISIBLE = re.compile(r"[\x21-\x7e]{1,8192}")
_UNITS = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_WHOLE = re.compile(r"[0-9]{1,4}")
_CUSTOMER = re.compile(r"[0-9A-Fa-f]{16}")
_LENGTH = re.compile(r"[0-9]{1,18}")
MAX_BUDGET_MS = 3_600_000
# Given twice, each of these could be read in two ways, here and by servers (RFC 9110, section 5.3).
_SINGLE_FIELDS = frozenset(
    {
        "host",
        "content-length",
        "transfer-encoding",
        "x-call-id",
        "x-call-class",
        "api-plan",
        "x-budget-ms",
        "idempotency-key",
        "api-terms",
        "x-again",
        ":method",
        ":path",
    }
)
# How long a client may take, in ms. None waits longer than 3 s; what is idle may end after 2 s, not sooner.
FIRST_BYTE_MS = 2600.0  # until the first byte of a new connection
HEAD_MS = 2600.0  # from connecting, or from its first byte, until a request's head has arrived
BODY_MS = 2500.0  # for a body, and 1 ms more
BODY_BYTES_PER_MS = 32.0  # for so many bytes of it: half of a good rate
IDLE_MS = 5000.0  # between two requests
MIN_IDLE_MS = 2000.0  # the same where room is short


class CallError(ValueError):
    """A request that cannot be taken; the message names the field."""

    status = 400


class TooLargeError(CallError):
    """A body over what any request may bring, by what its head says."""

    status = 413


class HeadTooLargeError(CallError):
    """A head over what any request may bring (RFC 6585, section 5)."""

    status = 431


class PlanError(CallError):
    """A customer that asks under another plan than the directory gives it."""

    status = 403


@dataclass(slots=True, frozen=True)
class Call:
    """A request as it will be sent on, and what the decision module is to know of it."""

    method: str
    target: str
    call_id: str
    key: str
    body: bytes
    class_index: int
    plan_index: int
    customer: int
    budget: float
    units: float
    spread: int
    first: int
    repeat: bool


class Client(Protocol):
    """The place of one request in a front, where its response goes."""

    def request_accepted(self, number: int, budget: float) -> None:
        """Note the number of the request, and the milliseconds that its client waits."""

    def respond(self, status: int, retry_after: str, body: bytes) -> None:
        """Give a complete response; `retry_after` is the header's value, or empty."""

    def begin_response(self, length: int | None) -> None:
        """Begin a good response that is passed on as it arrives; None where its length is not declared."""

    def write_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""

    async def wait_writable(self) -> bool:
        """Wait until the client has read what was passed on; False where it has gone."""

    def end_response(self, complete: bool) -> None:
        """End a streamed response; an incomplete one must not pass for complete."""

    def fail_request(self) -> None:
        """Withdraw the request and answer it 500, unless it has its response already."""


INTERNAL_SERVER_ERROR = 500  # RFC 9110, section 15.6.1
SERVICE_UNAVAILABLE = 503  # RFC 9110, section 15.6.4

STATUS = {
    ResponseKind.SERVED: 200,
    ResponseKind.REFUSED: 429,
    ResponseKind.FAILED: 502,
    ResponseKind.REJECTED: 409,
}


def retry_after(milliseconds: float) -> str:
    """Write the time to stay away as decimal seconds, never rounded down to nothing."""
    return f"{max(milliseconds, 1.0) / 1000.0:.3f}"


def read_head(pairs: Iterable[HeaderPair], max_body_bytes: int = MAX_BODY_BYTES) -> Headers:
    """Fold the headers of a request, checking all that says where its body ends before any of that comes.

    Raises:
        CallError: a field that may stand once only is repeated, or the length of the body is not certain.
        TooLargeError: the body is declared longer than `max_body_bytes`.
    """
    headers: dict[str, OctetText] = {}
    for name, value in pairs:
        if name in _SINGLE_FIELDS and name in headers:
            raise CallError(name)
        headers[name] = value
    length = headers.get("content-length")
    if length is not None:
        # RFC 9112, section 6.3: with both, one reader sees a request where another still sees a body.
        if "transfer-encoding" in headers or not _LENGTH.fullmatch(length):
            raise CallError("content-length")
        if int(length) > max_body_bytes:
            raise TooLargeError(f"content-length: over {max_body_bytes} bytes")
    return headers


class CallReader:
    """Checks requests against the settings."""

    def __init__(self, settings: api.Settings, tenant_plans: TenantPlans | None = None) -> None:
        self.settings, self.tenant_plans = settings, tenant_plans
        self.classes = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.plans = {plan.name: index for index, plan in enumerate(settings.plans)}

    def read(self, method: str, target: str, headers: Mapping[str, str], body: bytes) -> Call:
        """Read one request; `CallError` names what is wrong."""
        class_index = self.classes.get(headers.get("x-call-class", ""))
        if class_index is None:
            raise CallError("X-Call-Class")
        plan_index = self.plans.get(headers.get("api-plan", ""))
        if plan_index is None:
            raise CallError("Api-Plan")
        call_id = headers.get("x-call-id", "")
        if not _TOKEN.fullmatch(call_id):
            raise CallError("X-Call-Id")
        if not _VISIBLE.fullmatch(target):
            raise CallError("path")
        key, effect = headers.get("idempotency-key", ""), self.settings.classes[class_index].effect
        if method != ("GET" if effect is api.Effect.SAFE else "POST"):
            raise CallError("method")
        if (effect is api.Effect.KEYED) != bool(key) or (key and not _TOKEN.fullmatch(key)):
            raise CallError("Idempotency-Key")
        if method == "GET" and body:
            raise CallError("body")
        units, spread, first = self._terms(headers.get("api-terms", ""))
        budget = self._budget(class_index, headers.get("x-budget-ms", ""))
        repeat = headers.get("x-again") == "1"
        customer = _customer(target)
        if self.tenant_plans is not None:  # whom the directory does not name yet is taken at its word
            plan = self.settings.plans[plan_index].name
            if self.tenant_plans.plans.get(customer, plan) != plan:
                raise PlanError("Api-Plan")
        return Call(
            method,
            target,
            call_id,
            key,
            body,
            class_index,
            plan_index,
            customer,
            budget,
            units,
            spread,
            first,
            repeat,
        )

    def read_budget(self, headers: Mapping[str, str]) -> float | None:
        """Return how long (ms) the client of a request waits; None where its headers do not tell."""
        class_index = self.classes.get(headers.get("x-call-class", ""))
        if class_index is None:
            return None
        try:
            return self._budget(class_index, headers.get("x-budget-ms", ""))
        except CallError:
            return None

    def _budget(self, class_index: int, text: str) -> float:
        """Read a budget; no class waits longer than its deadline.

        A claim of an hour would hold its state for as long.
        """
        budget = _budget(text)
        return min(budget, self.settings.classes[class_index].deadline or budget)

    def _terms(self, text: str) -> tuple[float, int, int]:
        parts = [part.strip(" \t").partition("=")[::2] for part in text.split(",")]
        terms = dict(parts)
        if len(terms) < len(parts) or not (
            _UNITS.fullmatch(terms.get("units", ""))
            and _WHOLE.fullmatch(terms.get("spread", ""))
            and _WHOLE.fullmatch(terms.get("first", ""))
        ):
            raise CallError("Api-Terms")
        units, spread, first = float(terms["units"]), int(terms["spread"]), int(terms["first"])
        gateways = self.settings.gateways
        if not (0 < units <= self.settings.largest_units and 1 <= spread <= gateways and first < gateways):
            raise CallError("Api-Terms")
        return units, spread, first


def _budget(text: str) -> float:
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) > MAX_BUDGET_MS:
        raise CallError("X-Budget-Ms")
    return float(text)


def _customer(target: str) -> int:
    query = target.partition("?")[2]
    if query.startswith("customer=") and "&" not in query:  # the usual form, read without a full parse
        texts = [query[9:]]
    else:
        texts = parse_qs(query).get("customer", [])
    if len(texts) != 1 or not _CUSTOMER.fullmatch(texts[0]) or int(texts[0], 16) >= 2**33:
        raise CallError("customer")
    return int(texts[0], 16)
