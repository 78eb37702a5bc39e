"""What a core machine's disk costs: bytes and time of a save, files, and the time of a start.

`python -m wickspring.lab.experiments.storage_cost` saves a configuration of 100 KB under 1,000 numbers,
each with a server
that leaves, on top of 4,096 leaving servers, and then single changes of each kind. Bytes are those that the
process handed to write calls, checkpoints with them; times are those of this machine's disk.
"""

from __future__ import annotations

import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import click

from wickspring.controlplane.replication.replica import Replica, Update
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE

MEMBERS = [[f"10.{n}.0.14", "first"] for n in (1, 2, 3)]
STARTS = 20
Row = tuple[str, str]


def _written() -> int:
    """Return the bytes that this process has handed to write calls."""
    told = dict(line.split(": ") for line in Path("/proc/self/io").read_text().splitlines())
    return int(told["wchar"])


def _middle_and_worst(took: list[float]) -> str:
    return f"{statistics.median(took):.1f} ms, worst {max(took):.1f}"


class Keeping:
    """A logbook under changes."""

    def __init__(self, folder: Path, leaving: int, size: int) -> None:
        self.folder, self.random, self.size = folder, Random(1), size
        self.book, self.replica = ReplicaStore(str(folder)), Replica()
        self.durable: dict[str, Any] = {
            "view": [1, MEMBERS, MEMBERS],
            "promised": [1, [0, ""]],
            "accepted": None,
            "disk": "first",
        }
        self.replica.add_departures({f"server-{n:05d}": 1 for n in range(leaving)})
        self.book.save(self.durable, self.replica.copy())
        self.left = 0

    def change(self) -> None:
        """Take another configuration, of which a part differs."""
        number = self.replica.config.version + 1
        self.replica.apply(Update(number, b"%d " % number + self.random.randbytes(self.size)), 1)

    def leave(self) -> None:
        """Take a server that leaves; the oldest is forgotten where there are too many."""
        self.left += 1
        self.replica.add_departures({f"leaving-{self.left:05d}": 1})

    def promise(self) -> None:
        """Promise a ballot."""
        self.durable["promised"] = [2, [self.durable["promised"][1][0] + 1, MEMBERS[0][0]]]

    def accept(self) -> None:
        """Accept a view with its state."""
        ballot = self.durable["promised"][1]
        self.durable["accepted"] = [2, ballot, [2, MEMBERS, MEMBERS[:2]], self.replica.with_epoch(2).pack()]

    def measure(self, times: int, *changes: Callable[[], None]) -> tuple[float, list[float]]:
        """Return bytes a save and how long each took, in ms."""
        took, before = [], _written()
        for _ in range(times):
            for change in changes:
                change()
            replica, begun = self.replica.copy(), time.perf_counter()
            self.book.save(self.durable, replica)
            took.append(1000.0 * (time.perf_counter() - begun))
        return (_written() - before) / times, took

    def start(self) -> float:
        """Return how long a start takes on the files as a kill leaves them."""
        with tempfile.TemporaryDirectory(dir=self.folder.parent) as folder:
            for path in self.folder.iterdir():
                (Path(folder) / path.name).write_bytes(path.read_bytes())
            begun = time.perf_counter()
            book = ReplicaStore(folder)
            found = book.load()
            took = 1000.0 * (time.perf_counter() - begun)
            book.close()
        if found != (self.durable, self.replica):
            raise click.ClickException("what was read is not what was saved")
        return took


def play(folder: Path, changes: int, leaving: int, size: int) -> list[Row]:
    """Save and measure; return what was found."""
    one = Keeping(folder, leaving, size)
    rows = []
    for name, times, what in (
        (f"a text of {size} B and a leaving server, {changes} times", changes, (one.change, one.leave)),
        ("a leaving server", 200, (one.leave,)),
        ("a promise", 200, (one.promise,)),
        ("an accepted view with its state", 20, (one.promise, one.accept)),
        ("nothing new", 20, ()),
    ):
        written, took = one.measure(times, *what)
        rows.append((name, f"{written:,.0f} B, {_middle_and_worst(took)}"))
    for name in (FILE, f"{FILE}-wal"):
        rows.append((name, f"{(folder / name).stat().st_size:,} B"))
    rows.append(("a start, as after a kill", _middle_and_worst([one.start() for _ in range(STARTS)])))
    one.book.close()
    rows.append(("a start, as after an end", _middle_and_worst([one.start() for _ in range(STARTS)])))
    return rows


@click.command()
@click.option("--changes", default=1000, show_default=True)
@click.option("--leaving", default=4096, show_default=True)
@click.option("--size", default=100_000, show_default=True, help="Bytes of the configuration.")
@click.option("--at", type=click.Path(path_type=Path, file_okay=False), help="A folder of the disk.")
def main(changes: int, leaving: int, size: int, at: Path | None) -> None:
    """Tell what the disk costs."""
    with tempfile.TemporaryDirectory(dir=at) as folder:
        for name, told in play(Path(folder) / "disk", changes, leaving, size):
            click.echo(f"{name}: {told}")


if __name__ == "__main__":
    main()
