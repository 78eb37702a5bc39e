"""Views of a fleet that agents exchange with each other."""

from __future__ import annotations

from tests.support.fleet import NOW, RULES, record
from wickspring.fleet.views import Content, Health, View


def spread(views: list[View], now: float, rounds: int, cut: tuple[str, ...] = ()) -> float:
    for _ in range(rounds):
        now += RULES.gossip_s
        for view in views:
            if view.agent in cut:
                continue
            own = view.entries[view.agent].content
            assert own is not None
            view.tick(own)
            for name in view.peers():
                other = next(one for one in views if one.agent == name)
                if other.agent in cut:
                    continue
                news = other.delta(view.digest())
                view.hear(news, now)
                other.hear(view.requested_entries(news.requested), now)
    return now


def test_a_change_reaches_all_and_a_dead_agent_is_told_from_a_slow_one() -> None:
    names = [f"a{n}" for n in range(20)]
    views = [View(name, names, NOW, RULES, seed) for seed, name in enumerate(names)]
    assert not views[0].quorum(NOW)
    views[7].tick(Content((record("n0"),)))
    now = spread(views, NOW, 8)
    assert all("n0" in view.records() for view in views)
    assert all(view.quorum(now) for view in views)
    before = views[0].records()
    now = spread(views, now, 20, cut=("a3",))
    assert views[0].health("a3", now) is Health.DEAD
    assert views[0].health("a4", now) is Health.ALIVE
    assert views[0].dead(now) == {"a3"}
    assert before["n0"].name == "n0"  # a reader keeps the whole that it has
    for turn in range(30):
        now = spread(views, now, 1, cut=() if turn % 4 == 0 else ("a5",))
    assert views[0].health("a5", now) in (Health.SLOW, Health.SUSPECT, Health.ALIVE)
    now += 60.0  # cut off itself: it hears nobody
    assert not views[0].quorum(now)


def test_older_words_are_passed_over_and_a_new_life_outdoes_an_old_one() -> None:
    one, other = View("a0", ["a0", "a1"], NOW, RULES), View("a1", ["a0", "a1"], NOW, RULES)
    other.tick(Content((record("n0"),)))
    old = other.delta(one.digest())
    one.hear(old, NOW)
    other.tick(Content(()))
    one.hear(other.delta(one.digest()), NOW + 1.0)
    assert not one.records()
    one.hear(old, NOW + 2.0)
    assert not one.records()
    again = View("a1", ["a0", "a1"], NOW + 9.0, RULES)
    again.tick(Content((record("n1"),)))
    one.hear(again.delta(one.digest()), NOW + 9.0)
    assert list(one.records()) == ["n1"]
