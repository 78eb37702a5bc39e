"""Long histories of the core in virtual time: hundreds of changes while one of its machines is away."""

from __future__ import annotations

import pytest

from wickspring.controlplane.replication.replica import CommitOutcome, Update
from wickspring.controlplane.replication.view import FaultTolerance
from wickspring.lab.simulation.replication.group import SimulatedGroup

CHANGES = 500
TEXT = 2000  # bytes
ENTRY = 24  # bytes of a number and its digest
EVERY_MS = 120.0
CATCH_UP_MS = 5000.0


class Busy(SimulatedGroup):
    """One operator who changes the configuration again and again, going on until he is answered."""

    changed = 0

    def change(self, ends: int) -> None:
        """Send the next change; again if it is not acknowledged in time."""
        if self.changed >= ends:
            return
        update = Update(self.changed + 1, b"%d" % (self.changed + 1) + b"." * TEXT)

        def heard(outcome: CommitOutcome) -> None:
            if outcome == CommitOutcome.COMMITTED:
                self.changed = max(self.changed, update.version)

        self.send_update(self.random.choice(sorted(self.nodes)), update, heard)
        self.schedule(EVERY_MS, lambda: self.change(ends))


def caught_up(core: SimulatedGroup, ip: str) -> bool:
    """Tell whether a machine holds what the core has acknowledged."""
    return core.nodes[ip].replica.config.version >= core.checker.highest_acknowledged


def until(core: Busy, what: str, bound_ms: float, ip: str = "", changed: int = 0) -> float:
    """Let time pass until a machine has caught up, or so much has been changed; return after how long."""
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
def test_a_machine_away_through_hundreds_of_changes(
    machines: int, tolerance: FaultTolerance, away: int, how: str
) -> None:
    core = Busy(500 + away, machines, machines, tolerance=tolerance)
    core.run(2500.0)
    core.change(20)
    until(core, "twenty changes", 30_000.0, changed=20)
    one = core.nodes[f"m{away}"]
    core.stop(one, wipe=how == "empty")
    core.change(CHANGES)
    until(core, "changes while one is away", 300_000.0, changed=CHANGES - 20)
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
    assert until(core, "it does not catch up", CATCH_UP_MS, f"m{away}") <= CATCH_UP_MS
    # It takes the whole in a few times at most, and what is changed meanwhile: not each of the changes.
    assert one.received < (16 if how == "twice ended" else 6) * (TEXT + CHANGES * ENTRY)
    until(core, "the last changes", 60_000.0, changed=CHANGES)
    core.check_recovery()
    assert core.checker.highest_acknowledged == CHANGES


@pytest.mark.parametrize("away", [0, 1, 2])
def test_a_machine_that_comes_back_cut_off_says_nothing_is_safe(away: int) -> None:
    """It has what is old on its disk; it leads nobody, hands out nothing and confirms nothing."""
    core = Busy(600 + away)
    core.run(2500.0)
    core.change(10)
    until(core, "ten changes", 30_000.0, changed=10)
    one = core.nodes[f"m{away}"]
    core.stop(one)
    core.change(60)
    until(core, "changes while one is away", 60_000.0, changed=60)
    others = {(one.ip, ip) for ip in core.nodes if ip != one.ip}
    core.network.cut = others | {(ip, there) for there, ip in others}
    core.start(one)
    answers: list[CommitOutcome] = []
    for update in (Update(), Update(10, b"other"), Update(61, b"new")) * 5:
        core.send_update(one.ip, update, answers.append)
        core.run(core.now + 1000.0)
        assert one.chain is not None and one.chain.committed.config.version == 0
    assert set(answers) <= {CommitOutcome.NOT_YET}
    core.network.cut.clear()
    assert until(core, "it does not catch up", CATCH_UP_MS, one.ip) <= CATCH_UP_MS
    core.check_recovery()
