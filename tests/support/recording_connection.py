"""A connection in place of a `PeerConnection`, for tests of what a process sends."""

from __future__ import annotations

import trio

from wickspring.common.messages import Message


class RecordingConnection:
    """A connection that records what is sent on it, and when."""

    def __init__(self, peer_address: str = "") -> None:
        self.peer_address = peer_address
        self.live = True
        self.sent: list[Message] = []
        self.sent_at_s: list[float] = []  # of each message in `sent`, by trio's clock

    def send(self, message: Message) -> None:
        self.sent.append(message)
        self.sent_at_s.append(trio.current_time())

    def close(self) -> None:
        self.live = False
