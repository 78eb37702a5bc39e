"""An operator numbers its configurations from 0: what is acknowledged is there when it is read back."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.common2.clients import Client  # noqa: E402
from review.common2.deployment import (  # noqa: E402
    CannotRunError,
    Deployment,
    Record,
    call,
    config,
    route,
    trouble,
)
from review.common2.servers import Server  # noqa: E402

CONTACT_S = 3.0
READ_FOR_S = 6.0  # the operator asks for at least `contact_s`
REQUESTS = 10


async def _read(record: Record, deployment: Deployment) -> int | None:
    """Ask for the configuration again and again; return the newest version that comes, or None."""
    newest = None
    end = record.now() + READ_FOR_S
    while record.now() < end:
        for ip in deployment.control_planes:
            status, body = await call(ip, 8783, "GET", "/config/read")
            record.line(f"read at {ip}: {status} {body[:60].decode(errors='replace')}")
            if status == 200:
                version = int(json.loads(body)["generation"][1:])
                newest = version if newest is None else max(newest, version)
        await asyncio.sleep(0.5)
    return newest


async def play(record: Record, deployment: Deployment) -> int:
    """Play the case; return 1 where the rule is broken, else 0."""
    servers = [
        Server(deployment, record, f"i-{number}", "store", f"127.{deployment.net}.3.{number + 1}")
        for number in range(3)
    ]
    for server in servers:
        await server.start()
    for ip in (*deployment.control_planes, *deployment.data_planes):
        deployment.start(ip)
    version = 0 if trouble() else 1
    status = await deployment.replace(config(version, [route("get", "pure", "store", 2.0)]))
    if status != 200:
        record.say(f"r{version} is not acknowledged: {status}")
        return 0
    record.say(f"r{version} is acknowledged")
    await asyncio.sleep(CONTACT_S + 2.5)
    newest = await _read(record, deployment)
    statuses = []
    for number in range(REQUESTS):
        client = Client(record, deployment.data_planes[number % len(deployment.data_planes)])
        await client.connect()
        statuses.append((await client.request("GET", "/get/1", f"q-{number}", 2000)).status)
        client.close()
    record.say(
        f"read back: {'nothing' if newest is None else f'r{newest}'}; requests are answered {statuses}"
    )
    return int(newest is None or newest < version)


async def _main() -> int:
    record = Record(Path(__file__).parent)
    deployment = Deployment(record)
    try:
        return await play(record, deployment)
    except (CannotRunError, OSError) as error:
        record.say(f"could not run: {error}")
        return 2
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
