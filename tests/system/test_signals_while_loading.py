"""Signals to a process of either program that has been started and does not serve yet."""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import pytest
import trio
import trio.testing

from wickspring.lab.emulation.http_call import NO_RESPONSE, HttpRequest, call
from wickspring.lab.emulation.local_gateway import FRONT_PORT, LocalGateway
from wickspring.lab.emulation.stand_in_server import CONTROL_PORT

POLL_S = 0.002
GRACE_S = 6.0  # the default of the settings
ANSWER_TIMEOUT_S = 5.0
PROGRAMS = ("controlplane", "dataplane")


def address_of(local_gateway: LocalGateway, program: str) -> tuple[str, int]:
    """Return where the only process of a program takes requests."""
    if program == "dataplane":
        return local_gateway.data_planes[0], FRONT_PORT
    return local_gateway.control_planes[0], CONTROL_PORT


async def wait_until_it_listens(address: tuple[str, int]) -> None:
    with trio.fail_after(GRACE_S):
        while True:
            with socket.socket() as probe:
                if probe.connect_ex(address) == 0:
                    return
            await trio.sleep(POLL_S)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_client_in_the_queue_of_a_process_told_to_end_gets_an_answer(
    program: str, tmp_path: Path, loopback_net: int
) -> None:
    """It listens before it has loaded, so clients connect, and SIGTERM may come in that time."""

    async def scenario() -> None:
        local_gateway = LocalGateway(tmp_path, control_plane_count=1, data_plane_count=1, net=loopback_net)
        ip, port = address_of(local_gateway, program)
        statuses: list[int] = []

        async def request() -> None:
            statuses.append((await call(ip, port, HttpRequest("GET", "/look/1"), ANSWER_TIMEOUT_S))[0])

        try:
            local_gateway.start(ip)
            await wait_until_it_listens((ip, port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(request)
                await trio.testing.wait_all_tasks_blocked(0.01)
                local_gateway.signal(ip, signal.SIGTERM)
            assert await local_gateway.wait_ended(ip, GRACE_S)
            assert local_gateway.processes[ip].returncode == 0
            assert statuses and statuses[0] != NO_RESPONSE
        finally:
            local_gateway.stop()

    trio.run(scenario)


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.03, 0.06])
def test_signals_before_the_first_statement_of_a_program_wait_for_it(
    delay_s: float, program: str, tmp_path: Path, loopback_net: int
) -> None:
    """SIGHUP changes nothing, and SIGTERM has the process end in order."""

    async def scenario() -> None:
        local_gateway = LocalGateway(tmp_path, control_plane_count=1, data_plane_count=1, net=loopback_net)
        ip, _ = address_of(local_gateway, program)
        try:
            local_gateway.start(ip)
            await trio.sleep(delay_s)
            local_gateway.signal(ip, signal.SIGHUP)
            await trio.sleep(delay_s)
            local_gateway.signal(ip, signal.SIGTERM)
            assert await local_gateway.wait_ended(ip, GRACE_S)
            assert local_gateway.processes[ip].returncode == 0
        finally:
            local_gateway.stop()

    trio.run(scenario)
