"""Suspicions: how often each is piggybacked, and how long it can be refuted."""

from __future__ import annotations

import pytest

from wickspring.membership.suspicions import (
    MAX_PENDING_SUSPICIONS,
    MIN_SUSPICION_ROUNDS,
    PendingSuspicions,
    Suspicion,
    timeout_rounds,
)


def suspicion(name: str) -> Suspicion:
    return Suspicion(name, 1.0, 7, "accuser")


@pytest.mark.parametrize(("member_count", "sends"), [(0, 1), (2, 2), (6, 3), (100, 7)])
def test_a_suspicion_is_sent_about_log2_of_the_members_times(member_count: int, sends: int) -> None:
    pending = PendingSuspicions()
    pending.add(suspicion("a"), member_count)
    taken = [pending.take(1) for _ in range(sends + 1)]
    assert taken == [[suspicion("a")]] * sends + [[]]


def test_a_refuted_suspicion_is_not_sent_and_the_oldest_are_dropped_above_the_limit() -> None:
    pending = PendingSuspicions()
    names = [f"m{number}" for number in range(MAX_PENDING_SUSPICIONS + 2)]
    for name in names:
        pending.add(suspicion(name), 100)
    pending.discard(names[-1])
    pending.discard("unknown")
    assert [one.name for one in pending.take(len(names))] == names[2:-1]


def test_confirmations_shorten_the_timeout_and_poor_local_health_lengthens_it() -> None:
    assert timeout_rounds(1, 1, 0) == 2 * MIN_SUSPICION_ROUNDS
    alone = timeout_rounds(10, 1, 0)
    assert timeout_rounds(10, 4, 0) < timeout_rounds(10, 2, 0) < alone == timeout_rounds(10, 0, 0)
    assert timeout_rounds(10, 1, 3) == 4 * alone and timeout_rounds(1000, 1, 0) > alone
