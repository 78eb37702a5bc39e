"""API calls to a control-plane node without a quorum: neither confirmed nor refused.

The outcome of replication is fixed by a stub.
"""

from __future__ import annotations

import pytest
import trio

from tests.support.virtual_system import (
    replace_config,
    run_with_control_plane,
)
from wickspring.common.config_status import QuorumContact
from wickspring.controlplane.api.calls import ApiResponse
from wickspring.controlplane.process import ControlPlane
from wickspring.controlplane.quorum_contact import (
    QuorumContactMonitor,
)
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.update_submission import UpdateResult


def fix_outcome(monkeypatch: pytest.MonkeyPatch, outcome: CommitOutcome, contact: list[bool]) -> None:
    """Stub replication: every update has this outcome; `contact[0]` is whether the node is in contact."""

    async def submit(node: ReplicationNode, update: Update, read: bool = False) -> UpdateResult:
        return UpdateResult(outcome, Replica() if read else None)

    monkeypatch.setattr(ReplicationNode, "submit", submit)
    monkeypatch.setattr(ReplicationNode, "in_contact", property(lambda node: contact[0]))


@pytest.mark.parametrize("outcome", [CommitOutcome.COMMITTED, CommitOutcome.CONFLICT])
@pytest.mark.parametrize("defect", [False, True])
def test_nothing_is_confirmed_or_refused_without_contact(
    monkeypatch: pytest.MonkeyPatch, outcome: CommitOutcome, defect: bool
) -> None:
    """Whatever the outcome in the chain; the seeded defect is a node that believes itself in contact."""

    async def test(control_plane: ControlPlane) -> None:
        contact = [True]
        fix_outcome(monkeypatch, outcome, contact)
        expected = 200 if outcome is CommitOutcome.COMMITTED else 409
        assert (await replace_config(control_plane, 3)).status == expected
        contact[0] = False
        if defect:
            monkeypatch.setattr(QuorumContactMonitor, "observe", lambda *_: QuorumContact.STABLE)
        started_at = trio.current_time()
        response = await replace_config(control_plane, 3)
        assert response.status == (expected if defect else 503)
        if not defect:
            assert 0.5 < trio.current_time() - started_at < 1.0  # a short gap is waited out
            await trio.sleep(1.0)
            started_at = trio.current_time()
            assert (
                await replace_config(control_plane, 3)
            ).status == 503 and trio.current_time() == started_at

    run_with_control_plane(monkeypatch, test)


def test_a_short_gap_is_waited_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(control_plane: ControlPlane) -> None:
        contact = [False]
        fix_outcome(monkeypatch, CommitOutcome.COMMITTED, contact)
        responses: list[ApiResponse] = []

        async def replace() -> None:
            responses.append(await replace_config(control_plane, 3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            await trio.sleep(0.4)
            assert not responses
            contact[0] = True
        assert responses[0].status == 200

    run_with_control_plane(monkeypatch, test)
