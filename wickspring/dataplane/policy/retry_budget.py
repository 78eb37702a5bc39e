"""The budget of further tries: what all pilots together may send to a service beyond each request's first.

Each pilot earns a share of its own first tries, and has an even part of the rule's slack; so the sum over all
pilots stays under the bound without any talk.
"""

from __future__ import annotations

from collections import deque

EARNED_SHARE = 0.85  # of the rule's ratio
SLACK_SHARE = 0.6  # of the rule's slack that is handed out; pilots that start anew have their part again
STEP_MS = 500.0
UNKNOWN_FLEET = 32  # pilots that are reckoned with until their number is told


class RetryBudget:
    """Further tries to one service."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self.ratio, self.steps, self.slack = ratio, int(1000.0 * window_s / STEP_MS), slack
        self._steps: deque[list[int]] = deque()  # number, firsts, further ones
        self.firsts = self.further = 0

    def _step(self, now: float) -> list[int]:
        step = int(now / STEP_MS)
        while self._steps and self._steps[0][0] < step - self.steps:
            _, firsts, further = self._steps.popleft()
            self.firsts -= firsts
            self.further -= further
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append([step, 0, 0])
        return self._steps[-1]

    def first(self, now: float) -> None:
        """Note the first try of a request."""
        self._step(now)[1] += 1
        self.firsts += 1

    def left(self, now: float, fleet: int) -> float:
        """Return how many further tries may go now."""
        self._step(now)
        part = SLACK_SHARE * self.slack / (fleet or UNKNOWN_FLEET)
        return part + EARNED_SHARE * self.ratio * self.firsts - self.further

    def take(self, now: float, fleet: int) -> bool:
        """Take one further try; False where none is left."""
        if self.left(now, fleet) < 1.0:
            return False
        self._step(now)[2] += 1
        self.further += 1
        return True
