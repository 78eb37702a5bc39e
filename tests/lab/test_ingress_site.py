"""A site in virtual time: ingresses with real pools, and servers without sockets."""

from __future__ import annotations

from typing import Any

import msgspec

from tests.lab.short_scenarios import assert_rules_kept, load_short
from wickspring.lab.experiments import scenario
from wickspring.lab.simulation.ingress_site.site import VirtualSite
from wickspring.lab.simulation.ingress_site.site import run as run_virtual
from wickspring.lab.traffic import schedule


def small_virtual_site(**changes: Any) -> scenario.Scenario:
    """Return the storm of all connections in a site of 8 ingresses and 40 servers."""
    one = load_short("large-storm", 2.0)
    servers = msgspec.structs.replace(one.servers, count=40)
    ingresses = msgspec.structs.replace(one.ingresses, count=8)
    clients = msgspec.structs.replace(one.clients, rate=480.0, firms=100)
    virtual = msgspec.structs.replace(one.virtual, subset=20)
    return msgspec.structs.replace(
        one, servers=servers, ingresses=ingresses, clients=clients, virtual=virtual, **changes
    )


def test_a_seed_gives_the_same_run_twice() -> None:
    first, second = run_virtual(small_virtual_site(), 1), run_virtual(small_virtual_site(), 1)
    for result in (first, second):
        result.cpu_ms_per_request = result.peak_rss_mb = 0.0
    assert first == second
    assert_rules_kept(first)
    assert first.instances == 8
    assert first.dials > 40


def test_each_ingress_knows_its_subset_and_each_server_has_as_many_ingresses() -> None:
    site = VirtualSite(small_virtual_site(), 1, schedule.draw_script(small_virtual_site(), 1))
    subsets = [set(ingress.reducer.entries) for ingress in site.ingresses]
    assert {len(subset) for subset in subsets} == {20}
    ingresses_per_server = [sum(server in subset for subset in subsets) for server in site.servers]
    assert set(ingresses_per_server) == {4}
