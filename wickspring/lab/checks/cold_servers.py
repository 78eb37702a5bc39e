"""The rule of cold servers: none is sent so much work that it goes down."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator

from wickspring.lab.checks.observed_run import ObservedRun


def find_overloaded(run: ObservedRun) -> Iterator[str]:
    """Yield the cold servers that were overloaded, each once: one that goes down stays down."""
    overloaded = {server for server, share in _cold_load_shares(run) if share > 1.0}
    yield from sorted(overloaded | set(run.record.overloaded))


def highest_cold_load(run: ObservedRun) -> float:
    """Return the most work sent to a cold server in any window, over what makes it go down."""
    return max((share for _, share in _cold_load_shares(run)), default=0.0)


def _cold_load_shares(run: ObservedRun) -> Iterator[tuple[str, float]]:
    """Yield for each piece of work its server, and the work of the window it ends over the limit."""
    windows: dict[str, deque[tuple[float, float]]] = defaultdict(deque)
    shape = run.scenario.shape
    for load in run.record.cold_loads:
        window = windows[load.server]
        window.append((load.at, load.work_ms))
        while window[0][0] < load.at - shape.fall_ms:
            window.popleft()
        max_work_ms = shape.fall_factor * load.capacity * shape.fall_ms
        yield load.server, sum(work_ms for _, work_ms in window) / max_work_ms
