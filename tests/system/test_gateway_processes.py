"""A complete gateway of real processes on loopback, with faults between them."""

from __future__ import annotations

import shutil
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from wickspring.lab.emulation.http_call import HttpRequest, call
from wickspring.lab.emulation.local_gateway import LocalGateway, gateway_config
from wickspring.lab.emulation.stand_in_server import CONTROL_PORT, ResponseFault

STEP_S = 0.02
PEER_PORT = 7340  # the first of `port_range` of a local gateway's processes


@asynccontextmanager
async def gateway(folder: Path, net: int, control_planes: int = 3) -> AsyncIterator[LocalGateway]:
    local_gateway = LocalGateway(folder, control_plane_count=control_planes, net=net)
    try:
        async with trio.open_nursery() as nursery:
            assert await local_gateway.launch(nursery, gateway_config(1)) == 200
            yield local_gateway
            nursery.cancel_scope.cancel()
    finally:
        local_gateway.stop()


async def wait_until_served(local_gateway: LocalGateway, data_plane: int, path: str, name: str) -> int:
    """Send requests under new ids until one is answered by 200; return how many it took."""
    for number in range(400):
        if (await local_gateway.request(data_plane, path, f"{name}-{number}"))[0] == 200:
            return number + 1
        await trio.sleep(STEP_S)
    raise AssertionError("never served")


def executions(local_gateway: LocalGateway) -> dict[str, int]:
    return {
        attempt_id: count
        for server in local_gateway.servers
        for attempt_id, count in server.executions.items()
    }


async def count_not_served(local_gateway: LocalGateway, path: str, count: int, name: str) -> int:
    """Send requests to both data planes in turn; return how many were not served."""
    failed = 0
    for number in range(count):
        status, _ = await local_gateway.request(number % 2, path, f"{name}-{number}")
        failed += status != 200
    return failed


def test_a_reload_signal_during_the_start_ends_no_process(tmp_path: Path, loopback_net: int) -> None:
    async def scenario() -> None:
        local_gateway = LocalGateway(tmp_path, control_plane_count=1, data_plane_count=1, net=loopback_net)
        addresses = [*local_gateway.control_planes, *local_gateway.data_planes]
        try:
            for ip in addresses:
                local_gateway.start(ip)
            async with trio.open_nursery() as nursery:
                for ip in addresses:
                    nursery.start_soon(signal_while_starting, local_gateway, ip)
            assert all(local_gateway.processes[ip].poll() is None for ip in addresses)
        finally:
            local_gateway.stop()

    trio.run(scenario)


def listens(ip: str) -> bool:
    """Return whether a process accepts connections of its peers, which it does first."""
    with socket.socket() as probe:
        return probe.connect_ex((ip, PEER_PORT)) == 0


async def signal_while_starting(local_gateway: LocalGateway, ip: str) -> None:
    """Send SIGHUP again and again from when a process listens for its peers until it has started."""
    while not listens(ip):
        await trio.sleep(STEP_S)
    log = local_gateway.folder / ip / "log"
    while b"event=started" not in log.read_bytes() and local_gateway.processes[ip].poll() is None:
        local_gateway.signal(ip, signal.SIGHUP)
        await trio.sleep(STEP_S)


def test_what_is_acknowledged_outlives_the_head_a_wiped_disk_and_all_processes(
    tmp_path: Path, loopback_net: int
) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net) as local_gateway:
            assert await local_gateway.replace_config(gateway_config(5)) == 200
            head, second, tail = local_gateway.control_planes
            local_gateway.kill(head)  # while it is away, orders go on in a view of the other two
            assert await local_gateway.replace_config(gateway_config(9)) == 200
            assert await local_gateway.read_config_version() == 9
            assert await count_not_served(local_gateway, "/look/1", 20, "away") == 0
            shutil.rmtree(tmp_path / head / "data")  # its disk is lost: it comes back as another member
            local_gateway.start(head, first=False)
            assert await local_gateway.replace_config(gateway_config(12)) == 200
            for ip in (head, second, tail):
                local_gateway.kill(ip)
            assert (
                await count_not_served(local_gateway, "/look/1", 20, "alone") == 0
            )  # data planes go on by what they know
            for ip in (head, second, tail):
                local_gateway.start(ip, first=False)
            assert await local_gateway.read_config_version() == 12
            assert (
                await local_gateway.replace_config(gateway_config(11)) == 200
            )  # an older one changes nothing
            assert await local_gateway.read_config_version() == 12
            assert await local_gateway.replace_config(b'{"generation":"r20"}') == 400

    trio.run(scenario)


