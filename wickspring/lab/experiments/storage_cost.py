"""The cost of a control-plane node's disk: bytes and time of a save, sizes of files, time of a start.

`python -m wickspring.lab.experiments.storage_cost` saves a configuration of 100 KB under 1,000 versions, each
with a departure, on top of 4,096 departures, and then single changes of each kind. Bytes are those that the
process handed to write calls, checkpoints with them; times are those of the disk at hand.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from wickspring.command_line.errors import CommandError
from wickspring.command_line.runner import run_single
from wickspring.common.config_version import version_order
from wickspring.controlplane.replication.packing import PackedState, PackedValue
from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE

MEMBERS = [[f"10.{n}.0.14", "first"] for n in (1, 2, 3)]
STARTS = 20
Row = tuple[str, str]


def _written_bytes() -> int:
    """Return the bytes that this process has handed to write calls."""
    counters = dict(line.split(": ") for line in Path("/proc/self/io").read_text().splitlines())
    return int(counters["wchar"])


def _median_and_worst(durations_ms: list[float]) -> str:
    return f"{statistics.median(durations_ms):.1f} ms, worst {max(durations_ms):.1f}"


class StoreBenchmark:
    """A replica store that is changed and saved again and again."""

    def __init__(self, folder: Path, departures: int, size: int) -> None:
        self.folder = folder
        self.random = Random(1)
        self.size = size  # bytes of the configuration
        self.store = ReplicaStore(str(folder))
        self.replica = Replica()
        self.ballot_number = 0  # of the highest promise
        self.durable: PackedState = {
            "view": [1, MEMBERS, MEMBERS],
            "promised": [1, [0, ""]],
            "accepted": None,
            "disk": "first",
        }
        self.replica.add_departures({f"server-{n:05d}": 1 for n in range(departures)})
        self.store.save(self.durable, self.replica.copy())
        self.departed = 0

    def change_config(self) -> None:
        """Apply a configuration of the next version."""
        number = version_order(self.replica.config.version) + 1
        self.replica.apply(Update(number, b"%d " % number + self.random.randbytes(self.size)), 1)

    def add_departure(self) -> None:
        """Add a departure; the oldest is forgotten where there are too many."""
        self.departed += 1
        self.replica.add_departures({f"leaving-{self.departed:05d}": 1})

    def promise(self) -> None:
        """Promise a ballot."""
        self.ballot_number += 1
        self.durable["promised"] = [2, self._ballot()]

    def _ballot(self) -> list[int | str]:
        return [self.ballot_number, MEMBERS[0][0]]

    def accept(self) -> None:
        """Accept a view with its state."""
        view: PackedValue = [2, MEMBERS, MEMBERS[:2]]
        self.durable["accepted"] = [2, self._ballot(), view, self.replica.with_epoch(2).pack()]

    def measure(self, times: int, *changes: Callable[[], None]) -> tuple[float, list[float]]:
        """Return bytes a save and how long each took, in ms."""
        durations_ms = []
        written_before = _written_bytes()
        for _ in range(times):
            for change in changes:
                change()
            replica = self.replica.copy()
            started_at = time.perf_counter()
            self.store.save(self.durable, replica)
            durations_ms.append(1000.0 * (time.perf_counter() - started_at))
        return (_written_bytes() - written_before) / times, durations_ms

    def start(self) -> float:
        """Return how long a start takes on the files as a kill leaves them."""
        with tempfile.TemporaryDirectory(dir=self.folder.parent) as folder:
            for path in self.folder.iterdir():
                (Path(folder) / path.name).write_bytes(path.read_bytes())
            started_at = time.perf_counter()
            store = ReplicaStore(folder)
            found = store.load()
            duration_ms = 1000.0 * (time.perf_counter() - started_at)
            store.close()
        if found != (self.durable, self.replica):
            raise CommandError("the state that was read is not the one that was saved")
        return duration_ms


def measure_all(folder: Path, changes: int, departures: int, size: int) -> list[Row]:
    """Save and measure; return a row for each measurement."""
    benchmark = StoreBenchmark(folder, departures, size)
    rows = []
    for name, times, steps in (
        (
            f"a text of {size} B and a departure, {changes} times",
            changes,
            (benchmark.change_config, benchmark.add_departure),
        ),
        ("a departure", 200, (benchmark.add_departure,)),
        ("a promise", 200, (benchmark.promise,)),
        ("an accepted view with its state", 20, (benchmark.promise, benchmark.accept)),
        ("nothing new", 20, ()),
    ):
        written, durations_ms = benchmark.measure(times, *steps)
        rows.append((name, f"{written:,.0f} B, {_median_and_worst(durations_ms)}"))
    rows.extend((name, f"{(folder / name).stat().st_size:,} B") for name in (FILE, f"{FILE}-wal"))
    rows.append(("a start, as after a kill", _median_and_worst([benchmark.start() for _ in range(STARTS)])))
    benchmark.store.close()
    rows.append(("a start, as after an end", _median_and_worst([benchmark.start() for _ in range(STARTS)])))
    return rows


def measure_disk(
    *, changes: int = 1000, leaving: int = 4096, size: int = 100_000, at: Path | None = None
) -> None:
    """Measure what saves and starts cost on a disk.

    Args:
        changes: how many versions of a configuration are saved.
        leaving: departures that are stored before.
        size: bytes of the configuration.
        at: a folder of the disk.
    """
    with tempfile.TemporaryDirectory(dir=at) as folder:
        for name, figures in measure_all(Path(folder) / "disk", changes, leaving, size):
            print(f"{name}: {figures}")


def main() -> None:
    """Run the command that the words of this process name."""
    sys.exit(run_single(measure_disk, sys.argv[1:], "storage_cost"))


if __name__ == "__main__":
    main()
