"""SIGHUP: the file's discovery and counter take over, a bad file changes nothing, no call is lost."""

from __future__ import annotations

import os
import signal
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
import trio

from example.toy import Answer, Seen, ToyCounter, ToyDiscovery, ToyServer, echo, start
from tests.support.example_config import example_config
from tests.support.ingress import client1, request, site
from wickspring import config
from wickspring.config import Instance
from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError


def test_a_reload_reads_the_file_over_the_environment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "c.json").write_bytes(msgspec.json.encode(example_config(discovery="127.0.0.1:8501")))
    monkeypatch.setenv("GW_CONFIG", str(tmp_path / "c.json"))
    monkeypatch.setenv("GW_DISCOVERY", "127.0.0.1:8502")
    assert config.from_environment().discovery == ("127.0.0.1", 8502)
    assert config.reread_environment().discovery == ("127.0.0.1", 8501)


def test_sighup_changes_discovery_and_counter_addresses_under_load(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        gate = trio.Event()

        async def held(seen: Seen) -> Answer:
            await gate.wait()
            return await echo(seen)

        files: list[Instance] = []

        def reread() -> Instance:
            if not files:
                raise ConfigError("counter is not host:port: 'x'")
            return files[-1]

        old, new = ToyServer("old", held), ToyServer("new")
        async with site(old, reread=reread) as here:
            client, early = await client1(here.http1), await client1(here.http1)
            await early.send(request("ticket-escalate"))
            while not old.seen:
                await trio.sleep(0.005)
            os.kill(os.getpid(), signal.SIGHUP)  # a bad file: what was there holds
            while "reload_failed" not in caplog.messages:
                await trio.sleep(0.005)
            assert "counter" in str(caplog.records[-1].__dict__["kv"])
            assert here.runtime.reducer.may_send(b"old")
            here.counter.silent = True  # a call that is out when the counter moves
            await client.send(request("ticket-escalate"))
            while len(here.runtime.reducer.pending) < 2:
                await trio.sleep(0.005)
            discovery, counter = ToyDiscovery(), ToyCounter()
            discovery.set("new", await start(here.nursery, new.serve))
            places = [await start(here.nursery, one.serve) for one in (discovery, counter)]
            found, counted = (parse_address("address", place) for place in places)
            was = here.runtime.instance
            settings = replace(was.settings, seed=99)
            files.append(msgspec.structs.replace(was, discovery=found, counter=counted, settings=settings))
            # Versions of another discovery may be lower than those known.
            here.runtime.directory.version = 1000
            for _ in range(3):
                os.kill(os.getpid(), signal.SIGHUP)
            while here.runtime.reducer.may_send(b"old") or not here.runtime.reducer.may_send(b"new"):
                await trio.sleep(0.005)
            gate.set()
            assert (await early.answer())[2].startswith(b"old ")
            assert (await client.answer())[2].startswith(b"new ")  # its count came to nothing, it did not
            while not counter.totals:  # after a miss not every request is counted
                assert (await client.ask(request()))[2].startswith(b"new ")
            assert here.runtime.instance.counter == counted
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)  # straight after: it drains, and its end is a good one
            while not here.runtime.draining:
                await trio.sleep(0.005)
            os.kill(os.getpid(), signal.SIGHUP)
            assert (await client.ask(request()))[0] == 200
            assert here.tally_adds_up()

    trio.run(main)
