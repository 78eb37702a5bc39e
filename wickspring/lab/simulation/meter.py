"""A meter of messages and processor time for gateways simulated in one process.

Bytes and messages are added up by flow (who sends to whom) and part; processor time by role and part. Each
step of a task belongs to the role that started the task, and the handling of a message to the part that the
message's name stands for. What is left over is the role's `rest`, and trio's own work is counted under the
role `machine`.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import trio

from wickspring.common.messages import WireMessage

WireMessageHandler = Callable[[WireMessage], None]

# Roles and parts are names of figures in docs/capacity/*.json, with which later runs are compared: they stay.
CORE = "core"  # a control-plane node
INGRESS = "ingress"  # a data plane
REST = "rest"
EVENT_LOOP = ("machine", "loop")
MESSAGES_BY_PART = {
    "ticks": ("tick", "tock"),
    "members": ("hello", "view", "pilots", "cores"),
    "beats": ("alive", "tell"),
    "news": ("servers", "leavers", "lost", "whole", "fetch"),
    "configuration": ("chart",),
    "counts": ("add", "sum", "moved", "spent", "back", "past", "shadow"),
    "advice": ("berth", "berths", "out", "in"),
    "chain": ("chain", "enter", "entered"),
    "gossip": ("probe", "word", "reach", "reached"),
}
PART_OF_MESSAGE = {name: part for part, names in MESSAGES_BY_PART.items() for name in names}

ROLE: ContextVar[str] = ContextVar("role", default="lab")
PART: ContextVar[str] = ContextVar("part", default=REST)


class Meter(trio.abc.Instrument):
    """Counts bytes and messages by (flow, part), and processor time in ns by (role, part).

    A flow is written "core>ingress".
    """

    def __init__(self) -> None:
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.messages: Counter[tuple[str, str]] = Counter()
        self.ns: Counter[tuple[str, str]] = Counter()
        self._account = EVENT_LOOP  # the (role, part) to which time is charged now
        self._charged_until_ns = time.thread_time_ns()

    def reset(self) -> None:
        """Set all counters to zero."""
        self.bytes.clear()
        self.messages.clear()
        self.ns.clear()
        self._charged_until_ns = time.thread_time_ns()

    def _switch(self, account: tuple[str, str]) -> tuple[str, str]:
        """Charge the time so far, go over to another account and return the one before."""
        now_ns = time.thread_time_ns()
        previous = self._account
        self.ns[previous] += now_ns - self._charged_until_ns
        self._account = account
        self._charged_until_ns = now_ns
        return previous

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Charge the time that follows to the role and part that started the task."""
        role = task.context.get(ROLE, "lab")
        part = task.context.get(PART, REST)
        self._switch((str(role), str(part)))

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Charge the time that follows to the event loop."""
        self._switch(EVENT_LOOP)

    @contextmanager
    def charge(self, role: str, part: str) -> Iterator[None]:
        """Charge the body of a `with` statement, and the tasks that it starts, to a role and part."""
        role_token = ROLE.set(role)
        part_token = PART.set(part)
        previous = self._switch((role, part))
        try:
            yield
        finally:
            self._switch(previous)
            ROLE.reset(role_token)
            PART.reset(part_token)

    def count_message(self, flow: str, name: str, size: int) -> None:
        """Count one message of so many bytes."""
        key = flow, PART_OF_MESSAGE.get(name, name)
        self.bytes[key] += size
        self.messages[key] += 1

    def metered_handler(self, role: str, handler: WireMessageHandler) -> WireMessageHandler:
        """Return a message handler whose time is charged to the part of each message."""

        def handle(wire_message: WireMessage) -> None:
            name = str(wire_message[0])
            previous = self._switch((role, PART_OF_MESSAGE.get(name, name)))
            try:
                handler(wire_message)
            finally:
                self._switch(previous)

        return handle
