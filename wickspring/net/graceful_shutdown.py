"""The end of an ingress process: accept what is on its way, finish all requests, and stop."""

from __future__ import annotations

import logging

import trio

from wickspring.logs import kv
from wickspring.net.front_listener import FrontListener
from wickspring.net.listening import close_listener, take_rest
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)

ACCEPT_ON_S = 0.6  # after SIGTERM: new connections keep arriving for up to 0.4 s
STREAMS_S = 60.0  # for streamed bodies and responses to end; who cannot wait sends SIGKILL
LAST_BYTES_S = 0.05  # for the last responses to leave
POLL_S = 0.01


async def drain(runtime: Runtime, listeners: list[FrontListener]) -> None:
    """Accept what still comes, finish all that has been accepted, and return."""
    runtime.begin_drain()
    if runtime.peers is not None:
        runtime.nursery.start_soon(runtime.peers.leave, runtime.handing_over)
    log.info("draining", extra=kv(owed=runtime.pending_responses, handing=runtime.handing_over))
    for connection in list(runtime.connections):
        connection.drain()
    await _stop_accepting(runtime, listeners)
    await _finish_requests(runtime)
    await _finish_streams(runtime)
    await trio.sleep(LAST_BYTES_S)
    log.info("stopped", extra=kv(**runtime.report()))


async def _stop_accepting(runtime: Runtime, listeners: list[FrontListener]) -> None:
    """Close the listening sockets, without resetting connections that wait in the kernel's queue."""
    if runtime.handing_over:
        runtime.upstream.close_idle_from_now_on()
    else:
        await trio.sleep(ACCEPT_ON_S)
    for front in listeners:
        if not runtime.handing_over:
            take_rest(front.listener, runtime, front.serve)
        close_listener(front.listener)


async def _finish_requests(runtime: Runtime) -> None:
    """Wait for responses and for connections that go to another process, within the longest deadline."""
    longest_ms = max((kind.deadline for kind in runtime.instance.settings.classes), default=0.0)
    with trio.move_on_after(longest_ms / 1000.0):
        with trio.move_on_after(ACCEPT_ON_S):
            while runtime.handing_over and runtime.connections:
                await trio.sleep(POLL_S)
        for connection in list(runtime.connections):
            if connection.is_idle():
                connection.finish()
        while runtime.pending_responses or (runtime.handing_over and runtime.connections):
            await trio.sleep(POLL_S)


async def _finish_streams(runtime: Runtime) -> None:
    """Wait for streamed bodies and responses: one that has begun is not cut off."""
    with trio.move_on_after(STREAMS_S):
        while runtime.active_streams:
            await trio.sleep(POLL_S)
