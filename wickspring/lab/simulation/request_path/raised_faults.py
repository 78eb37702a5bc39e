"""Faults of the program itself in a simulated data plane: steps of its code raise, by a seeded draw.

Each step is a method or function that reads, writes or ends one message or connection. It raises instead of
what it does, or once it has done it. That must cost the message at work alone (`fault_isolation`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import NamedTuple
from unittest import mock

from wickspring.connections.pools import ConnectionPools
from wickspring.dataplane.request.forwarding import Forwarder
from wickspring.dataplane.request.response import Responder
from wickspring.dataplane.upstream import UpstreamConnection
from wickspring.net import http1_front, http1_reader
from wickspring.net.http1_front import Http1Connection
from wickspring.net.upstream.manager import UpstreamManager
from wickspring.net.upstream.response_reader import ResponseReader


class RaisedFaultError(Exception):
    """A fault that was asked for."""


class Step(NamedTuple):
    """A function of the program, by the object that it is looked up in and its name there."""

    owner: object
    name: str

    @property
    def label(self) -> str:
        """The name that runs are counted and selected by."""
        return f"{getattr(self.owner, '__name__', '').rpartition('.')[2]}.{self.name}"


STEPS = (
    Step(ResponseReader, "encode_request"),
    Step(ResponseReader, "encode_body"),
    Step(ResponseReader, "encode_end"),
    Step(ResponseReader, "receive"),
    Step(UpstreamConnection, "read_result"),
    Step(UpstreamConnection, "open_sink"),
    Step(UpstreamConnection, "close"),
    Step(UpstreamManager, "connection_closed"),
    Step(UpstreamManager, "finish"),
    Step(ConnectionPools, "connection_closed"),
    Step(Forwarder, "_continue"),
    Step(Responder, "deliver"),
    Step(Responder, "begin_stream"),
    Step(Responder, "end_stream"),
    Step(Responder, "on_client_disconnected"),
    Step(http1_reader, "read_head"),
    Step(http1_front, "encode_response"),
    Step(http1_front, "encode_head"),
    Step(http1_front, "encode_body"),
    Step(http1_front, "encode_end"),
    Step(Http1Connection, "write_body"),
    Step(Http1Connection, "unanswered"),
    Step(Http1Connection, "cancel_requests"),
)
STEP_LABELS = tuple(step.label for step in STEPS)


class FaultRaiser:
    """Has steps raise."""

    def __init__(self, random: Random, share: float, labels: tuple[str, ...] = STEP_LABELS) -> None:
        self.raised: Counter[str] = Counter()  # by the labels of steps
        self._random = random
        self._share = share
        self._steps = [step for step in STEPS if step.label in labels]

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Have the steps raise inside of the `with` block."""
        with ExitStack() as stack:
            for step in self._steps:
                original = getattr(step.owner, step.name)
                stack.enter_context(mock.patch.object(step.owner, step.name, self._wrap(step, original)))
            yield

    def _wrap(self, step: Step, original: Callable[..., object]) -> Callable[..., object]:
        def raise_or_call(*args: object, **named: object) -> object:
            if self._random.random() >= self._share:
                return original(*args, **named)
            self.raised[step.label] += 1
            if self._random.random() < 0.5:
                original(*args, **named)
            raise RaisedFaultError(step.label)

        return raise_or_call
