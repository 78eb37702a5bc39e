"""Estimates of how likely a request is to be lost on a connection, from what became of others. No I/O.

Two things can go wrong with a connection that has been idle. It may be dead already and say so with the next
request alone: its risk is the share of requests that were lost, by how long their connections had been idle.
Or its server may just be closing it: the close is on its way, or decided and not carried out yet. RFC 9112,
section 9.5, leaves that race to the client; its risk is the hazard of a close by idle time, as in a life
table, over the next `RACE_MS`. Age works like idle time, but only for closes that idle time does not explain:
else every server that closes idle connections would seem to close old ones too, since old ones have been idle
most often.

How wide that race is differs from site to site: many servers close cleanly, and a request crosses the close
on the wire alone. So what the life table predicts is compared with what was lost (`CloseRace`), and scaled by
it.

Each server has figures of its own, which count for more than the site's as they grow; all decay.
Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from wickspring import interface as api

BINS = 16
FIRST_BIN_MS = 8.0  # the first bin's width; each further one is twice as wide as all before it
AGE_FIRST_MS = 250.0  # the same for ages
RACE_MS = 40.0  # between a server's decision to close and the time that it shows here, at most
PRIOR_RISK = 0.002  # chance of a loss where nothing is known, for short idle times
LONG_IDLE_MS = 4096.0
LONG_IDLE_PRIOR = 0.02  # the same for idle times from `LONG_IDLE_MS` on: few are seen, many are cut
PRIOR_WEIGHT = 4.0  # requests that the prior counts for against the site's figures
SITE_WEIGHT = 6.0  # requests that the site's figures count for against a server's own
MEMORY_MS = 20_000.0  # time in which all figures decay to 1/e
NEGLIGIBLE_LOSSES = 0.05  # decayed closes and losses under which there is nothing to be careful of
NEGLIGIBLE_FIGURE = 1e-3  # a smaller one is dropped
CHANCE_CLOSES = 2.0  # closes at an age beyond the expected ones that may be chance
RACE_WEIGHT = 1.0  # predicted losses that the first guess (all of them come true) counts for
MIN_PREDICTED_RISK = 0.01  # predicted risk from which a request says something of the race


def bin_of(time_ms: float, first_bin_ms: float = FIRST_BIN_MS) -> int:
    """Return the bin of an idle time or an age."""
    return min(BINS - 1, int(max(time_ms, 0.0) / first_bin_ms).bit_length())


def bin_edges(index: int, first_bin_ms: float = FIRST_BIN_MS) -> tuple[float, float]:
    """Return where a bin begins and ends; the last one never ends."""
    low = 0.0 if index == 0 else first_bin_ms * 2.0 ** (index - 1)
    return low, math.inf if index == BINS - 1 else first_bin_ms * 2.0**index


def _zeros() -> list[float]:
    return [0.0] * BINS


@dataclass(slots=True)
class IdleCurve:
    """Counts by idle time: requests and those lost; idle periods that ended, and those ended by a close."""

    written: list[float] = field(default_factory=_zeros)
    lost: list[float] = field(default_factory=_zeros)
    ended: list[float] = field(default_factory=_zeros)
    closed: list[float] = field(default_factory=_zeros)
    closes: float = 0.0  # sum of `closed`: while there are none, much need not be worked out

    def reached(self, index: int) -> float:
        """Return how many idle periods lasted as long as a bin."""
        return sum(self.ended[index:])

    def decay(self, keep: float) -> None:
        """Keep a share of everything."""
        for figures in (self.written, self.lost, self.ended, self.closed):
            for index, figure in enumerate(figures):
                if figure:
                    figures[index] = figure * keep if figure > NEGLIGIBLE_FIGURE else 0.0
        self.closes = sum(self.closed)


@dataclass(slots=True)
class AgeCurve:
    """Closes by age, beyond what idle time explains, and the idle milliseconds spent at that age."""

    excess: list[float] = field(default_factory=_zeros)
    spent: list[float] = field(default_factory=_zeros)

    def decay(self, keep: float) -> None:
        """Keep a share of everything."""
        self.excess = [figure * keep for figure in self.excess]
        self.spent = [figure * keep for figure in self.spent]


@dataclass(slots=True)
class CloseRace:
    """Losses that the closes seen predicted, and those of them that came true."""

    predicted: float = 0.0
    confirmed: float = 0.0

    def confirmed_share(self, first_guess: float) -> float:
        """Return the share that comes true, from a first guess."""
        return (self.confirmed + RACE_WEIGHT * first_guess) / (self.predicted + RACE_WEIGHT)

    def decay(self, keep: float) -> None:
        """Keep a share of everything."""
        self.predicted, self.confirmed = self.predicted * keep, self.confirmed * keep


@dataclass(slots=True)
class ServerFigures:
    """One server's figures; connections that have carried a request, and those that have not."""

    used: IdleCurve = field(default_factory=IdleCurve)
    unused: IdleCurve = field(default_factory=IdleCurve)
    ages: AgeCurve = field(default_factory=AgeCurve)
    race: CloseRace = field(default_factory=CloseRace)
    fresh_requests: float = 0.0  # requests on connections that had just come up,
    fresh_losses: float = 0.0  # and those of them that were lost: nothing better can be had

    def curve(self, unused: bool) -> IdleCurve:
        """Return the curve of either kind of connection."""
        return self.unused if unused else self.used


