"""Faults of the program itself, raised while it handles a request that a front has read."""

from __future__ import annotations

from typing import Any

import h11
import pytest
import trio

from tests.support.ingress import Site, client1, client2, request, site
from wickspring.net import http1_front, http1_reader, http2_front
from wickspring.net.attempts import AttemptRunner
from wickspring.net.calls import Client
from wickspring.net.http2_front import Http2Connection
from wickspring.net.http_server import HttpRequest
from wickspring.net.open_requests import OpenRequests
from wickspring.net.upstream.http2 import Http2ServerConnection
from wickspring.net.upstream.manager import UpstreamManager
from wickspring.net.upstream.response_reader import ResponseReader

pytestmark = pytest.mark.raises_faults

FAILING_TARGET = "/fail"


def fail_at_one_target(monkeypatch: pytest.MonkeyPatch, here: Site, accepts: bool, responds: bool) -> None:
    """Have the ingress raise for `FAILING_TARGET`, before or after it has accepted or answered."""
    handle_request = here.runtime.handle_request

    def handle_or_fail(client: Client, incoming: HttpRequest) -> None:
        if incoming.target != FAILING_TARGET:
            handle_request(client, incoming)
            return
        if accepts:
            client.request_accepted(1 << 40, 1000.0)
        if responds:
            client.respond(200, "", b"done\n")
        raise RuntimeError("a fault of the program")

    monkeypatch.setattr(here.runtime, "handle_request", handle_or_fail)


@pytest.mark.parametrize("accepts", [False, True])
@pytest.mark.parametrize("responds", [False, True])
def test_a_fault_is_answered_once_and_its_connection_goes_on(
    monkeypatch: pytest.MonkeyPatch, accepts: bool, responds: bool
) -> None:
    async def main() -> None:
        async with site() as here:
            fail_at_one_target(monkeypatch, here, accepts, responds)
            failing = {**request(), "target": FAILING_TARGET}
            expected = 200 if responds else 500
            first = await client1(here.http1)
            assert (await first.ask(failing))[0] == expected
            assert (await first.ask(request()))[0] == 200
            second = await client2(here.http2)
            assert (await second.ask(failing))[0] == expected
            assert (await second.ask(request()))[0] == 200
            assert here.runtime.closed_counts["request_handling_failed"] == 2
            assert not here.runtime.unanswered.counts

    trio.run(main)


Step = tuple[Any, str]
STEPS: dict[str, Step] = {
    "the head of a request over HTTP/1.1": (http1_reader, "read_head"),
    "a response over HTTP/1.1": (http1_front, "encode_response"),
    "the head of a request over HTTP/2": (http2_front, "read_head"),
    "a response over HTTP/2": (Http2Connection, "_send_headers"),
    "a response's body over HTTP/2": (Http2Connection, "_pump"),
    "a request to a server over HTTP/1.1": (ResponseReader, "encode_request"),
    "a response of a server over HTTP/1.1": (ResponseReader, "receive"),
    "a request to a server over HTTP/2": (Http2ServerConnection, "_open_stream"),
    "a response of a server over HTTP/2": (Http2ServerConnection, "_on_stream_ended"),
    "the end of a connection to a server": (UpstreamManager, "connection_closed"),
    "the end of an attempt": (AttemptRunner, "ended"),
    "an effect of the reducer": (OpenRequests, "close_body_stream"),
}


def fail_on(monkeypatch: pytest.MonkeyPatch, step: Step, calls: set[int]) -> list[int]:
    """Have the calls of a step with these numbers raise; return a list that they are counted in."""
    owner, name = step
    original = getattr(owner, name)
    counted: list[int] = []

    def call_or_fail(*args: Any, **named: Any) -> Any:
        counted.append(len(counted))
        if counted[-1] in calls:
            raise RuntimeError("a fault of the program")
        return original(*args, **named)

    monkeypatch.setattr(owner, name, call_or_fail)
    return counted


async def ask_each(here: Site, kind: str, statuses: list[int]) -> None:
    """Send a request on a new connection of either protocol, and note its status; 0 where that ends first."""
    for connect, place in ((client1, here.http1), (client2, here.http2)):
        client: Any = await connect(place)
        try:
            with trio.fail_after(10.0):
                statuses.append((await client.ask(request(kind)))[0])
        except (AssertionError, h11.RemoteProtocolError, trio.BrokenResourceError):
            statuses.append(0)


@pytest.mark.parametrize("speak2", [(), ("*",)])
@pytest.mark.parametrize("name", STEPS)
def test_a_fault_in_one_step_of_an_ingress_costs_its_own_request_alone(
    monkeypatch: pytest.MonkeyPatch, name: str, speak2: tuple[str, ...]
) -> None:
    """Guards against an ingress that ends, or a client that is never answered, by one message."""

    async def main() -> None:
        async with site(speak2=speak2) as here:
            counted = fail_on(monkeypatch, STEPS[name], {1, 4})
            statuses: list[int] = []
            for _ in range(4):
                for kind in ("ticket-view", "ticket-escalate"):
                    await ask_each(here, kind, statuses)
            assert len(statuses) == 16
            assert statuses.count(200) >= 12, statuses
            assert statuses[-1] == 200
            assert set(statuses) <= {0, 200, 429, 500, 502}, statuses
            attempts = [seen.call_id for one in here.servers for seen in one.seen if seen.method == "POST"]
            assert len(attempts) == len(set(attempts)), "an escalation was sent twice"
            assert counted or "server" in name or "HTTP/2" in name

    trio.run(main)
