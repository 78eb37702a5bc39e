"""Faults of the program itself, raised while it handles a request that a front has read."""

from __future__ import annotations

import pytest
import trio

from tests.support.ingress import Site, client1, client2, request, site
from wickspring.net.calls import Client
from wickspring.net.http_server import HttpRequest

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
