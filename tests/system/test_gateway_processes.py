"""A whole gateway of real processes on loopback, with faults between them."""

from __future__ import annotations

import shutil
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from wickspring.lab.emulation.local_gateway import CONTROL, LIES, LocalGateway, call, document

STEP_S = 0.02


@asynccontextmanager
async def gateway(folder: Path, net: int, control_planes: int = 3) -> AsyncIterator[LocalGateway]:
    local_gateway = LocalGateway(folder, net=net, control_planes=control_planes)
    try:
        async with trio.open_nursery() as nursery:
            assert await local_gateway.launch(nursery, document(1)) == 200
            yield local_gateway
            nursery.cancel_scope.cancel()
    finally:
        local_gateway.stop()


async def until_served(local_gateway: LocalGateway, data_plane: int, path: str, name: str) -> int:
    """Ask again under new ids until an answer is 200; how often it took."""
    for number in range(400):
        if (await local_gateway.ask(data_plane, path, f"{name}-{number}"))[0] == 200:
            return number + 1
        await trio.sleep(STEP_S)
    raise AssertionError("never served")


def ran(local_gateway: LocalGateway) -> dict[str, int]:
    return {id_: times for one in local_gateway.standins for id_, times in one.ran.items()}


async def asked_in_vain(local_gateway: LocalGateway, path: str, count: int, name: str) -> int:
    """Ask both pilots in turn; how many were not served."""
    failed = 0
    for number in range(count):
        status, _ = await local_gateway.ask(number % 2, path, f"{name}-{number}")
        failed += status != 200
    return failed


def test_what_is_acknowledged_outlives_the_head_a_wiped_disk_and_all_processes(tmp_path: Path) -> None:
    async def play() -> None:
        async with gateway(tmp_path, 11) as local_gateway:
            assert await local_gateway.order(document(5)) == 200
            head, second, tail = local_gateway.control_planes
            local_gateway.kill(head)  # while it is away, orders go on in a view of the other two
            assert await local_gateway.order(document(9)) == 200
            assert await local_gateway.read() == 9
            assert await asked_in_vain(local_gateway, "/look/1", 20, "away") == 0
            shutil.rmtree(tmp_path / head / "data")  # its disk is lost: it comes back as another member
            local_gateway.start(head, first=False)
            assert await local_gateway.order(document(12)) == 200
            for ip in (head, second, tail):
                local_gateway.kill(ip)
            assert (
                await asked_in_vain(local_gateway, "/look/1", 20, "alone") == 0
            )  # pilots go on by what they know
            for ip in (head, second, tail):
                local_gateway.start(ip, first=False)
            assert await local_gateway.read() == 12
            assert await local_gateway.order(document(11)) == 200  # an older one changes nothing
            assert await local_gateway.read() == 12
            assert await local_gateway.order(b'{"generation":"r20"}') == 400

    trio.run(play)


def test_every_lighthouse_takes_orders_at_once_a_spare_as_well(tmp_path: Path) -> None:
    async def play() -> None:
        async with gateway(tmp_path, 18, control_planes=4) as local_gateway:
            for version, ip in enumerate(local_gateway.control_planes * 3, 2):
                status, body = await call(ip, CONTROL, "POST", "/config/replace", document(version))
                assert (status, body) == (200, f'{{"generation":"r{version}"}}'.encode())
                status, body = await call(ip, CONTROL, "POST", "/config/replace", document(version - 1))
                assert status == 200  # an older one is acknowledged, and changes nothing
                assert await local_gateway.read() == version

    trio.run(play)


def test_an_acknowledged_drain_reaches_pilots_that_were_not_there(tmp_path: Path) -> None:
    async def play() -> None:
        async with gateway(tmp_path, 12) as local_gateway:
            leaving = local_gateway.standins[0]
            leaving.state = "draining"
            with trio.fail_after(5.0):
                while not leaving.acknowledged:
                    await trio.sleep(STEP_S)
            data_plane = local_gateway.data_planes[0]
            local_gateway.kill(data_plane)
            for ip in local_gateway.control_planes:  # what is durable has to carry it, not what they remember
                local_gateway.kill(ip)
                local_gateway.start(ip, first=False)
            local_gateway.start(data_plane, first=False)
            await local_gateway.ready()
            before = sum(leaving.ran.values())
            assert await asked_in_vain(local_gateway, "/look/1", 60, "after") == 0
            assert sum(leaving.ran.values()) == before

    trio.run(play)


