"""Pauses between tries at something that a whole fleet shares. Free of I/O and clock."""

from __future__ import annotations

from random import Random

FLEET_MOST_S, ALONE_MOST_S = 4.0, 1.0  # the longest pause, in spreads; that of a gateway alone, in s


def jittered(pause: float, random: Random) -> float:
    """Return between half of a pause and all of it, so that no two gateways keep step."""
    return pause * (0.5 + 0.5 * random.random())


class Backoff:
    """Pauses in seconds that double with each failure, each cut by chance.

    Bounds are sized for the fleet: at its rate, all come once in `gateways / rate` seconds, a spread. Who has
    not been turned away yet waits by chance for `prompt` at most, however many the others are: what could
    have been heard meanwhile counts as heard.
    """

    def __init__(
        self, random: Random, gateways: int, rate: float, first: float, most: float, prompt: float
    ) -> None:
        self._random, self._first, self._prompt = random, first, prompt
        self._spread = max(1, gateways) / rate
        self._most = min(most, max(ALONE_MOST_S, FLEET_MOST_S * self._spread))
        self._pause = first

    def failed(self, busy: bool = False) -> float:
        """Return the pause after a failure; who was turned away for being one of too many waits longer."""
        if busy:
            self._pause = max(self._pause, min(self._spread, self._most))
        pause, self._pause = self._pause, min(2.0 * self._pause, self._most)
        return jittered(pause, self._random)

    def ended(self) -> float:
        """Return the pause after something that worked has ended, for the others too perhaps."""
        self._pause = self._first
        return min(self._first, self._prompt) + self.start()

    def start(self) -> float:
        """Return the pause before the first try: others may be starting at this moment."""
        return min(self._spread, self._prompt) * self._random.random()
