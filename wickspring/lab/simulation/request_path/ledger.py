"""What was requested, executed, sent and received in a run, and the invariants on it."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random

from wickspring.lab.simulation.invariants import InvariantBrokenError

EFFECTFUL_PREFIX = "/do/"  # of the path of a request that may be executed only once
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # say that a request was not and will not be executed


@dataclass
class Ledger:
    """The requests of one run and all that became of them, by request id."""

    random: Random
    requests: dict[str, tuple[str, int]] = field(default_factory=dict)  # path, length of the body
    executions: Counter[str] = field(default_factory=Counter)
    # The servers that it was sent to, in order.
    sent_to: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    # Status, seal and body of each response that a client may be given.
    responses: defaultdict[str, list[tuple[int, str, bytes]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    statuses: dict[str, int] = field(default_factory=dict)  # that its client has read
    seen: Counter[str] = field(default_factory=Counter)  # events, by name

    def fail(self, what: str, *about: object) -> None:
        """Raise InvariantBrokenError."""
        raise InvariantBrokenError(f"{what}: {about}")

    def read(self, request_id: str, status: int, headers: dict[str, str], body: bytes) -> None:
        """Record a complete response that a client has read, and check it."""
        self.statuses[request_id] = status
        self.seen[f"told[{status}]"] += 1
        seal = headers.get("x-server-seal", "")
        if 200 <= status < 300 and not seal:
            self.fail("a success without a seal", request_id, status)
        if (seal or 200 <= status < 300) and (status, seal, body) not in self.responses[request_id]:
            self.fail(
                "not what a server said to it",
                request_id,
                status,
                seal,
                len(body),
                self.responses[request_id],
            )
        if status != 204 and not ({"content-length", "transfer-encoding"} & headers.keys()):
            self.fail("an answer that does not tell its end", request_id, status)
        if status < 500 and headers.get("x-attempt-id", request_id) != request_id:
            self.fail("another's answer", request_id, headers)

    def check_end(self, max_attempts: int) -> None:
        """Check what can only be known at the end of the run."""
        for request_id, (path, _) in self.requests.items():
            if path == EFFECTFUL_PREFIX and self.executions[request_id] > 1:
                self.fail("ran twice", request_id, self.sent_to[request_id])
            if self.statuses.get(request_id) in NOT_EXECUTED_STATUSES and self.executions[request_id]:
                self.fail("refused though it ran", request_id, self.statuses[request_id])
            if len(self.sent_to[request_id]) > min(max_attempts, len(set(self.sent_to[request_id]))):
                self.fail("too many tries, or one server twice", request_id, self.sent_to[request_id])


def request_body(request_id: str, length: int) -> bytes:
    """Return the body that a client sends with a request."""
    return (request_id.encode() * (length // len(request_id) + 1))[:length]