def test_what_may_run_once_runs_once_while_servers_and_pilots_end(tmp_path: Path) -> None:
    async def play() -> None:
        async with gateway(tmp_path, 13) as local_gateway:
            answers: dict[str, int] = {}

            async def ask(number: int) -> None:
                id_ = f"once-{number}"
                answers[id_] = (await local_gateway.ask(number % 2, "/do/1", id_, method="POST"))[0]

            for one in local_gateway.standins:
                one.slots, one.work_s = 1, 0.03  # so that many are turned away, and go to another
            async with trio.open_nursery() as nursery:
                for number in range(120):
                    nursery.start_soon(ask, number)
                    await trio.sleep(STEP_S / 2)
                    if number == 60:
                        local_gateway.kill(local_gateway.data_planes[1])
                        local_gateway.start(local_gateway.data_planes[1], first=False)
            times = ran(local_gateway)
            assert max(times.values()) == 1
            assert sum(status == 200 for status in answers.values()) > 40
            for id_, status in answers.items():
                if status == 200:
                    assert times.get(id_) == 1
                elif status in (429, 503):
                    assert id_ not in times  # a promise
            await until_served(local_gateway, 1, "/look/1", "back")
            assert {name for one in local_gateway.standins for name in one.tenants} == {"toy"}
            assert (await local_gateway.ask(0, "/look/1", "stranger", key="no-key"))[0] == 401
            assert (await local_gateway.ask(0, "/nowhere/", "lost"))[0] == 404

    trio.run(play)


def test_quotas_hold_over_all_pilots_while_their_keeper_ends(tmp_path: Path) -> None:
    async def play() -> None:
        async with gateway(tmp_path, 14) as local_gateway:
            assert await local_gateway.order(document(2, rate=20.0)) == 200
            served: list[float] = []
            refused = 0

            async def ask(number: int) -> None:
                nonlocal refused
                status, _ = await local_gateway.ask(number % 2, "/look/1", f"q-{number}")
                if status == 200:
                    served.append(trio.current_time())
                refused += status == 429

            async with trio.open_nursery() as nursery:
                begun, number = trio.current_time(), 0
                while trio.current_time() < begun + 4.0:
                    number += 1
                    nursery.start_soon(ask, number)
                    await trio.sleep(0.012)
                    if number == 100:
                        for ip in local_gateway.control_planes:
                            local_gateway.kill(ip)
                            local_gateway.start(ip, first=False)
            assert 20 < len(served) <= (20 * 5 + 20) * 1.1 + 20
            assert refused > 50

    trio.run(play)


def test_no_client_takes_a_lie_for_an_answer(tmp_path: Path) -> None:
    """Half of all answers are spoilt: what is told as a success is the server's own, to this request."""

    async def play() -> None:
        async with gateway(tmp_path, 15) as local_gateway:
            for one in local_gateway.standins:
                one.lies = 0.5
            answers: dict[str, tuple[int, bytes]] = {}

            async def ask(number: int) -> None:
                id_, path = f"l{number}", "/do/1" if number % 3 == 0 else "/look/1"
                answers[id_] = await local_gateway.ask(number % 2, path, id_)

            async with trio.open_nursery() as nursery:
                for number in range(300):
                    nursery.start_soon(ask, number)
                    await trio.sleep(STEP_S / 4)
            times = ran(local_gateway)
            for id_, (status, body) in answers.items():
                if status == 200:
                    assert body.startswith(f"{id_} by i-".encode()) and body.endswith(b"\n")
                    assert times[id_] >= 1
                elif status in (429, 503):
                    assert id_ not in times
                if int(id_[1:]) % 3 == 0:
                    assert times.get(id_, 0) <= 1
            assert sum(status == 200 for status, _ in answers.values()) > 150
            told = [kind for one in local_gateway.standins for kind in one.told]
            assert set(told) == set(LIES)

    trio.run(play)
