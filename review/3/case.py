"""Case 3: a configuration in which the routes of one host stand in two entries of `sockets`."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.site import (  # noqa: E402
    GUARANTEES,
    HOST,
    Message,
    Site,
    configuration,
    route,
    run_case,
    tenant,
)

KEY = "ctnfzs989anu6wsjnban"
CALM_S = 4.0  # past `contact_s`: all machines are in touch
TRAFFIC_S = 8.0
PAUSE_S = 0.03
CONFIG_APPLY_S = float(GUARANTEES["config_apply_s"])
FIRST_ROUTES = [
    route("r-27eya6u", "pure", "/lepu270/", "view"),
    route("r-6sz9frg", "effectful", "/xapu221/ny95/", "action"),
]
ADDED_ROUTE = route("r-new4k2p", "pure", "/hulo84/", "view")


def _config(version: int, sockets: list[dict[str, object]]) -> dict[str, object]:
    return configuration(version, ["view", "action"], sockets, [tenant("sese880", KEY)])


class Play:
    """One play of the case."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.answers: list[tuple[float, str, str]] = []  # sent at, first line, what came

    async def run(self, trouble: bool) -> bool:
        """Play it; return whether the rule CONFIG held."""
        site = self.site
        first = {"host": HOST, "policy": FIRST_ROUTES}
        await site.launch({"view": 4, "action": 4}, _config(1, [first]))
        await asyncio.sleep(CALM_S)
        traffic = asyncio.create_task(self._send_all(trouble))
        await asyncio.sleep(1.0)
        if trouble:
            await site.replace(_config(2, [first, {"host": HOST, "policy": [ADDED_ROUTE]}]))
        acknowledged_at = site.record.now()
        await traffic
        await self._read_back(2 if trouble else 1)
        return self._judge(acknowledged_at)

    async def _send_all(self, trouble: bool) -> None:
        lines = ["GET /lepu270/2f", "POST /xapu221/ny95/x"]
        tasks = []
        ends_at = self.site.record.now() + TRAFFIC_S
        while self.site.record.now() < ends_at:
            number = len(tasks)
            line = lines[number % len(lines)]
            tasks.append(asyncio.create_task(self._send(self.site.front[number % 3], line, f"t{number:05}")))
            await asyncio.sleep(PAUSE_S)
        if trouble:
            for ip in self.site.front:
                await self._send(ip, "GET /hulo84/1", f"added-{ip}")
        await asyncio.gather(*tasks)

    async def _send(self, ip: str, first: str, attempt: str) -> None:
        sent_at = self.site.record.now()
        answer = await self.site.request(ip, first, attempt, KEY)
        what = str(answer.status) if isinstance(answer, Message) else str(answer)
        self.answers.append((sent_at, first, what))

    async def _read_back(self, version: int) -> None:
        """Read the configuration, as the operator does, and record what it holds."""
        answer = await self.site.control(0, "GET /config/read")
        if not isinstance(answer, Message) or answer.status != 200:
            self.site.record.add(f"read: {answer}")
            return
        config = json.loads(answer.body)
        prefixes = [
            (socket["host"], rule["pattern"]["path_prefix"])
            for socket in config["sockets"]
            for rule in socket["policy"]
        ]
        self.site.record.add(f"read: {config['generation']} (sent last: r{version}) with routes {prefixes}")

    def _judge(self, acknowledged_at: float) -> bool:
        """Apply CONFIG: no 404 past `config_apply_s` for a route that each version has, with its key."""
        record = self.site.record
        judged = [answer for answer in self.answers if answer[0] > acknowledged_at + CONFIG_APPLY_S]
        for first in sorted({answer[1] for answer in judged}):
            got = [answer[2] for answer in judged if answer[1] == first]
            record.add(
                f"past config_apply_s, {first}: { {what: got.count(what) for what in sorted(set(got))} }"
            )
        refused = sum(what in ("401", "403", "404") for _, _, what in judged)
        record.add(f"{len(self.answers)} requests; {refused} refused of {len(judged)} past config_apply_s")
        return refused == 0


async def play(site: Site, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    return await Play(site).run(trouble)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
