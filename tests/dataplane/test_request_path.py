"""Responses and the requests they belong to: a data plane among faulty servers and clients."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

import h11
import pytest
import trio

from wickspring.common.errors import ErrorKind
from wickspring.dataplane import upstream
from wickspring.dataplane.policy.attempts import AttemptOutcome, Attempts
from wickspring.dataplane.request import response
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.model import Request
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.upstream import UpstreamConnection
from wickspring.lab.emulation.local_gateway import API_KEY, HOST, PURE_PREFIX
from wickspring.lab.simulation.invariants import InvariantBrokenError
from wickspring.lab.simulation.request_path.faulty_server import FAULTS
from wickspring.lab.simulation.request_path.ledger import (
    EFFECTFUL_PREFIX,
    request_body,
)
from wickspring.lab.simulation.request_path.simulation import LONG_BODY_BYTES, Simulation
from wickspring.net.http1_front import Http1Connection
from wickspring.net.upstream.http1 import Http1ServerConnection
from wickspring.net.upstream.response_reader import ResponseReader


def run_seeds(seeds: range, **how: Any) -> Counter[str]:
    """Run seeds; return what was counted in all of them together."""
    seen: Counter[str] = Counter()
    for seed in seeds:
        seen.update(Simulation(seed, **how).run().seen)
    return seen


@pytest.mark.parametrize(
    ("seeds", "how"),
    [
        (range(450), {"server_pairs": 1, "client_count": 2, "requests_per_client": 4}),
        (
            range(450, 850),
            {"server_pairs": 2, "client_count": 2, "requests_per_client": 3, "fault_share": 0.9},
        ),
        (range(850, 910), {"fault_share": 0.3}),
        (range(910, 1060), {"server_pairs": 2, "client_count": 2, "requests_per_client": 5, "drains": True}),
    ],
)
def test_no_combination_of_faults_breaks_an_invariant(seeds: range, how: dict[str, Any]) -> None:
    """Responses are complete, the request's own and signed; no second execution or false refusal; in time."""
    seen = run_seeds(seeds, **how)
    assert set(FAULTS) <= set(seen)
    assert seen["told[200]"] > 1.5 * len(seeds) and seen["told[502]"] > 0.5 * len(seeds)


def test_responses_of_correct_endpoints_are_forwarded_complete() -> None:
    seen = run_seeds(range(20), fault_share=0.0)
    assert seen["told[200]"] > 250 and set(seen) <= {"good", "told[200]", "told[504]"}


def test_a_streamed_body_is_sent_to_no_second_endpoint() -> None:
    seen = run_seeds(range(20), only_faults=("turned_away", "closes", "reset_unread"))
    assert seen["told[503]"] and seen["turned_away"] > 40


def test_a_streamed_response_is_ended_by_its_own_attempt_alone() -> None:
    # Deadlines are past the slowest response: no other attempt's end may cut one.
    patient: dict[str, Any] = {"timeout_s": 20.0, "deadlines_ms": (20_000,)}
    seen = run_seeds(range(40), only_faults=("drips", "silent"), **patient)
    assert seen["drips"] > 200 and not seen["reset to the client"]  # no server cuts one here


def test_a_partly_written_request_may_have_run() -> None:
    seen = run_seeds(range(30), only_faults=("early", "silent"))  # servers that run by the head alone
    assert seen["early"] > 100 and seen["told[502]"]


@pytest.mark.parametrize(
    ("fault", "least"),
    [("to_the_end", 0), ("glued", 0), ("two_ids", 0), ("empty_seal", 0), ("hidden_seal", 240)],
)
def test_a_head_that_may_be_of_another_response_is_not_trusted(fault: str, least: int) -> None:
    """Heads spliced of two responses, two ids, no signature or one for this hop only, no length."""
    seen = run_seeds(range(20), only_faults=(fault,))
    assert seen[fault] > 150 and seen["told[200]"] > max(least, 100)
    assert least or seen["told[502]"] > 75


