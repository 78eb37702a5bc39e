"""The orderly end of a data plane, from SIGTERM on.

Until the platform has learnt that this process takes no more clients, it is as if nothing had happened, but
for `Connection: close` in each response. Then the listener closes, and each connection as soon as it is idle;
nothing is taken any more that could not be answered in the time that is left. Deadlines of requests end with
that time, so each gets a response before the process is killed. The rule stands in
`docs/design/graceful-shutdown.md`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

from wickspring.common import logs
from wickspring.dataplane.process import DataPlane
from wickspring.net.connection_drain import DrainTimes, close_connections, close_idle_connections
from wickspring.net.listening import Serve, stop_accepting

# Shares of the grace period, between SIGTERM and SIGKILL.
ACCEPT_SHARE = 0.4  # new connections are accepted until then at the latest
TAKE_SHARE = 0.45  # requests are taken until then; most take much less than what is left
ANSWER_SHARE = 0.93  # requests in progress are answered until then
CLOSE_SHARE = 0.97  # and the last bytes leave until then

ON_THE_WAY_S = 0.4  # in which connections still come that the platform has passed on before it knew
POLL_S = 0.02


def drain_times(grace_s: float) -> DrainTimes:
    """Return the times of a drain for a grace period in seconds."""
    grace_ms = 1000.0 * grace_s
    return DrainTimes(TAKE_SHARE * grace_ms, ANSWER_SHARE * grace_ms, CLOSE_SHARE * grace_ms)


class GracefulShutdown:
    """Ends one data plane."""

    def __init__(
        self,
        data_plane: DataPlane,
        listener: socket.socket,
        serve: Serve[DataPlane],
        platform_knows: Callable[[], bool],
    ) -> None:
        """`platform_knows` tells whether the platform has been told to send no more clients."""
        self._data_plane = data_plane
        self._listener = listener
        self._serve = serve
        self._platform_knows = platform_knows

    async def run(self, grace_s: float) -> None:
        """Return once all is answered and closed, or the time is over.

        `grace_s` is what is left of the grace period, in seconds.
        """
        data_plane = self._data_plane
        requests = data_plane.request_context.requests
        data_plane.begin_drain(drain_times(grace_s))
        logs.log_event("draining", requests_in_flight=len(requests), connections=len(data_plane.connections))
        await self._accept_last(ACCEPT_SHARE * grace_s)
        await close_connections(data_plane)
        logs.log_event("stopped", requests_in_flight=len(requests), connections=len(data_plane.connections))

    async def _accept_last(self, at_most_s: float) -> None:
        """Accept clients until the platform sends no more, and stop listening."""
        with trio.move_on_after(at_most_s):
            while not self._platform_knows():
                await trio.sleep(POLL_S)
            close_idle_connections(self._data_plane)
            await trio.sleep(ON_THE_WAY_S)
        stop_accepting(self._listener, self._data_plane, self._serve)
