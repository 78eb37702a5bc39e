"""Containment of faults of this program: the handling of one message fails, and nothing else does.

A task that serves one connection, exchange or call runs within `run_isolated`, and a step in the handling
of one message within `isolate_faults`. What they raise is logged, counted and ends there; the owner of the
message gives it its final answer. `docs/ARCHITECTURE.md`, "Faults", tells where each supervisor stands.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import StrEnum
from types import TracebackType
from typing import TypeVarTuple, Unpack

from wickspring.logs import kv

log = logging.getLogger(__name__)

Arguments = TypeVarTuple("Arguments")


class FaultStep(StrEnum):
    """What failed. The values are part of the names of counters in logs and metrics."""

    HANDLE_REQUEST = "handle_request"
    SEND_REQUEST = "send_request"  # to a server
    UPLOAD = "upload"  # of the rest of a long body to a server
    SERVER_CONNECTION = "server_connection"  # reading from a server
    CLOSE_SERVER_CONNECTION = "close_server_connection"
    END_EXCHANGE = "end_exchange"  # telling the owner of an exchange how it ended
    WRITE_RESPONSE = "write_response"  # to a client
    CLIENT_CONNECTION = "client_connection"
    CLOSE_CLIENT_CONNECTION = "close_client_connection"
    API_CALL = "api_call"
    PEER_MESSAGE = "peer_message"  # of another process of the system
    DATAGRAM = "datagram"
    GOSSIP_ROUND = "gossip_round"
    AGENT_MESSAGE = "agent_message"  # of another agent, or of an operator, to an agent
    OPERATION = "operation"  # on a fleet


fault_counts: Counter[FaultStep] = Counter()
"""How often each step has failed in this process."""


def count_fault(step: FaultStep) -> None:
    """Count a fault that has been contained and logged where it was met."""
    fault_counts[step] += 1


def fault_figures() -> dict[str, int]:
    """Return the counts by the names that they have in logs and metrics."""
    return {f"faults_contained[{step.value}]": count for step, count in fault_counts.items()}


class FaultIsolation:
    """Contains what is raised inside of a `with` block: the block ends, and what follows it goes on."""

    __slots__ = ("_on_fault", "_passes", "_step")

    def __init__(
        self,
        step: FaultStep,
        on_fault: Callable[[], None] | None = None,
        passes: tuple[type[Exception], ...] = (),
    ) -> None:
        self._step = step
        self._on_fault = on_fault
        self._passes = passes

    def __enter__(self) -> None:
        """Begin the block."""

    def __exit__(
        self, _: type[BaseException] | None, error: BaseException | None, __: TracebackType | None
    ) -> bool:
        """End the block; tell whether a fault has been contained."""
        if not isinstance(error, Exception) or isinstance(error, self._passes):
            return False
        log.error("fault_contained", exc_info=error, extra=kv(step=self._step.value, reason=repr(error)))
        count_fault(self._step)
        if self._on_fault is not None:
            with FaultIsolation(self._step):
                self._on_fault()
        return True


def isolate_faults(
    step: FaultStep,
    on_fault: Callable[[], None] | None = None,
    passes: tuple[type[Exception], ...] = (),
) -> FaultIsolation:
    """Return what contains the faults of a `with` block.

    Args:
        step: what the block does, for the log and the metrics.
        on_fault: is called after a fault, to end what is left unfinished; its own faults are contained too.
        passes: errors that are no fault of this program; they are raised on.
    """
    return FaultIsolation(step, on_fault, passes)


async def run_isolated(
    step: FaultStep, task: Callable[[Unpack[Arguments]], Awaitable[object]], *arguments: *Arguments
) -> None:
    """Run a task of one message; a fault ends this task, and not the nursery that it runs in."""
    with isolate_faults(step):
        await task(*arguments)
