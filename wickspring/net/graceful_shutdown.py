"""The end of an ingress process: accept what is on its way, finish all requests, and stop."""

from __future__ import annotations

import logging

import trio

from wickspring.logs import kv
from wickspring.net.calls import BODY_MS, HEAD_MS
from wickspring.net.connection_drain import DrainTimes, close_connections, close_idle_connections
from wickspring.net.front_listener import FrontListener
from wickspring.net.listening import close_listener, stop_accepting, stop_deferring
from wickspring.net.runtime import Runtime

log = logging.getLogger(__name__)

ACCEPT_ON_S = 0.6  # after SIGTERM: new connections keep arriving for up to 0.4 s
COME_AGAIN_S = 0.2  # in which clients whose idle connections have been closed may connect again
REQUEST_MS = HEAD_MS + BODY_MS  # for a request that has begun to arrive; long bodies are streamed
STREAMS_MS = 60_000.0  # for streamed bodies and responses to end; who cannot wait sends SIGKILL
POLL_S = 0.01


async def drain(runtime: Runtime, listeners: list[FrontListener]) -> None:
    """Accept what still comes, finish all that has been accepted, and return."""
    runtime.begin_drain(_drain_times(runtime))
    if runtime.peers is not None:
        runtime.nursery.start_soon(runtime.peers.leave, runtime.handing_over)
    log.info("draining", extra=kv(owed=runtime.pending_responses, handing=runtime.handing_over))
    if not runtime.handing_over:  # the successor goes on deferring, on the same sockets
        for front in listeners:
            stop_deferring(front.listener)
    for connection in list(runtime.connections):
        connection.drain()
    await _stop_accepting(runtime, listeners)
    await _hand_connections_over(runtime)
    await close_connections(runtime)
    log.info("stopped", extra=kv(connections_cut=len(runtime.connections), **runtime.report()))


def _drain_times(runtime: Runtime) -> DrainTimes:
    """Return the times of the drain: requests that are taken last have their whole deadline."""
    longest_deadline_ms = max((kind.deadline for kind in runtime.instance.settings.classes), default=0.0)
    take_ms = 1000.0 * (ACCEPT_ON_S + COME_AGAIN_S) + REQUEST_MS
    answer_ms = take_ms + longest_deadline_ms
    return DrainTimes(take_ms, answer_ms, answer_ms + STREAMS_MS)


async def _stop_accepting(runtime: Runtime, listeners: list[FrontListener]) -> None:
    """Close the listening sockets, without resetting connections that wait in the kernel's queue."""
    if runtime.handing_over:
        runtime.upstream.close_idle_from_now_on()
    else:
        await trio.sleep(ACCEPT_ON_S)
        close_idle_connections(runtime)
        await trio.sleep(COME_AGAIN_S)
    for front in listeners:
        if runtime.handing_over:
            close_listener(front.listener)
        else:
            stop_accepting(front.listener, runtime, front.serve)


async def _hand_connections_over(runtime: Runtime) -> None:
    """Give idle connections the time to go to the other process, where there is one."""
    with trio.move_on_after(ACCEPT_ON_S):
        while runtime.handing_over and runtime.connections:
            await trio.sleep(POLL_S)
