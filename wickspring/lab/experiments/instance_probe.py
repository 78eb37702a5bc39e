"""Probes of an instance from outside, judged by when its answer reached the kernel.

A laboratory that runs late reads answers late. Only an answer that arrived too late, or not at all, says
something of the instance.
"""

from __future__ import annotations

import errno
import socket
from enum import StrEnum

import trio

from wickspring.net.tcp_info import unread_ms

PROBE_TIMEOUT_S = 0.5  # from the dial until the answer has arrived in the kernel
REQUEST = b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"
READY_ANSWER = b"HTTP/1.1 200"
RECEIVE_BYTES = 4096


class ProbeResult(StrEnum):
    """What an instance says from outside of whether it serves. The values stand in results."""

    SERVES = "serves"
    ANSWERS_OTHERWISE = "answers otherwise"
    REFUSED = "refused"
    TIMED_OUT = "timed out"


async def probe_instance(address: str) -> ProbeResult:
    """Ask an instance from outside whether it serves."""
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        deadline = trio.current_time() + PROBE_TIMEOUT_S
        try:
            await _send(sock, (host, int(port)), deadline)
            answer = await _receive(sock, deadline)
        except trio.TooSlowError:
            return ProbeResult.TIMED_OUT
        except OSError:
            return ProbeResult.REFUSED
    return ProbeResult.SERVES if answer.startswith(READY_ANSWER) else ProbeResult.ANSWERS_OTHERWISE


async def _send(sock: socket.socket, address: tuple[str, int], deadline: float) -> None:
    """Connect and send the request, without a turn of the event loop where the kernel connects at once.

    Raises:
        OSError: the connection does not come up, or has ended.
        trio.TooSlowError: it has not come up by the deadline.
    """
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, "connect")
    try:
        sock.send(REQUEST)
    except BlockingIOError:
        with trio.fail_at(deadline):
            await trio.lowlevel.wait_writable(sock)
        sock.send(REQUEST)


async def _receive(sock: socket.socket, deadline: float) -> bytes:
    """Return the beginning of the answer, also where this process reads it late.

    Raises:
        OSError: the connection has ended.
        trio.TooSlowError: nothing had arrived by the deadline.
    """
    with trio.move_on_at(deadline):
        await trio.lowlevel.wait_readable(sock)
    try:
        answer = sock.recv(RECEIVE_BYTES)
    except BlockingIOError as error:
        raise trio.TooSlowError from error
    arrived_at = trio.current_time() - unread_ms(sock) / 1000.0
    if arrived_at > deadline:
        raise trio.TooSlowError
    return answer
