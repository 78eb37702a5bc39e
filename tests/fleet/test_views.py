"""Views of a fleet that agents exchange with each other."""

from __future__ import annotations

from tests.support.fleet import NOW, RULES, record
from wickspring.fleet.views import AgentContent, FleetView, Health


def gossip(views: list[FleetView], now: float, rounds: int, cut: tuple[str, ...] = ()) -> float:
    for _ in range(rounds):
        now += RULES.gossip_s
        for view in views:
            if view.agent in cut:
                continue
            own = view.entries[view.agent].content
            assert own is not None
            view.publish(own)
            for name in view.choose_peers():
                other = next(one for one in views if one.agent == name)
                if other.agent in cut:
                    continue
                delta = other.delta(view.digest())
                view.receive(delta, now)
                other.receive(view.requested_entries(delta.requested), now)
    return now


def test_changes_reach_all_views_and_dead_agents_are_distinguished_from_slow_ones() -> None:
    names = [f"a{n}" for n in range(20)]
    views = [FleetView(name, names, NOW, RULES, seed) for seed, name in enumerate(names)]
    assert not views[0].has_quorum(NOW)
    views[7].publish(AgentContent((record("n0"),)))
    now = gossip(views, NOW, 8)
    assert all("n0" in view.records() for view in views)
    assert all(view.has_quorum(now) for view in views)
    before = views[0].records()
    now = gossip(views, now, 20, cut=("a3",))
    assert views[0].health("a3", now) is Health.DEAD
    assert views[0].health("a4", now) is Health.ALIVE
    assert views[0].dead_agents(now) == {"a3"}
    assert before["n0"].name == "n0"  # a reader keeps the map that it has
    for turn in range(30):
        now = gossip(views, now, 1, cut=() if turn % 4 == 0 else ("a5",))
    assert views[0].health("a5", now) in (Health.SLOW, Health.SUSPECT, Health.ALIVE)
    now += 60.0  # isolated itself: it receives no gossip
    assert not views[0].has_quorum(now)


def test_older_entries_are_ignored_and_a_later_incarnation_supersedes_an_earlier_one() -> None:
    one, other = FleetView("a0", ["a0", "a1"], NOW, RULES), FleetView("a1", ["a0", "a1"], NOW, RULES)
    other.publish(AgentContent((record("n0"),)))
    old = other.delta(one.digest())
    one.receive(old, NOW)
    other.publish(AgentContent(()))
    one.receive(other.delta(one.digest()), NOW + 1.0)
    assert not one.records()
    one.receive(old, NOW + 2.0)
    assert not one.records()
    again = FleetView("a1", ["a0", "a1"], NOW + 9.0, RULES)
    again.publish(AgentContent((record("n1"),)))
    one.receive(again.delta(one.digest()), NOW + 9.0)
    assert list(one.records()) == ["n1"]
