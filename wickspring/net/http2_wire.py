"""What the two sides of HTTP/2 share: reading GOAWAY, and sending a body as the windows allow.

The h2 library takes a GOAWAY for the end of the connection and then refuses the answers to the streams
that the peer is still going to serve. GOAWAY frames are therefore cut out before h2 sees them; all else
passes through untouched.
"""

from __future__ import annotations

from dataclasses import dataclass

import h2.connection
from h2.exceptions import FrameTooLargeError
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame

PREFACE_SIZE = 24  # bytes with which a client begins
HEADER_SIZE = 9
GOAWAY_TYPE = 7
MOST_GOAWAY = 4096
MOST_FRAME = 16384  # the size that both sides here accept
LAST_STREAM = 2**31 - 1
MOST_HEAD = 16 * 1024


@dataclass(slots=True, frozen=True)
class GoAway:
    """The peer takes no stream above `last_stream`."""

    last_stream: int
    error: int


class Frames:
    """Follows the frame boundaries of one direction and takes the GOAWAY frames out."""

    def __init__(self, skip: int = 0) -> None:
        self._left = skip  # bytes still to pass before the next frame begins
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes | GoAway]:
        """Take bytes in; return what is for h2, and each GOAWAY in its place."""
        data, parts, start, at = self._rest + data, list[bytes | GoAway](), 0, 0
        while True:
            step = min(self._left, len(data) - at)
            at, self._left = at + step, self._left - step
            if self._left or len(data) - at < HEADER_SIZE:
                break
            length, kind = int.from_bytes(data[at : at + 3], "big"), data[at + 3]
            stream = int.from_bytes(data[at + 5 : at + 9], "big")
            if length > MOST_FRAME:  # h2 would first wait for all of it: up to 16 MB from one bad peer
                raise FrameTooLargeError(f"a frame of {length} bytes")
            if kind != GOAWAY_TYPE or stream or not 8 <= length <= MOST_GOAWAY:
                self._left = HEADER_SIZE + length  # a malformed GOAWAY is h2's to complain of
                continue
            if len(data) - at < HEADER_SIZE + length:
                break
            if at > start:
                parts.append(data[start:at])
            body = data[at + HEADER_SIZE : at + HEADER_SIZE + 8]
            last = int.from_bytes(body[:4], "big") & LAST_STREAM
            parts.append(GoAway(last, int.from_bytes(body[4:], "big")))
            at += HEADER_SIZE + length
            start = at
        if at > start:
            parts.append(data[start:at])
        self._rest = data[at:]
        return parts


def settings(*, client: bool, streams: int, window: int = 65535) -> Settings:
    """Return the settings to begin with; changed later, they would take a round trip to hold."""
    values = {
        SettingCodes.MAX_CONCURRENT_STREAMS: streams,
        SettingCodes.MAX_HEADER_LIST_SIZE: MOST_HEAD,
        SettingCodes.MAX_FRAME_SIZE: MOST_FRAME,
        SettingCodes.INITIAL_WINDOW_SIZE: window,
        SettingCodes.ENABLE_PUSH: 0,
    }
    return Settings(client=client, initial_values=values)


def goaway(last_stream: int) -> bytes:
    """Write a GOAWAY that ends nothing yet, which h2 has no call for."""
    return GoAwayFrame(0, last_stream_id=last_stream, error_code=0).serialize()


def pump(http: h2.connection.H2Connection, stream: int, body: bytearray, more: bool = False) -> bool:
    """Send as much of a body as the windows allow; True once its end has been sent.

    Where `more` is to come, its end is not among the bytes given.
    """
    if not body and not more:
        http.send_data(stream, b"", end_stream=True)
    while body:
        size = min(http.local_flow_control_window(stream), http.max_outbound_frame_size, len(body))
        if size <= 0:
            return False
        http.send_data(stream, bytes(body[:size]), end_stream=not more and size == len(body))
        del body[:size]
    return not more
