"""An ingress whose descriptors are all in use: clients that come then are answered.

What happened: with 256 descriptors and 400 ticket servers, one second of answers that took eight times as
long left 92 of 1,209 requests without an answer, on a machine with little else to do. Any other delay that
made a few dozen clients more connect at once did the same: beside 8 to 16 busy processes 215 to 834 were
lost with no fault at all.

Why: the bound of connections to ticket servers held back dials alone. Connections that were up and idle
stayed when clients came, until no descriptor was left: `accept` failed (EMFILE) and was tried again each 10
ms, while nothing gave a descriptor back. The requests lay unread in the kernel till their clients gave up.

What showed it, in the quiet run: 354 failed accepts, in the middle of them 180 connections to ticket
servers idle; connections accepted after up to 3.8 s in the kernel, while no turn of the event loop took
longer than 15 ms. So it was neither the processor nor the laboratory.
"""

from __future__ import annotations

from tests.lab.short_scenarios import assert_rules_kept
from wickspring.lab.experiments import scenario
from wickspring.lab.experiments.run import run


def test_clients_that_come_while_idle_connections_hold_the_descriptors_are_answered() -> None:
    result = assert_rules_kept(run(scenario.load("descriptors-slow"), 1))
    assert result.gateway["ended[made_room]"] > 0  # the bound was met
    assert result.connections_peak < 256
    assert result.served_share > 0.9
