"""How likely a request is to be lost on a connection, learnt from how others fared.

Two things can go wrong with a connection that has been idle. It may be dead already and say so with the next
request alone (`direct`: the share of requests that were lost, by how long the connection had been idle). Or
its server may just be closing it: the close is on its way, or decided and not carried out yet (`closing`: the
hazard of a close by idle time, as in a life table, over the next `RACE_MS`). Age works like idle time, but
only for closes that idle time does not explain: else every server that closes idle links would seem to close
old ones too, since old ones have been idle most often.

How wide that race is differs from site to site: many servers close cleanly, and a request crosses the close
on the wire alone. So what the life table foretells is held against what was lost (`Race`), and scaled by it.

Each server has figures of its own, which count for more than the site's as they grow; all fade.
Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wickspring import interface as api

BINS = 16
FIRST_BIN_MS = 8.0  # the first bin's width; each further one is twice as wide as all before it
AGE_FIRST_MS = 250.0
RACE_MS = 40.0  # between a server's decision to close and the time that it shows here, at most
PRIOR = 0.002  # chance of a loss where nothing is known, for short idle times
LONG_MS, LONG_PRIOR = 4096.0, 0.02  # the same for idle times from here on: few are seen, many links are cut
PRIOR_WEIGHT = 4.0  # requests that the prior counts for against the site's figures
SITE_WEIGHT = 6.0  # requests that the site's figures count for against a server's own
FADE_MS = 20_000.0  # time in which what was learnt falls to 1/e
QUIET = 0.05  # faded closes and losses under which there is nothing to be careful of
RACE_WEIGHT = 1.0  # foretold losses that the first guess (all of them come true) counts for
RACE_LEAST = 0.01  # foretold risk from which a request says something of the race


def bin_of(time: float, first: float = FIRST_BIN_MS) -> int:
    """Return the bin of an idle time or an age."""
    return min(BINS - 1, int(max(time, 0.0) / first).bit_length())


def edges(index: int, first: float = FIRST_BIN_MS) -> tuple[float, float]:
    """Return where a bin begins and ends; the last one never ends."""
    low = 0.0 if index == 0 else first * 2.0 ** (index - 1)
    return low, math.inf if index == BINS - 1 else first * 2.0**index


def _zeros() -> list[float]:
    return [0.0] * BINS


@dataclass(slots=True)
class Curve:
    """Counts by idle time: requests and those lost; idle spells that ended and those closed."""

    written: list[float] = field(default_factory=_zeros)
    lost: list[float] = field(default_factory=_zeros)
    ended: list[float] = field(default_factory=_zeros)
    closed: list[float] = field(default_factory=_zeros)
    closes: float = 0.0  # sum of `closed`: while there are none, much need not be worked out

    def reached(self, index: int) -> float:
        """Return how many spells came as far as a bin."""
        return sum(self.ended[index:])

    def fade(self, keep: float) -> None:
        """Keep a share of everything."""
        for figures in (self.written, self.lost, self.ended, self.closed):
            for index, figure in enumerate(figures):
                if figure:
                    figures[index] = figure * keep if figure > 1e-3 else 0.0
        self.closes = sum(self.closed)


@dataclass(slots=True)
class Ages:
    """Closes by age, beyond what idle time explains, and the idle milliseconds spent at that age."""

    excess: list[float] = field(default_factory=_zeros)
    spent: list[float] = field(default_factory=_zeros)

    def fade(self, keep: float) -> None:
        """Keep a share of everything."""
        self.excess = [figure * keep for figure in self.excess]
        self.spent = [figure * keep for figure in self.spent]


@dataclass(slots=True)
class Race:
    """Losses that the closes seen foretold, and those of them that came true."""

    foretold: float = 0.0
    true: float = 0.0

    def share(self, first: float) -> float:
        """Return the share that comes true, from a first guess."""
        return (self.true + RACE_WEIGHT * first) / (self.foretold + RACE_WEIGHT)

    def fade(self, keep: float) -> None:
        """Keep a share of everything."""
        self.foretold, self.true = self.foretold * keep, self.true * keep


@dataclass(slots=True)
class Own:
    """One server's figures; connections that have carried a request, and those that have not."""

    used: Curve = field(default_factory=Curve)
    unused: Curve = field(default_factory=Curve)
    ages: Ages = field(default_factory=Ages)
    race: Race = field(default_factory=Race)
    fresh: float = 0.0  # requests on connections that had just come up,
    fresh_lost: float = 0.0  # and those of them that were lost: nothing better can be had

    def curve(self, unused: bool) -> Curve:
        """Return the curve of either kind of connection."""
        return self.unused if unused else self.used


