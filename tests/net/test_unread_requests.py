"""Requests that lie unread in the kernel while the process is busy: their clients' time runs all the same.

A client counts from when it has sent its request. An ingress that counts from when it has read it answers
clients that have given up, and spends on them the processor time that others lack.
"""

from __future__ import annotations

import os
import time
from typing import Any, cast

import pytest
import trio

from tests.support.ingress import Client1, Client2, client1, client2, request, site

BUSY_S = 0.3  # for which the event loop stands still
LONG_MS, SHORT_MS = "2000", "200"  # budgets of clients


class WriterAtOnce:
    """Writes without giving the event loop a turn."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.descriptor = stream.socket.fileno()

    async def send_all(self, data: bytes) -> None:
        assert os.write(self.descriptor, data) == len(data)


async def send_and_be_busy(client: Client1 | Client2, ask: dict[str, Any]) -> int:
    """Have a request in the kernel before the event loop stands still for `BUSY_S`."""
    stream = client.stream
    client.stream = cast(trio.SocketStream, WriterAtOnce(stream))
    number = await client.send(ask)
    client.stream = stream
    time.sleep(BUSY_S)
    return number or 0


@pytest.mark.parametrize("http2", [False, True])
def test_a_request_that_lay_unread_beyond_its_budget_is_refused_and_not_sent_on(http2: bool) -> None:
    async def main() -> None:
        async with site() as here:
            client: Client1 | Client2 = await (client2(here.http2) if http2 else client1(here.http1))
            assert (await client.ask(request()))[0] == 200
            sent_on = sum(len(server.seen) for server in here.servers)
            stream = await send_and_be_busy(client, request(x_budget_ms=SHORT_MS))
            if isinstance(client, Client2):
                status, headers, _ = await client.answer(stream)
            else:
                status, headers, _ = await client.answer()
            assert status == 503
            assert float(headers["retry-after"]) > 0
            assert sum(len(server.seen) for server in here.servers) == sent_on
            assert (await client.ask(request(x_budget_ms=LONG_MS)))[0] == 200

    trio.run(main)


def test_the_time_that_a_new_connection_waited_to_be_accepted_counts() -> None:
    async def main() -> None:
        async with site() as here:
            client = await client1(here.http1)
            await send_and_be_busy(client, request(x_budget_ms=SHORT_MS))
            assert (await client.answer())[0] == 503
            assert here.runtime.closed_counts["refused_after_its_time"] == 1

    trio.run(main)
