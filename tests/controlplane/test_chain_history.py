"""Long histories of a simulated group: hundreds of updates while one of its nodes is down."""

from __future__ import annotations

import pytest

from wickspring.common.config_version import is_newer, version_order
from wickspring.controlplane.replication.replica import CommitOutcome, Update
from wickspring.controlplane.replication.view import FaultTolerance
from wickspring.lab.simulation.replication.group import SimulatedGroup

CHANGES = 500
TEXT = 2000  # bytes
ENTRY = 24  # bytes of a number and its digest
EVERY_MS = 120.0
CATCH_UP_MS = 5000.0


class GroupUnderUpdates(SimulatedGroup):
    """A group with one operator who submits one update after another, each until it is committed."""

    changed = 0

    def change(self, ends: int) -> None:
        """Send the next change; again if it is not acknowledged in time."""
        if self.changed >= ends:
            return
        update = Update(self.changed + 1, b"%d" % (self.changed + 1) + b"." * TEXT)

        def on_outcome(outcome: CommitOutcome) -> None:
            if outcome == CommitOutcome.COMMITTED:
                self.changed = max(self.changed, version_order(update.version))

        self.send_update(self.random.choice(sorted(self.nodes)), update, on_outcome)
        self.schedule(EVERY_MS, lambda: self.change(ends))


def caught_up(core: SimulatedGroup, ip: str) -> bool:
    """Return whether a node stores what the group has acknowledged."""
    return not is_newer(core.checker.highest_acknowledged, core.nodes[ip].replica.config.version)


def run_until(core: GroupUnderUpdates, what: str, bound_ms: float, ip: str = "", changed: int = 0) -> float:
    """Run until a node has caught up, or so many updates are committed; return the time taken in ms."""
    begun = core.now
    while core.changed < changed if changed else not caught_up(core, ip):
        assert core.now - begun < bound_ms, f"seed {core.seed}: {what}"
        core.run(core.now + 50.0)
    return core.now - begun


@pytest.mark.parametrize("how", ["its disk", "empty", "twice ended"])
@pytest.mark.parametrize(
    ("machines", "tolerance", "away"),  # the head, one in the middle, the tail; one of five
    [
        (3, FaultTolerance(1), 0),
        (3, FaultTolerance(1), 1),
        (3, FaultTolerance(1), 2),
        (5, FaultTolerance(2), 1),
    ],
)
def test_a_node_down_during_hundreds_of_updates_catches_up_in_time(
    machines: int, tolerance: FaultTolerance, away: int, how: str
) -> None:
    core = GroupUnderUpdates(500 + away, machines, machines, tolerance=tolerance)
    core.run(2500.0)
    core.change(20)
    run_until(core, "twenty changes", 30_000.0, changed=20)
    one = core.nodes[f"m{away}"]
    core.stop(one, wipe=how == "empty")
    core.change(CHANGES)
    run_until(core, "changes while one is away", 300_000.0, changed=CHANGES - 20)
    one.received = 0
    core.start(one)  # in the midst of the last changes
    if how == "twice ended":  # beside the first saves of what it takes in, before one and after another
        one.save_crash = 1.0
        while one.save_crash:
            core.run(core.now + 50.0)
        while one.chain is None:
            core.run(core.now + 50.0)
        one.save_crash = 0.5
        while one.save_crash and core.changed < CHANGES:
            core.run(core.now + 50.0)
        one.save_crash = 0.0
        while one.chain is None:
            core.run(core.now + 50.0)
    assert run_until(core, "it does not catch up", CATCH_UP_MS, f"m{away}") <= CATCH_UP_MS
    # It receives the full state a few times at most, and later updates, but not each of the updates.
    assert one.received < (16 if how == "twice ended" else 6) * (TEXT + CHANGES * ENTRY)
    run_until(core, "the last changes", 60_000.0, changed=CHANGES)
    core.check_recovery()
    assert core.checker.highest_acknowledged == CHANGES


@pytest.mark.parametrize("away", [0, 1, 2])
def test_a_node_restarted_without_a_quorum_confirms_nothing(away: int) -> None:
    """Its disk has old state: it is head of nothing, publishes nothing and confirms nothing."""
    core = GroupUnderUpdates(600 + away)
    core.run(2500.0)
    core.change(10)
    run_until(core, "ten changes", 30_000.0, changed=10)
    one = core.nodes[f"m{away}"]
    core.stop(one)
    core.change(60)
    run_until(core, "changes while one is away", 60_000.0, changed=60)
    others = {(one.ip, ip) for ip in core.nodes if ip != one.ip}
    core.network.cut = others | {(ip, there) for there, ip in others}
    core.start(one)
    answers: list[CommitOutcome] = []
    for update in (Update(), Update(10, b"other"), Update(61, b"new")) * 5:
        core.send_update(one.ip, update, answers.append)
        core.run(core.now + 1000.0)
        assert one.chain is not None and one.chain.committed.config.version is None
    assert set(answers) <= {CommitOutcome.NOT_YET}
    core.network.cut.clear()
    assert run_until(core, "it does not catch up", CATCH_UP_MS, one.ip) <= CATCH_UP_MS
    core.check_recovery()
