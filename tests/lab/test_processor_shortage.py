"""An ingress that gets less processor time than its requests need refuses early and leaves none unanswered.

What happened: beside other busy processes, or stopped for four fifths of each 50 ms as here, an ingress
took every request it read and answered many of them after their clients had given up: 54 of 1,794 were lost
and 40 late, up to 834 of 1,209 beside 16 busy processes and two more runs.

Why: nothing bounded how much work was begun. Each turn of the event loop took longer, each step of a
request waits for a turn, and a client's time counted from the reading, however long the request had lain
unread.

What showed it: `taken` was the number of all requests and `withdrawn` that of the lost ones, so all had
been read; the laboratory's loop never took more than 15 ms for a turn, and no response lay unread for over
4 ms.
"""

from __future__ import annotations

from tests.lab.short_scenarios import assert_rules_kept
from wickspring.lab.experiments import scenario
from wickspring.lab.experiments.run import run


def test_requests_beyond_the_processor_time_are_refused_and_none_is_lost() -> None:
    result = assert_rules_kept(run(scenario.load("short-of-processor"), 1))
    assert result.failed == 0
    assert result.refused > 0
    assert result.served > 0.5 * result.requests  # as many come outside of the shortage
