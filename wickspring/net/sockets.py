"""Opening listening sockets. Nothing heavy is loaded here: a process may listen before the rest of it is."""

from __future__ import annotations

import socket
from contextlib import suppress

BACKLOG = 1024
DEFER_S = 1  # silence after which the kernel hands a new connection over without a word
NOT_DEFERRED_S = 0


def listen(address: tuple[str, int], *, share: bool = False, defer: bool = True) -> socket.socket:
    """Open a listening socket on this address only; shared, the process's successor may listen there too.

    Deferred, connections are handed over with their first word, or after a while without one.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        if defer and DEFER_S and hasattr(socket, "TCP_DEFER_ACCEPT"):
            # A crowd that connects and says nothing waits in the kernel and takes no descriptors.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_S)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def stop_deferring(listener: socket.socket) -> None:
    """Have the kernel hand over each new connection at once, before it carries anything.

    A deferred connection is complete to its client but cannot be accepted before its first bytes: closing the
    listener resets it. One that is deferred already is handed over with its first bytes, or after `DEFER_S`.
    """
    if hasattr(socket, "TCP_DEFER_ACCEPT"):
        with suppress(OSError):  # a platform without the option defers nothing
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, NOT_DEFERRED_S)
