"""Probes of instances by a laboratory that runs late."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio
import trio.testing

from wickspring.lab.experiments.instance_probe import PROBE_TIMEOUT_S, ProbeResult, probe_instance

READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
EARLY_S = 0.1
LATE_S = PROBE_TIMEOUT_S + 0.3
BLOCKED_S = PROBE_TIMEOUT_S + 0.6  # of the event loop, from the dial on


@contextmanager
def instance(answer: bytes, after_s: float) -> Iterator[str]:
    """Answer one request after a time, in a thread of its own; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            with listener.accept()[0] as connection:
                connection.recv(4096)
                time.sleep(after_s)
                connection.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        yield f"{host}:{port}"
        thread.join()


async def probe_while_late(address: str) -> ProbeResult:
    """Probe an instance and block the event loop as soon as the request is out."""
    results: list[ProbeResult] = []

    async def probe() -> None:
        results.append(await probe_instance(address))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe)
        await trio.testing.wait_all_tasks_blocked()
        time.sleep(BLOCKED_S)
    return results[0]


@pytest.mark.parametrize(
    ("answer", "after_s", "expected"),
    [
        (READY, EARLY_S, ProbeResult.SERVES),
        (NOT_READY, EARLY_S, ProbeResult.ANSWERS_OTHERWISE),
        (READY, LATE_S, ProbeResult.TIMED_OUT),
    ],
)
def test_a_late_laboratory_judges_an_instance_by_when_its_answer_arrived(
    answer: bytes, after_s: float, expected: ProbeResult
) -> None:
    # Guards against counting an instance as down because the laboratory reads its answer late.
    with instance(answer, after_s) as address:
        assert trio.run(probe_while_late, address) is expected


def test_an_instance_that_is_not_there_has_refused() -> None:
    # Guards against taking an instance that has gone for one that is slow.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    assert trio.run(probe_instance, f"{host}:{port}") is ProbeResult.REFUSED
