"""Commits updates of the replicated state for callers that give up after a second."""

from __future__ import annotations

import trio

from wickspring.common.config_status import QuorumContact
from wickspring.controlplane.quorum_contact import QuorumContactObserver
from wickspring.controlplane.replication.node import ReplicationNode
from wickspring.controlplane.replication.replica import CommitOutcome, Replica, Update
from wickspring.controlplane.replication.update_submission import NOT_COMMITTED, UpdateResult

COMMIT_TIMEOUT_S = 0.85  # for one update; callers give up after a second
FIRST_RETRY_DELAY_S = 0.05  # doubled with each retry: a change of view may take long
CONTACT_POLL_S = 0.04


class UpdateService:
    """Commits updates; nothing is confirmed or refused without a quorum, before or after."""

    def __init__(self, contact: QuorumContactObserver, replication: ReplicationNode) -> None:
        self._contact = contact
        self._replication = replication

    @property
    def out_of_contact(self) -> bool:
        """Return whether a quorum has been out of reach for so long that callers should try another node."""
        return self._contact.timed_out

    @property
    def epoch(self) -> int:
        """Return the epoch of the view that this node knows."""
        return self._replication.chain.view.epoch

    async def commit(self, update: Update, read: bool = False) -> UpdateResult:
        """Have an update committed; with `read`, the result brings the state at the head of the chain.

        An update that a start or a change of view holds up is retried until `COMMIT_TIMEOUT_S`.
        """
        if self.out_of_contact:
            return NOT_COMMITTED
        delay_s = FIRST_RETRY_DELAY_S
        with trio.move_on_after(COMMIT_TIMEOUT_S):
            while True:
                await self._wait_for_contact()
                result = await self._replication.submit(update, read)
                if result.outcome is not CommitOutcome.NOT_YET:
                    await self._wait_for_contact()
                    return result
                await trio.sleep(delay_s)
                delay_s *= 2.0
        return NOT_COMMITTED

    async def read(self) -> Replica | None:
        """Return the committed state as of now; None where it cannot be read in time."""
        result = await self.commit(Update(), read=True)
        return result.replica if result.outcome is CommitOutcome.COMMITTED else None

    async def _wait_for_contact(self) -> None:
        while self._contact.observe() is QuorumContact.NONE:
            await trio.sleep(CONTACT_POLL_S)
