"""Garbage collection as rare as in the programs, for runs whose heap holds a whole script and its record."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

from wickspring.common.lifecycle import GC_THRESHOLDS


@contextmanager
def rare_garbage_collection() -> Iterator[None]:
    """Leave what is there uncollected, and collect as rarely as the programs do."""
    previous = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*previous)
        gc.unfreeze()