def test_every_control_plane_node_takes_configurations_at_once_a_spare_as_well(
    tmp_path: Path, loopback_net: int
) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net, control_planes=4) as local_gateway:
            for version, ip in enumerate(local_gateway.control_planes * 3, 2):
                status, body = await call(
                    ip, CONTROL_PORT, HttpRequest("POST", "/config/replace", gateway_config(version))
                )
                assert (status, body) == (200, f'{{"generation":"r{version}"}}'.encode())
                status, body = await call(
                    ip, CONTROL_PORT, HttpRequest("POST", "/config/replace", gateway_config(version - 1))
                )
                assert status == 200  # an older one is acknowledged, and changes nothing
                assert await local_gateway.read_config_version() == version

    trio.run(scenario)


def test_an_acknowledged_drain_reaches_data_planes_that_were_not_there(
    tmp_path: Path, loopback_net: int
) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net) as local_gateway:
            draining_server = local_gateway.servers[0]
            draining_server.state = "draining"
            with trio.fail_after(5.0):
                while not draining_server.drain_acknowledged:
                    await trio.sleep(STEP_S)
            data_plane = local_gateway.data_planes[0]
            local_gateway.kill(data_plane)
            for ip in local_gateway.control_planes:  # what is durable has to carry it, not what they remember
                local_gateway.kill(ip)
                local_gateway.start(ip, first=False)
            local_gateway.start(data_plane, first=False)
            await local_gateway.wait_until_ready()
            before = sum(draining_server.executions.values())
            assert await count_not_served(local_gateway, "/look/1", 60, "after") == 0
            assert sum(draining_server.executions.values()) == before

    trio.run(scenario)


def test_an_effectful_request_runs_once_while_servers_and_data_planes_end(
    tmp_path: Path, loopback_net: int
) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net) as local_gateway:
            answers: dict[str, int] = {}

            async def ask(number: int) -> None:
                id_ = f"once-{number}"
                answers[id_] = (await local_gateway.request(number % 2, "/do/1", id_, method="POST"))[0]

            for server in local_gateway.servers:
                server.capacity = 1  # so that many are refused, and go to another
                server.service_time_s = 0.03
            async with trio.open_nursery() as nursery:
                for number in range(120):
                    nursery.start_soon(ask, number)
                    await trio.sleep(STEP_S / 2)
                    if number == 60:
                        local_gateway.kill(local_gateway.data_planes[1])
                        local_gateway.start(local_gateway.data_planes[1], first=False)
            times = executions(local_gateway)
            assert max(times.values()) == 1
            assert sum(status == 200 for status in answers.values()) > 40
            for id_, status in answers.items():
                if status == 200:
                    assert times.get(id_) == 1
                elif status in (429, 503):
                    assert id_ not in times  # a promise
            await wait_until_served(local_gateway, 1, "/look/1", "back")
            assert {name for server in local_gateway.servers for name in server.executions_by_tenant} == {
                "toy"
            }
            assert (await local_gateway.request(0, "/look/1", "stranger", key="no-key"))[0] == 401
            assert (await local_gateway.request(0, "/nowhere/", "lost"))[0] == 404

    trio.run(scenario)


def test_quotas_hold_over_all_data_planes_while_their_owner_ends(tmp_path: Path, loopback_net: int) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net) as local_gateway:
            assert await local_gateway.replace_config(gateway_config(2, rate=20.0)) == 200
            served: list[float] = []
            refused = 0

            async def ask(number: int) -> None:
                nonlocal refused
                status, _ = await local_gateway.request(number % 2, "/look/1", f"q-{number}")
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

    trio.run(scenario)


def test_no_client_takes_a_spoilt_response_for_an_answer(tmp_path: Path, loopback_net: int) -> None:
    """Half of all answers are spoilt: what is reported as a success is the server's own, to this request."""

    async def scenario() -> None:
        async with gateway(tmp_path, loopback_net) as local_gateway:
            for server in local_gateway.servers:
                server.fault_share = 0.5
            answers: dict[str, tuple[int, bytes]] = {}

            async def ask(number: int) -> None:
                id_, path = f"l{number}", "/do/1" if number % 3 == 0 else "/look/1"
                answers[id_] = await local_gateway.request(number % 2, path, id_)

            async with trio.open_nursery() as nursery:
                for number in range(300):
                    nursery.start_soon(ask, number)
                    await trio.sleep(STEP_S / 4)
            times = executions(local_gateway)
            for id_, (status, body) in answers.items():
                if status == 200:
                    assert body.startswith(f"{id_} by i-".encode()) and body.endswith(b"\n")
                    assert times[id_] >= 1
                elif status in (429, 503):
                    assert id_ not in times
                if int(id_[1:]) % 3 == 0:
                    assert times.get(id_, 0) <= 1
            assert sum(status == 200 for status, _ in answers.values()) > 150
            faults = {fault for server in local_gateway.servers for fault in server.faults_sent}
            assert faults == set(ResponseFault)

    trio.run(scenario)