class Hazards:
    """What is known of all servers."""

    def __init__(self) -> None:
        self.site = Own()
        self.servers: dict[api.ServerId, Own] = {}
        self.bad = 0.0  # closes and losses of late: while there are none, little need be worked out
        self._faded_at: float | None = None

    def _noted(self, server: api.ServerId, bad: bool) -> tuple[Own, ...]:
        """Return whose figures an event goes to: a server has some of its own from its first bad one on.

        At a thousand servers figures for all of them would be megabytes, and most servers do no harm.
        """
        self.bad += bad
        own = self.servers.get(server)
        if own is None:
            if not bad:
                return (self.site,)
            own = self.servers[server] = Own()
        return self.site, own

    # What is seen.

    def spell(self, server: api.ServerId, idle: float, age: float, unused: bool, closed: bool) -> None:
        """Note the end of an idle spell, by a request or (`closed`) by the server."""
        last, at = bin_of(idle), bin_of(age, AGE_FIRST_MS)
        expected = self._closed_by(server, idle, unused) if self.site.curve(unused).closes else 0.0
        for own in self._noted(server, closed):
            curve = own.curve(unused)
            curve.ended[last] += 1.0
            if closed:
                curve.closed[last] += 1.0
                curve.closes += 1.0
            own.ages.excess[at] += closed - expected
            own.ages.spent[at] += idle

    def begun(self, server: api.ServerId, idle: float, age: float, unused: bool) -> float:
        """Note the end of an idle spell by a request; return the foretold risk for it."""
        if self.bad < QUIET:  # as on nearly every day, for nearly every request
            site = self.site
            (site.unused if unused else site.used).ended[bin_of(idle)] += 1.0
            site.ages.spent[bin_of(age, AGE_FIRST_MS)] += idle
            return 0.0
        foretold = self.foretold(server, idle, age, unused)
        self.spell(server, idle, age, unused, closed=False)
        return foretold

    def fared(
        self, server: api.ServerId, idle: float, unused: bool, lost: bool, foretold: float = 0.0
    ) -> None:
        """Note how a request fared that was written after so long an idle spell, at this foretold risk."""
        if self.bad < QUIET and not lost:
            (self.site.unused if unused else self.site.used).written[bin_of(idle)] += 1.0
            return
        index = bin_of(idle)
        for own in self._noted(server, lost):
            curve = own.curve(unused)
            curve.written[index] += 1.0
            curve.lost[index] += lost
            if foretold > RACE_LEAST:
                own.race.foretold += foretold
                own.race.true += lost

    def fared_fresh(self, server: api.ServerId, lost: bool) -> None:
        """Note how a request fared on a connection that had just come up."""
        for own in self._noted(server, lost):
            own.fresh += 1.0
            own.fresh_lost += lost

    def forget(self, server: api.ServerId) -> None:
        """Drop a server's figures: it has gone, or begun anew."""
        self.servers.pop(server, None)

    def fade(self, now: float) -> None:
        """Let what was learnt fade with time, so that what is not trusted is tried again."""
        passed = 0.0 if self._faded_at is None else now - self._faded_at
        self._faded_at = now
        if passed <= 0.0:
            return
        keep = math.exp(-passed / FADE_MS)
        self.bad *= keep
        if self.bad < QUIET:
            self.servers.clear()  # what is left of them says nothing
        for own in (self.site, *self.servers.values()):
            own.used.fade(keep)
            own.unused.fade(keep)
            own.ages.fade(keep)
            own.race.fade(keep)
            own.fresh, own.fresh_lost = own.fresh * keep, own.fresh_lost * keep

    # What follows.

    def risk(self, server: api.ServerId, idle: float, age: float, unused: bool) -> float:
        """Return the chance that a request written now is lost, beyond that on a fresh connection."""
        if self.bad < QUIET and idle < LONG_MS:
            return PRIOR
        own, site = self.servers.get(server), self.site.curve(unused)
        curve = own.curve(unused) if own is not None else None
        index = bin_of(idle)
        prior = PRIOR if idle < LONG_MS else LONG_PRIOR
        chance = (site.lost[index] + prior * PRIOR_WEIGHT) / (site.written[index] + PRIOR_WEIGHT)
        seen = site.written[index]
        if own is not None and curve is not None:
            chance = (curve.lost[index] + chance * SITE_WEIGHT) / (curve.written[index] + SITE_WEIGHT)
            seen = curve.written[index] + SITE_WEIGHT
        usual = self._usual(own)
        if usual > PRIOR:  # else a server that loses requests anyhow would be dialled for each of them
            chance -= usual + math.sqrt(usual * (1.0 - usual) / (seen + 1.0))  # less what may be chance
        closing = self.foretold(server, idle, age, unused)
        if closing:
            share = self.site.race.share(1.0)
            closing *= min(1.0, own.race.share(share) if own is not None else share)
        return max(chance, closing, 0.0)

    def _usual(self, own: Own | None) -> float:
        chance = self.site.fresh_lost / (self.site.fresh + PRIOR_WEIGHT)
        if own is not None:
            chance = (own.fresh_lost + chance * SITE_WEIGHT) / (own.fresh + SITE_WEIGHT)
        return chance

    def foretold(self, server: api.ServerId, idle: float, age: float, unused: bool) -> float:
        """Return the chance of a close by the server within `RACE_MS`, from the closes seen."""
        site = self.site.curve(unused)
        if not site.closes and not self.site.used.closes:
            return 0.0
        own = self.servers.get(server)
        curve = own.curve(unused) if own is not None else None
        return max(self._closing(site, curve, bin_of(idle), idle), self._by_age(own, age))

    def _hazard(self, site: Curve, curve: Curve | None, index: int) -> float:
        chance = site.closed[index] / (site.reached(index) + PRIOR_WEIGHT)
        if curve is not None:
            chance = (curve.closed[index] + chance * SITE_WEIGHT) / (curve.reached(index) + SITE_WEIGHT)
        return min(chance, 1.0)

    def _closing(self, site: Curve, curve: Curve | None, index: int, idle: float) -> float:
        """Return the chance of a close within `RACE_MS`, given so long an idle time."""
        open_still, end = 1.0, idle + RACE_MS
        while index < BINS:
            low, high = edges(index)
            share = (min(end, high) - max(idle, low)) / (high - low) if high < math.inf else RACE_MS / low
            if site.closed[index]:
                open_still *= 1.0 - self._hazard(site, curve, index) * share
            if end <= high:
                break
            index += 1
        return 1.0 - open_still

    def _closed_by(self, server: api.ServerId, idle: float, unused: bool) -> float:
        """Return the chance that a spell is over by a close before so long an idle time."""
        site, own = self.site.curve(unused), self.servers.get(server)
        curve, open_still = (own.curve(unused) if own is not None else None), 1.0
        for index in range(bin_of(idle) + 1):
            if site.closed[index]:
                low, high = edges(index)
                share = min(1.0, (idle - low) / (high - low)) if high < math.inf else 1.0
                open_still *= 1.0 - self._hazard(site, curve, index) * share
        return 1.0 - open_still

    def _by_age(self, own: Own | None, age: float) -> float:
        index, chance = bin_of(age, AGE_FIRST_MS), 0.0
        for ages in (self.site.ages, own.ages if own is not None else None):
            # Two closes more than expected may be chance; a server that ends old connections shows more.
            if ages is not None and ages.excess[index] > 2.0 and ages.spent[index] > 0.0:
                chance = max(chance, (ages.excess[index] - 2.0) / ages.spent[index] * RACE_MS)
        return min(chance, 1.0)
