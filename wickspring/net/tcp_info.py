"""What the kernel says of a TCP connection (`struct tcp_info` in linux/tcp.h)."""

from __future__ import annotations

import socket
import struct
from typing import Protocol

LAST_DATA_RECEIVED = struct.Struct("=I")  # tcpi_last_data_recv, ms
LAST_DATA_RECEIVED_AT = 52  # bytes from the start
BYTES_RECEIVED = struct.Struct("=Q")  # tcpi_bytes_received
BYTES_RECEIVED_AT = 128
NEEDED_BYTES = 136


class Socket(Protocol):
    """What is asked for it: a socket of the standard library, or of trio."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return an option of so many bytes at most."""


def unread_ms(sock: Socket) -> float:
    """Return how long ago (ms) the latest bytes arrived in the kernel; 0 where it does not say.

    Just after a read that is how long what was read had lain there, as far as it came in one piece. The
    kernel counts in steps of its clock, of some milliseconds.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, NEEDED_BYTES)
    except OSError:  # closed meanwhile, or no TCP
        return 0.0
    if len(info) < NEEDED_BYTES or not BYTES_RECEIVED.unpack_from(info, BYTES_RECEIVED_AT)[0]:
        return 0.0
    return float(LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_AT)[0])