class Hazards:
    """The figures of all servers, and the estimates from them."""

    def __init__(self) -> None:
        self.site = ServerFigures()
        self.servers: dict[api.ServerId, ServerFigures] = {}
        self.recent_losses = 0.0  # closes and losses of late: while there are none, little need be worked out
        self._decayed_at: float | None = None

    def _figures_for(self, server: api.ServerId, harmful: bool) -> tuple[ServerFigures, ...]:
        """Return whose figures an event goes to: a server has its own from the first harmful one on.

        At a thousand servers figures for all of them would be megabytes, and most servers do no harm.
        """
        self.recent_losses += harmful
        figures = self.servers.get(server)
        if figures is None:
            if not harmful:
                return (self.site,)
            figures = self.servers[server] = ServerFigures()
        return self.site, figures

    # Observations.

    def record_idle_end(
        self, server: api.ServerId, idle_ms: float, age_ms: float, unused: bool, closed: bool
    ) -> None:
        """Record the end of an idle period, by a request or (`closed`) by the server."""
        last, at = bin_of(idle_ms), bin_of(age_ms, AGE_FIRST_MS)
        expected = self._closed_before(server, idle_ms, unused) if self.site.curve(unused).closes else 0.0
        for figures in self._figures_for(server, closed):
            curve = figures.curve(unused)
            curve.ended[last] += 1.0
            if closed:
                curve.closed[last] += 1.0
                curve.closes += 1.0
            figures.ages.excess[at] += closed - expected
            figures.ages.spent[at] += idle_ms

    def record_reuse(self, server: api.ServerId, idle_ms: float, age_ms: float, unused: bool) -> float:
        """Record the end of an idle period by a request; return the predicted risk for it."""
        if self.recent_losses < NEGLIGIBLE_LOSSES:  # as on nearly every day, for nearly every request
            site = self.site
            (site.unused if unused else site.used).ended[bin_of(idle_ms)] += 1.0
            site.ages.spent[bin_of(age_ms, AGE_FIRST_MS)] += idle_ms
            return 0.0
        predicted = self.closing_risk(server, idle_ms, age_ms, unused)
        self.record_idle_end(server, idle_ms, age_ms, unused, closed=False)
        return predicted

    def record_outcome(
        self, server: api.ServerId, idle_ms: float, unused: bool, lost: bool, predicted: float = 0.0
    ) -> None:
        """Record the outcome of a request written after so long an idle time, at this predicted risk."""
        if self.recent_losses < NEGLIGIBLE_LOSSES and not lost:
            (self.site.unused if unused else self.site.used).written[bin_of(idle_ms)] += 1.0
            return
        index = bin_of(idle_ms)
        for figures in self._figures_for(server, lost):
            curve = figures.curve(unused)
            curve.written[index] += 1.0
            curve.lost[index] += lost
            if predicted > MIN_PREDICTED_RISK:
                figures.race.predicted += predicted
                figures.race.confirmed += lost

    def record_fresh_outcome(self, server: api.ServerId, lost: bool) -> None:
        """Record the outcome of a request on a connection that had just come up."""
        for figures in self._figures_for(server, lost):
            figures.fresh_requests += 1.0
            figures.fresh_losses += lost

    def forget(self, server: api.ServerId) -> None:
        """Drop a server's figures: it is gone, or has restarted."""
        self.servers.pop(server, None)

    def decay(self, now: float) -> None:
        """Let all figures decay with time, so that what is not trusted is tried again."""
        passed = 0.0 if self._decayed_at is None else now - self._decayed_at
        self._decayed_at = now
        if passed <= 0.0:
            return
        keep = math.exp(-passed / MEMORY_MS)
        self.recent_losses *= keep
        if self.recent_losses < NEGLIGIBLE_LOSSES:
            self.servers.clear()  # what is left of them says nothing
        for figures in (self.site, *self.servers.values()):
            figures.used.decay(keep)
            figures.unused.decay(keep)
            figures.ages.decay(keep)
            figures.race.decay(keep)
            figures.fresh_requests *= keep
            figures.fresh_losses *= keep

    # Estimates.

    def risk(self, server: api.ServerId, idle_ms: float, age_ms: float, unused: bool) -> float:
        """Return the chance that a request written now is lost, beyond that on a fresh connection."""
        if self.recent_losses < NEGLIGIBLE_LOSSES and idle_ms < LONG_IDLE_MS:
            return PRIOR_RISK
        figures, site = self.servers.get(server), self.site.curve(unused)
        curve = figures.curve(unused) if figures is not None else None
        index = bin_of(idle_ms)
        prior = PRIOR_RISK if idle_ms < LONG_IDLE_MS else LONG_IDLE_PRIOR
        chance = (site.lost[index] + prior * PRIOR_WEIGHT) / (site.written[index] + PRIOR_WEIGHT)
        seen = site.written[index]
        if figures is not None and curve is not None:
            chance = (curve.lost[index] + chance * SITE_WEIGHT) / (curve.written[index] + SITE_WEIGHT)
            seen = curve.written[index] + SITE_WEIGHT
        baseline = self._baseline_risk(figures)
        if (
            baseline > PRIOR_RISK
        ):  # else a server that loses requests anyhow would be dialled for each of them
            chance -= baseline + math.sqrt(
                baseline * (1.0 - baseline) / (seen + 1.0)
            )  # less what may be chance
        closing = self.closing_risk(server, idle_ms, age_ms, unused)
        if closing:
            share = self.site.race.confirmed_share(1.0)
            closing *= min(1.0, figures.race.confirmed_share(share) if figures is not None else share)
        return max(chance, closing, 0.0)

    def _baseline_risk(self, figures: ServerFigures | None) -> float:
        chance = self.site.fresh_losses / (self.site.fresh_requests + PRIOR_WEIGHT)
        if figures is not None:
            chance = (figures.fresh_losses + chance * SITE_WEIGHT) / (figures.fresh_requests + SITE_WEIGHT)
        return chance

    def closing_risk(self, server: api.ServerId, idle_ms: float, age_ms: float, unused: bool) -> float:
        """Return the chance of a close by the server within `RACE_MS`, from the closes seen."""
        site = self.site.curve(unused)
        if not site.closes and not self.site.used.closes:
            return 0.0
        figures = self.servers.get(server)
        curve = figures.curve(unused) if figures is not None else None
        return max(
            self._closing_by_idle_time(site, curve, bin_of(idle_ms), idle_ms),
            self._closing_by_age(figures, age_ms),
        )

    def _hazard(self, site: IdleCurve, curve: IdleCurve | None, index: int) -> float:
        chance = site.closed[index] / (site.reached(index) + PRIOR_WEIGHT)
        if curve is not None:
            chance = (curve.closed[index] + chance * SITE_WEIGHT) / (curve.reached(index) + SITE_WEIGHT)
        return min(chance, 1.0)

    def _closing_by_idle_time(
        self, site: IdleCurve, curve: IdleCurve | None, index: int, idle_ms: float
    ) -> float:
        """Return the chance of a close within `RACE_MS`, given so long an idle time."""
        open_still, end = 1.0, idle_ms + RACE_MS
        while index < BINS:
            low, high = bin_edges(index)
            share = (min(end, high) - max(idle_ms, low)) / (high - low) if high < math.inf else RACE_MS / low
            if site.closed[index]:
                open_still *= 1.0 - self._hazard(site, curve, index) * share
            if end <= high:
                break
            index += 1
        return 1.0 - open_still

    def _closed_before(self, server: api.ServerId, idle_ms: float, unused: bool) -> float:
        """Return the chance that an idle period ends by a close before so long an idle time."""
        site, figures = self.site.curve(unused), self.servers.get(server)
        curve, open_still = (figures.curve(unused) if figures is not None else None), 1.0
        for index in range(bin_of(idle_ms) + 1):
            if site.closed[index]:
                low, high = bin_edges(index)
                share = min(1.0, (idle_ms - low) / (high - low)) if high < math.inf else 1.0
                open_still *= 1.0 - self._hazard(site, curve, index) * share
        return 1.0 - open_still

    def _closing_by_age(self, figures: ServerFigures | None, age_ms: float) -> float:
        index, chance = bin_of(age_ms, AGE_FIRST_MS), 0.0
        for ages in (self.site.ages, figures.ages if figures is not None else None):
            # A few closes more than expected may be chance; a server that ends old connections shows more.
            if ages is not None and ages.excess[index] > CHANCE_CLOSES and ages.spent[index] > 0.0:
                chance = max(chance, (ages.excess[index] - CHANCE_CLOSES) / ages.spent[index] * RACE_MS)
        return min(chance, 1.0)
