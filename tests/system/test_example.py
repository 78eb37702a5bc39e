"""The example works as the README shows it."""

from __future__ import annotations

import json
from pathlib import Path

import trio

from example import toy
from tests.support.example_config import example_config
from tests.support.ingress import client1, request
from wickspring import config
from wickspring.agent.settings import load_agent
from wickspring.lab.emulation.site import free_port
from wickspring.net import server


def test_example_site_serves(tmp_path: Path) -> None:
    async def main() -> None:
        data = example_config()
        for place in ("listen", "discovery", "counter"):
            data[place] = f"127.0.0.1:{free_port()}"
        for entry in data["known"]["servers"]:
            entry["addr"] = f"127.0.0.1:{free_port()}"
        path = tmp_path / "config.json"
        path.write_text(json.dumps(data))
        instance = config.load_instance(path, {}, tmp_path / "none.toml")
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(toy.main, path)
                nursery.start_soon(server.run, instance)
                up, statuses = {**request(), "target": "/up"}, list[int]()
                while not statuses or statuses[-1] != 200:
                    try:
                        statuses.append((await (await client1(instance.listen)).ask(up))[0])
                    except OSError:
                        await trio.sleep(0.05)
                client = await client1(instance.listen)
                got = [await client.ask(request(api_plan="basic")) for _ in range(40)]
                assert [status for status, _, _ in got[:8]] == [200] * 8  # the burst of plan basic
                assert 429 in [status for status, _, _ in got]
                assert got[0][2].startswith(b"s-")
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_agent_example_is_right() -> None:
    agent = load_agent(Path(toy.__file__).parent / "agent.toml")
    assert [managed.listen[1] for managed in agent.instances] == [5000, 5001]
