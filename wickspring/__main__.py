"""The real ingress's process. The fronts are not written yet: it listens and refuses every request."""

from __future__ import annotations

import os

import trio

REFUSAL = b"HTTP/1.1 503 \r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


async def _refuse(stream: trio.SocketStream) -> None:
    async with stream:
        try:
            await stream.receive_some(65536)
            await stream.send_all(REFUSAL)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


if __name__ == "__main__":
    host, _, port = os.environ["GW_LISTEN"].rpartition(":")
    trio.run(lambda: trio.serve_tcp(_refuse, int(port), host=host))