def test_a_refusal_that_does_not_say_not_executed_is_answered_502() -> None:
    seen = run_seeds(range(20), only_faults=("late_refusal",))  # 503, 429 and 408 without X-Not-Executed
    assert seen["late_refusal"] > 150 and seen["told[502]"] > 100


class CopiedRequests(Simulation):
    """Each non-idempotent request is sent again while in progress, after an idempotent one with its id."""

    def __post_init__(self) -> None:
        super().__post_init__()
        for number, peer in enumerate(self.faulty_servers.values()):
            peer.fault_share = float(number % 2)  # endpoints of the service that is not idempotent
            peer.only_faults = ("silent",)

    async def client(self, number: int) -> None:
        request_id = f"a{number}"
        self.ledger.requests[request_id] = EFFECTFUL_PREFIX, 0
        ends = [self.connect_client() for _ in range(3)]
        for end, path in zip(ends, (EFFECTFUL_PREFIX, PURE_PREFIX, EFFECTFUL_PREFIX), strict=True):
            end.send(head(path, request_id))
            await trio.sleep(0.01 if path == EFFECTFUL_PREFIX else 0.1)
            if path == PURE_PREFIX:
                await self.read(end, request_id, b"")
        await self.read(ends[2], request_id, b"")
        self.ledger.seen["still at work"] += not ends[0].received


