"""Discovery met by forty ingresses at once: pauses that keep them out of step, and a turn that is refused."""

from __future__ import annotations

import math
from collections import Counter
from functools import partial
from random import Random

import pytest
import trio

from tests.support.ingress import client1, request, site
from tests.support.policy_gateway import make_settings
from wickspring import interface as api
from wickspring.config import build_settings
from wickspring.connections.backoff import Backoff
from wickspring.net import discovery, server
from wickspring.settings.errors import ConfigError

GATEWAYS, RATE, WAIT_MOST, PROMPT = 40, 10.0, 2.0, 0.2


def fleet() -> list[Backoff]:
    return [Backoff(Random(seed), GATEWAYS, RATE, 0.1, 10.0, PROMPT) for seed in range(GATEWAYS)]


def test_reconnections_of_a_rejected_fleet_keep_their_rate() -> None:
    tries: Counter[int] = Counter()
    for backoff in fleet():
        now = backoff.start()
        while now < 60.0:
            tries[int(now)] += 1
            now += backoff.failed(busy=True)
    assert max(tries[second] for second in range(5, 60)) <= 1.5 * RATE
    assert sum(tries[second] for second in range(30, 60)) <= 30 * RATE * 0.6


def test_an_overloaded_discovery_eventually_serves_every_ingress() -> None:
    # Five requests are served a second; a caller leaves after two seconds, but is still served.
    backoffs, free, served = fleet(), 0.0, set[int]()
    calls = sorted((backoff.start(), number) for number, backoff in enumerate(backoffs))
    while calls and calls[0][0] < 30.0:
        now, number = calls.pop(0)
        free = max(free, now) + 1 / 5.0
        if free - now <= WAIT_MOST:
            served.add(number)
        else:
            calls.append((now + WAIT_MOST + backoffs[number].failed(busy=True), number))
            calls.sort()
    assert served == set(range(GATEWAYS))


def test_reconnections_after_a_common_failure_are_spread() -> None:
    starts: Counter[int] = Counter(int(b.ended() * 40) for b in fleet())
    assert max(starts.values()) <= GATEWAYS // 4


def test_a_drain_announced_between_watches_is_received_within_its_grace() -> None:
    # Two hundred waited up to 2 s before they asked, and sent to servers known to be draining by then.
    settings = make_settings(gateways=200, drain_grace=500.0)
    for seed in range(200):
        watch = discovery.Discovery(
            ("127.0.0.1", 1),
            discovery.Directory(()),
            None,  # type: ignore[arg-type]
            lambda _: None,
            discovery.WatchPauses(seed, settings.gateways, settings.drain_grace),
        )
        assert watch._backoff.start() <= 0.25
        assert watch._backoff.ended() <= 0.35


def test_a_single_ingress_reconnects_within_a_second() -> None:
    backoff = Backoff(Random(1), 1, RATE, 0.1, 10.0, PROMPT)
    assert max(backoff.failed() for _ in range(20)) <= 1.0


@pytest.mark.parametrize("status", discovery.BUSY_STATUSES)
def test_a_busy_status_of_a_watch_raises_a_busy_error(status: int) -> None:
    reader = discovery.WatchReader()
    reader.request("/discovery/hosts?follow=1&since=7", "d")
    with pytest.raises(discovery.BusyError, match=str(status)):
        reader.feed(b"HTTP/1.1 %d Busy\r\nContent-Length: 0\r\n\r\n" % status)


LINE = b'{"version":9,"full":false,"servers":[]}\n'


def test_a_rejected_watch_resumes_from_the_current_version() -> None:
    trio.run(_serve_after_two_rejections)


async def _serve_after_two_rejections() -> None:
    asked: list[bytes] = []
    answers = [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(LINE), LINE),
    ]
    lists: list[api.ServerList] = []

    async def serve(stream: trio.SocketStream) -> None:
        asked.append(await stream.receive_some())
        await stream.send_all(answers[len(asked) - 1])
        if len(asked) == len(answers):
            await stream.send_all(b"1\r\n\n\r\n")
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
        address = listeners[0].socket.getsockname()
        directory = discovery.Directory(("a",))
        directory.version = 7
        watch = discovery.Discovery(address, directory, nursery, lists.append)
        nursery.start_soon(watch.run)
        with trio.fail_after(20):
            await watch.received.wait()
        nursery.cancel_scope.cancel()
    assert [b"since=7 " in request for request in asked] == [True] * 3
    assert directory.version == 9 and len(lists) == 1


def test_clients_are_served_from_the_last_list_while_discovery_is_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "FIRST_LIST_S", math.inf)  # without a list the server would wait for one

    async def main() -> None:
        async with site(known=True, mute_discovery=True) as here:
            assert not here.runtime.discovery.received.is_set()
            client = await client1(here.http1)
            status, _, _ = await client.ask(request())
            assert status == 200

    trio.run(main)


def test_an_own_number_outside_the_fleet_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        async with site(gateways=3, own_number=3) as here:
            client = await client1(here.http1)
            assert (await client.ask(request()))[0] == 200

    trio.run(main)
    warnings = [record for record in caplog.records if record.message == "not_of_the_fleet"]
    assert [record.__dict__["kv"] for record in warnings] == [{"SelfIndex": 3, "Siblings": 3}]


@pytest.mark.parametrize(("key", "value"), [("Siblings", "forty"), ("Siblings", "-1"), ("SelfIndex", "1.5")])
def test_an_invalid_fleet_number_is_reported_by_key(key: str, value: str) -> None:
    with pytest.raises(ConfigError, match=key):
        build_settings({"SelfIndex": "0", "Siblings": "3", key: value}, 1)
