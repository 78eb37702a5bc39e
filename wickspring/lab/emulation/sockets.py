"""A look at a socket without reading from it."""

from __future__ import annotations

import socket

import trio


def peek(sock: trio.socket.SocketType) -> bytes | None:
    """Return a byte that has come and is not read yet, b"" at the other side's end, None if nothing has."""
    try:
        with socket.fromfd(sock.fileno(), sock.family, sock.type) as twin:
            twin.setblocking(False)
            return twin.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
