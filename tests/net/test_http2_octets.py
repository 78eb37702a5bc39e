"""Header octets over HTTP/2, from clients and from servers: a field that is no UTF-8 ends no connection."""

from __future__ import annotations

from typing import Any, cast

import pytest
import trio

from example.toy import Answer, Seen, ToyServer, echo
from tests.support.ingress import answer_after, client1, client2, request, site

NOT_UTF8 = b"Jos\xe9"


def test_a_clients_header_that_is_not_utf8_leaves_its_connection_and_other_streams_alone() -> None:
    """Guards against a connection that ends, with all its streams, by one octet in one header."""

    async def main() -> None:
        gate = trio.Event()

        async with site(ToyServer("s0", answer_after(gate))) as here:
            client = await client2(here.http2)
            first = await client.send(request())
            second = client.http.get_next_available_stream_id()
            ask = request()
            pseudo = [(":method", "GET"), (":path", ask["target"]), (":scheme", "http"), (":authority", "a")]
            fields = [(name.encode(), value.encode()) for name, value in [*pseudo, *ask["headers"].items()]]
            client.http.send_headers(second, [*fields, (b"x-user", NOT_UTF8)], end_stream=True)
            await client.flush()
            gate.set()
            assert (await client.answer(first))[0] == 200
            assert (await client.answer(second))[0] == 200

    trio.run(main)


@pytest.mark.parametrize("speak2", [(), ("*",)])
def test_a_servers_header_that_is_not_utf8_is_no_end_of_its_connection(speak2: tuple[str, ...]) -> None:
    """Guards against an answer that ends the connection, and every exchange on it, by one octet."""

    async def main() -> None:
        gate = trio.Event()

        async def behave(seen: Seen) -> Answer:
            if len(seen.server.seen) == 1:
                await gate.wait()
                return await echo(seen)
            return Answer(body=b"odd\n", headers=cast(dict[str, Any], {"x-note": NOT_UTF8}))

        server = ToyServer("s0", behave)
        async with site(server, speak2=speak2) as here:
            slow, odd = await client1(here.http1), await client1(here.http1)
            await slow.send(request())
            while not server.seen:
                await trio.sleep(0.01)
            status, _, body = await odd.ask(request())
            assert (status, body) == (200, b"odd\n")
            gate.set()
            assert (await slow.answer())[0] == 200
            assert len(server.seen) == 2  # neither was sent again

    trio.run(main)
