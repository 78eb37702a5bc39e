"""Case 2: servers in trouble spoil one byte in a header of some of their answers."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.site import HOST, Message, Site, configuration, route, run_case, tenant  # noqa: E402

KEY = "ctnfzs989anu6wsjnban"
TIMEOUT_S = 2.0  # of the routes
DEADLINE_MS = 4000  # of the clients, who wait longer than the routes' timeouts
FINAL_SLACK_S = 0.5
CALM_S = 4.0  # past `contact_s`: all machines are in touch
TROUBLE_S = 9.0
PAUSE_S = 0.02
SPOILT_SHARE = 0.06  # twice the largest dose of `garble` that the site file names
MIN_UNANSWERED = 8
SOUND = "text/plain"
SPOILT = "text/pl\xe1in"  # the highest bit of one byte is set


class Play:
    """One play of the case."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.spoils = False
        self.spoilt: set[str] = set()  # attempt ids
        self.answered_after: dict[str, float | None] = {}  # seconds by attempt id; None: not by the deadline
        self.outcomes: dict[str, str] = {}

    def _content_type(self, request: Message) -> dict[str, str]:
        if not self.spoils or random.random() >= SPOILT_SHARE:
            return {"Content-Type": SOUND}
        attempt = request.headers["x-attempt-id"]
        self.spoilt.add(attempt)
        self.site.record.add(f"server spoils its answer to {attempt}")
        return {"Content-Type": SPOILT}

    async def run(self, trouble: bool) -> bool:
        """Play it; return whether the rule CONFIG held."""
        site = self.site
        routes = [
            route("r-27eya6u", "pure", "/lepu270/", "view", TIMEOUT_S),
            route("r-6sz9frg", "effectful", "/xapu221/", "action", TIMEOUT_S),
        ]
        sockets: list[dict[str, object]] = [{"host": HOST, "policy": routes}]
        config = configuration(1, ["view", "action"], sockets, [tenant("sese880", KEY)])
        await site.launch({"view": 6, "action": 6}, config)
        for server in site.servers:
            server.extra_headers = self._content_type
        await asyncio.sleep(CALM_S)
        self.spoils = trouble
        tasks = []
        ends_at = site.record.now() + TROUBLE_S
        while site.record.now() < ends_at:
            number = len(tasks)
            first = "POST /xapu221/x" if number % 2 else "GET /lepu270/2f"
            tasks.append(asyncio.create_task(self._send(site.front[number % 3], first, f"t{number:05}")))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)
        return self._judge()

    async def _send(self, ip: str, first: str, attempt: str) -> None:
        sent_at = self.site.record.now()
        answer = await self.site.request(ip, first, attempt, KEY, DEADLINE_MS)
        is_answered = isinstance(answer, Message)
        self.answered_after[attempt] = self.site.record.now() - sent_at if is_answered else None
        self.outcomes[attempt] = str(answer.status) if isinstance(answer, Message) else str(answer)

    def _judge(self) -> bool:
        """Apply CONFIG: eight or more, and over a quarter, of those past the timeout stay unanswered."""
        latest_s = TIMEOUT_S + FINAL_SLACK_S
        times = self.answered_after.values()
        past_timeout = [time for time in times if time is None or time > TIMEOUT_S]
        unanswered = [time for time in past_timeout if time is None or time > latest_s]
        record = self.site.record
        record.add(f"{len(self.answered_after)} requests, {len(self.spoilt)} answers spoilt")
        outcomes = [self.outcomes[attempt] for attempt in sorted(self.spoilt)]
        counts = {outcome: outcomes.count(outcome) for outcome in set(outcomes)}
        record.add(f"what clients got for the requests with a spoilt answer: {counts}")
        record.add(f"not answered {TIMEOUT_S} s after sending: {len(past_timeout)}")
        record.add(f"of these without a final answer {latest_s} s after sending: {len(unanswered)}")
        return len(unanswered) < MIN_UNANSWERED or 4 * len(unanswered) <= len(past_timeout)


async def play(site: Site, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    return await Play(site).run(trouble)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
