"""What the kernel says of a TCP connection (`struct tcp_info` in linux/tcp.h)."""

from __future__ import annotations

import socket
import struct
from typing import Protocol

STATE_AT = 0  # tcpi_state, one byte
CLOSE_WAIT = 8  # of its values: the peer has closed in order, this side has not
MILLISECONDS = struct.Struct("=I")
LAST_DATA_RECEIVED_AT = 52  # tcpi_last_data_recv; bytes from the start
LAST_ACK_RECEIVED_AT = 56  # tcpi_last_ack_recv: of any segment, the one that closes among them
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
    info = _read(sock)
    if info is None or not BYTES_RECEIVED.unpack_from(info, BYTES_RECEIVED_AT)[0]:
        return 0.0
    return float(MILLISECONDS.unpack_from(info, LAST_DATA_RECEIVED_AT)[0])


def peer_closed_ms(sock: Socket) -> float | None:
    """Return how long ago (ms) the other side closed; None where it has not, not in order, or is not said."""
    info = _read(sock)
    if info is None or info[STATE_AT] != CLOSE_WAIT:
        return None
    return float(MILLISECONDS.unpack_from(info, LAST_ACK_RECEIVED_AT)[0])


def _read(sock: Socket) -> bytes | None:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, NEEDED_BYTES)
    except OSError:  # closed meanwhile, or no TCP
        return None
    return info if len(info) >= NEEDED_BYTES else None
