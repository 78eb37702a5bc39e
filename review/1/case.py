"""Case 1: a configuration with a tenant's name that is not ASCII, and requests with that tenant's key."""

from __future__ import annotations

import asyncio
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
NEW_KEY = "fqasnmgkcuyj8pjbvk9m"
NEW_TENANT = "Tintas São João"
DEADLINE_MS = 3000
CALM_S = 5.0  # past `contact_s`: all machines are in touch
AFTER_S = 6.0  # past the acknowledgement
PAUSE_S = 0.015  # between two requests of the first tenant
NEW_EVERY = 4  # requests of the first tenant for one of the other's
NEW_DELAY_S = 0.5  # from the acknowledgement until the other tenant's first request
NEW_S = 2.5  # in which the other tenant sends requests; all lie in the time that LOST counts
RESTART_S = 1.0  # after which the platform starts a process again that has ended
CONFIG_APPLY_S = float(GUARANTEES["config_apply_s"])
USED_SHARE = 0.7  # of a request's time, from which LOST does not count it beside a configuration


def _config(version: int, names: dict[str, str]) -> dict[str, object]:
    routes = [
        route("r-27eya6u", "pure", "/lepu270/", "view"),
        route("r-6sz9frg", "effectful", "/xapu221/", "action"),
    ]
    tenants = [tenant(name, key) for name, key in names.items()]
    return configuration(version, ["view", "action"], [{"host": HOST, "policy": routes}], tenants)


class Play:
    """One play of the case."""

    def __init__(self, site: Site, trouble: bool) -> None:
        self.site = site
        self.trouble = trouble
        self.cuts: list[
            tuple[float, str, str]
        ] = []  # sent at, machine, attempt: cut while it could be answered
        self.ends = 0  # of processes, by themselves
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> bool:
        """Play it; return whether the rule LOST held."""
        site = self.site
        await site.launch({"view": 8, "action": 8}, _config(1, {"sese880": KEY}))
        for server in site.servers:
            server.work_s = 0.25
        platform = asyncio.create_task(self._restart_ended())
        traffic = asyncio.create_task(self._send_all())
        await asyncio.sleep(CALM_S)
        changed_at = site.record.now()
        if self.trouble:
            await site.replace(_config(2, {"sese880": KEY, NEW_TENANT: NEW_KEY}))
        acknowledged_at = site.record.now()
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.gather(*self.tasks)
        platform.cancel()
        return self._judge(changed_at, acknowledged_at + CONFIG_APPLY_S + 1.0)

    async def _send_all(self) -> None:
        """Send requests of the first tenant, and from the acknowledgement on also some of the other."""
        begins_at = self.site.record.now() + CALM_S + NEW_DELAY_S
        while True:
            self.number += 1
            self._start(KEY)
            is_due = begins_at < self.site.record.now() < begins_at + NEW_S
            if self.number % NEW_EVERY == 0 and is_due:
                self._start(NEW_KEY if self.trouble else KEY)
            await asyncio.sleep(PAUSE_S)

    def _start(self, key: str) -> None:
        count = len(self.tasks)
        first = "POST /xapu221/x" if count % 2 else "GET /lepu270/2f"
        task = asyncio.create_task(self._send(self.site.front[count % 3], first, f"t{count:05}", key))
        self.tasks.add(task)

    async def _send(self, ip: str, first: str, attempt: str, key: str) -> None:
        """Send one request; note it where it had run and its connection ended without an answer."""
        sent_at = self.site.record.now()
        answer = await self.site.request(ip, first, attempt, key, DEADLINE_MS)
        used = (self.site.record.now() - sent_at) / (DEADLINE_MS / 1000.0)
        has_run = attempt in self.site.ran
        if not isinstance(answer, Message) and answer != "silent" and has_run and used < USED_SHARE:
            self.cuts.append((sent_at, ip, attempt))

    async def _restart_ended(self) -> None:
        """Start processes again that have ended by themselves, as the platform does."""
        site = self.site
        noted: set[int] = set()  # process ids
        async with asyncio.TaskGroup() as restarts:
            while True:
                for ip, code in site.ended_by_themselves().items():
                    pid = site.processes[ip].pid
                    if pid not in noted:
                        noted.add(pid)
                        self.ends += 1
                        site.record.add(f"process at {ip} has ended by itself with {code}")
                        restarts.create_task(self._restart(ip))
                await asyncio.sleep(0.05)

    async def _restart(self, ip: str) -> None:
        lines = self.site.log_tail(ip).strip().splitlines()
        reason = next((line for line in reversed(lines) if "Error" in line), "")
        self.site.record.add(f"  its log ends: {reason.strip()}")
        await asyncio.sleep(RESTART_S)
        self.site.start_process(ip, is_first_start=False)

    def _judge(self, begins_at: float, ends_at: float) -> bool:
        """Apply LOST beside a configuration: cuts in its time, where they are three times as frequent."""
        record = self.site.record
        counted = 0
        total_s = CALM_S + AFTER_S
        for ip in self.site.front:
            times = [sent_at for sent_at, machine, _ in self.cuts if machine == ip]
            within = sum(begins_at <= sent_at <= ends_at for sent_at in times)
            outside = len(times) - within
            span_s = ends_at - begins_at
            counts = within / span_s > 3.0 * outside / (total_s - span_s)
            counted += within if counts else 0
            record.add(f"{ip}: {within} cut beside the change, {outside} at other times")
        record.add(
            f"{len(self.tasks)} requests, LOST counts {counted}; {self.ends} processes ended by themselves"
        )
        return counted == 0


async def play(site: Site, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    return await Play(site, trouble).run()


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
