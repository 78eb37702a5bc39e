"""Clients that have their response and are slow to close, while others wait to be accepted.

What happened: `ingress-crash` beside 12 busy processes lost 180 of 6,330 requests. An ingress near the
limit of its client connections ends each with its response and waits up to a second for the client to
close. The laboratory was late to do so, all places were taken by connections on which nothing was owed, and
requests lay unread for up to 616 ms and more at the door (229 waits of 10 ms) while the ingress had hardly
anything to do: no turn of its loop took longer than 55 ms.
"""

from __future__ import annotations

import pytest
import trio

from tests.support.ingress import client1, request, site
from wickspring.net import delivery

ANSWER_S = 5.0


def test_connections_whose_response_has_left_yield_to_new_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(delivery, "LINGER_MS", 60_000.0)

    async def main() -> None:
        async with site(sockets=32) as here:
            limit = here.runtime.max_connections
            clients = [await client1(here.http1) for _ in range(limit)]
            for client in clients:
                await client.send(request())
            for client in clients:
                assert (await client.answer())[0] == 200
            with trio.fail_after(ANSWER_S):
                for _ in range(limit):
                    assert (await (await client1(here.http1)).ask(request()))[0] == 200
            assert here.runtime.closed_counts["lingering"] > 0
            assert len(here.runtime.connections) <= limit

    trio.run(main)
