"""An ingress that is told to end, while clients of both fronts use their connections until it is gone."""

from __future__ import annotations

import os
import signal
from random import Random

import h11
import pytest
import trio

from example.toy import Answer, Seen, ToyServer, echo
from tests.support.ingress import Client1, Client2, client1, client2, request, site
from wickspring.net.graceful_shutdown import ACCEPT_ON_S, COME_AGAIN_S

HTTP1_CLIENTS = 12
HTTP2_CLIENTS = 3
SERVICE_S = (0.0, 0.0, 0.05, 0.9)
PAUSE_S = (0.0, 0.3)
SIGTERM_AFTER_S = 0.4
DIALS_BEFORE_CLOSE_S = 0.3  # of the listener
SENDS_AFTER_CLOSE_S = 0.1
ENDED = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class ClientsUntilTheEnd:
    """Clients that send request after request for as long as their connections last."""

    def __init__(self) -> None:
        self.random = Random(1)
        self.answered = 0
        self.passed_on: set[str] = set()  # ids of requests that a server has seen
        self.unanswered: list[str] = []  # ids of requests whose connection has ended

    async def serve(self, seen: Seen) -> Answer:
        """Answer as a server does, now and then late."""
        self.passed_on.add(seen.headers["x-call-id"])
        await trio.sleep(self.random.choice(SERVICE_S))
        return await echo(seen)

    async def use1(self, client: Client1) -> None:
        """Use a connection of HTTP/1.1."""
        while True:
            ask = request("ticket-escalate")
            try:
                status, headers, _ = await client.ask(ask)
            except ENDED:
                status, headers = 0, {}
            self._note(ask["headers"]["x-call-id"], status)
            if not status or headers.get("connection") == "close":
                return
            await trio.sleep(self.random.uniform(*PAUSE_S))

    async def use2(self, client: Client2) -> None:
        """Use a connection of HTTP/2; a stream above the last GOAWAY was not handled."""
        while True:
            ask = request("ticket-escalate")
            status, stream = 0, 0
            try:
                stream = await client.send(ask)
                status, _, _ = await client.answer(stream)
            except (*ENDED, AssertionError):
                assert not client.goaways or not stream or stream > client.goaways[-1]
            self._note(ask["headers"]["x-call-id"], status)
            if not status:
                return
            await trio.sleep(self.random.uniform(*PAUSE_S))

    def _note(self, request_id: str, status: int) -> None:
        self.answered += status == 200
        if not status:
            self.unanswered.append(request_id)


def test_no_request_that_an_ingress_has_taken_is_lost_until_it_is_gone() -> None:
    clients = ClientsUntilTheEnd()

    async def main() -> None:
        async with site(ToyServer("s0", clients.serve), ToyServer("s1", clients.serve)) as here:
            async with trio.open_nursery() as nursery:
                for _ in range(HTTP1_CLIENTS):
                    nursery.start_soon(clients.use1, await client1(here.http1))
                for _ in range(HTTP2_CLIENTS):
                    nursery.start_soon(clients.use2, await client2(here.http2))
                await trio.sleep(SIGTERM_AFTER_S)
                os.kill(os.getpid(), signal.SIGTERM)
            assert not here.runtime.unanswered.counts

    trio.run(main)
    assert clients.answered > HTTP1_CLIENTS + HTTP2_CLIENTS
    assert not clients.passed_on & set(clients.unanswered)


@pytest.mark.parametrize("http2", [False, True])
def test_a_client_that_connects_before_the_listener_closes_and_sends_after_it_is_answered(
    http2: bool,
) -> None:
    # Guards against resetting connections that are complete to their clients and deferred in the kernel.
    async def main() -> None:
        async with site() as here:
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(ACCEPT_ON_S + COME_AGAIN_S - DIALS_BEFORE_CLOSE_S)
            address = here.http2 if http2 else here.http1
            stream = await trio.open_tcp_stream(*address)
            await trio.sleep(DIALS_BEFORE_CLOSE_S + SENDS_AFTER_CLOSE_S)
            with pytest.raises(OSError, match="all attempts to connect"):
                await trio.open_tcp_stream(*address)
            client = Client2(stream) if http2 else Client1(stream)
            assert (await client.ask(request("ticket-escalate")))[0] == 200

    trio.run(main)
