"""A planned end of a data plane, while its clients use their connections until it is gone."""

from __future__ import annotations

from collections import Counter

from wickspring.lab.simulation.request_path.planned_end import ClientBehaviour, PlannedEnd
from wickspring.net.unanswered import EndReason


def test_each_request_that_ends_unanswered_is_counted_with_its_reason() -> None:
    counts: Counter[EndReason] = Counter()
    unanswered = 0
    for seed in range(30):
        simulation = PlannedEnd(seed)
        simulation.run()
        counts.update(simulation.data_plane.unanswered.counts)
        unanswered += sum(request.is_read and not request.status for request in simulation.sent)
    assert sum(counts.values()) == unanswered > 0
    assert set(counts) <= {EndReason.PROCESS_ENDED, EndReason.DRAINED}


def test_a_response_that_a_slow_reader_does_not_get_whole_is_counted() -> None:
    simulation = PlannedEnd(1, behaviours=(ClientBehaviour.SLOW_READER,))
    simulation.run()
    cut = [request for request in simulation.sent if request.is_read and not request.status]
    assert sum(simulation.data_plane.unanswered.counts.values()) == len(cut)