def head(path: str, *ids: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Key: {API_KEY}", "Content-Length: 0"]
    return "\r\n".join([*lines, *(f"X-Attempt-Id: {request_id}" for request_id in ids), "", ""]).encode()


def test_a_copy_of_a_request_in_progress_is_rejected() -> None:
    for seed in range(30):
        seen = CopiedRequests(seed).run().seen
        assert seen["still at work"] == 3 == seen["told[409]"] == seen["told[200]"]


class RequestsWithTwoIds(Simulation):
    """Requests with two ids, either of which an endpoint could go by."""

    async def client(self, number: int) -> None:
        for first, second in (("a", "b"), ("a", "a"), ("c", "a")):
            self.ledger.requests[first] = self.ledger.requests[second] = EFFECTFUL_PREFIX, 0
            end = self.connect_client()
            end.send(head(EFFECTFUL_PREFIX, first, second))
            await self.read(end, second, b"")


def test_a_request_with_two_ids_is_rejected() -> None:
    ledger = RequestsWithTwoIds(1, fault_share=0.0).run()
    assert ledger.seen == {"told[400]": 9} and not ledger.executions


class Http10Clients(Simulation):
    """Clients of HTTP/1.0, which know no chunked encoding."""

    async def client(self, number: int) -> None:
        for step in range(self.requests_per_client):
            request_id, end = f"a{number}.{step}", self.connect_client()
            self.ledger.requests[request_id] = PURE_PREFIX, 0
            end.send(head(PURE_PREFIX, request_id).replace(b"HTTP/1.1", b"HTTP/1.0"))
            await self.read(end, request_id, b"")


def test_a_client_without_chunked_encoding_gets_a_content_length() -> None:
    seen: Counter[str] = Counter()
    for seed in range(20):
        seen.update(Http10Clients(seed, fault_share=1.0, only_faults=("drips",)).run().seen)
    assert seen["told[200]"] > 50 and seen["told[502]"] > 5


class StoppedBodies(Simulation):
    """Streamed bodies that stop half way, at endpoints that execute a request by its head."""

    async def client(self, number: int) -> None:
        request_id, end, length = f"a{number}", self.connect_client(), 3 * LONG_BODY_BYTES
        self.ledger.requests[request_id] = EFFECTFUL_PREFIX, length
        request_head = head(EFFECTFUL_PREFIX, request_id).replace(
            b"Content-Length: 0", f"Content-Length: {length}".encode()
        )
        end.send(request_head + request_body(request_id, 2 * LONG_BODY_BYTES))
        await self.read(end, request_id, b"")


def test_a_request_whose_streamed_body_stops_is_not_refused() -> None:
    """Guards against a promise that it has not run, and against a connection that ends without an answer."""
    seen = run_stopped_bodies(timeout_s=40.0)  # past the idle timeout
    assert seen["told[502]"] + seen["told[504]"] == 30 and seen["told[504]"] > 10


def test_a_request_whose_streamed_body_stops_is_answered_at_its_deadline() -> None:
    """Guards against an upload that is cut without an answer before the time of its request is over."""
    seen = run_stopped_bodies(timeout_s=9.0)
    assert seen["told[502]"] + seen["told[504]"] == 30 and seen["told[504]"] > 10


def run_stopped_bodies(timeout_s: float) -> Counter[str]:
    seen: Counter[str] = Counter()
    for seed in range(10):
        run = StoppedBodies(seed, fault_share=1.0, only_faults=("early",), timeout_s=timeout_s)
        seen.update(run.run().seen)
    return seen


def always_true(*_: object, **__: object) -> bool:
    return True


def resent(outcome: AttemptOutcome) -> bool:
    return outcome in (AttemptOutcome.REJECTED, AttemptOutcome.UNSENT, AttemptOutcome.BROKEN)


def left_over(reader: ResponseReader) -> bool:
    if reader.http.our_state is reader.http.their_state is h11.DONE:
        reader.http.start_next_cycle()
        return True
    return False


def end_as_complete(front: Http1Connection, whole: bool) -> None:
    if front.http.our_state is h11.SEND_BODY:
        front.link.send(front.http.send(h11.EndOfMessage()) or b"")


def ended_by_any(
    forwarder: Forwarder,
    request: Request,
    *about: Any,
    ended: Callable[..., None] = Forwarder._on_attempt_end,
) -> None:
    if request.streaming_attempt:
        request.streaming_attempt = about[1]
    ended(forwarder, request, *about)


REFUSES = (Attempts, "final_error", property(lambda _: ErrorKind.NO_SERVER))
MATCHED_BY_ORDER, LEFT_OVER = (
    (upstream, "answers_attempt", always_true),
    (ResponseReader, "start_next", left_over),
)
OTHER, TWICE, REFUSED = "not what a server said", "ran twice", "refused though it ran"
DEFECTS: dict[str, tuple[int, str, list[Any]]] = {  # the seed that finds it, what is found, what is changed
    "a response matched by its order": (2, OTHER, [MATCHED_BY_ORDER]),
    "sent again after a reset": (0, TWICE, [(AttemptOutcome, "not_executed", property(resent))]),
    "a truncated response that looks complete": (
        63,
        OTHER,
        [(Http1Connection, "write_end", end_as_complete)],
    ),
    "refused though it may have run": (0, "a request that may have run is not refused", [REFUSES]),
    "refused, without the invariant": (0, REFUSED, [REFUSES, (response, "check_invariant", always_true)]),
    "left over for the next": (
        0,
        "no bytes of an earlier response are unread",
        [LEFT_OVER, MATCHED_BY_ORDER],
    ),
    "left over, without the invariant": (
        0,
        OTHER,
        [LEFT_OVER, MATCHED_BY_ORDER, (upstream, "check_invariant", always_true)],
    ),
    "unsent until all is written": (
        1379,
        REFUSED,
        [(UpstreamConnection, "may_have_run", Http1ServerConnection.may_have_run)],
    ),
    "a streamed response ended by another attempt": (
        34,
        "Too little data",
        # The other attempts are cancelled as the stream begins: two safeguards, both taken away here.
        [(Forwarder, "_on_attempt_end", ended_by_any), (Responder, "_cancel_attempts", always_true)],
    ),
    "a long body sent twice": (
        0,
        "a body that its client did not send",
        [(Forwarder, "_start_body_stream", always_true)],
    ),
}


@pytest.mark.raises_faults
@pytest.mark.parametrize("name", DEFECTS)
def test_a_seeded_defect_is_found(name: str) -> None:
    seed, found, changes = DEFECTS[name]
    with ExitStack() as stack:
        for change in changes:
            stack.enter_context(mock.patch.object(*change))
        with pytest.raises(InvariantBrokenError, match=found):
            Simulation(seed).run()
    Simulation(seed).run()
