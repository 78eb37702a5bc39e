"""Operators of the simulated replication group.

Operators number from 0 on, and reuse versions with other texts: two at once, eight updates together, an
update sent again to any node whose answer was lost, old versions, texts that come back under a later version,
and one who goes on until he is answered. `invariant_checker` checks what they are answered.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wickspring.common.config_version import ConfigVersion, version_order
from wickspring.controlplane.replication.replica import CommitOutcome, Update


class Operators:
    """Who sends updates."""

    def __init__(
        self, random: Random, send: Callable[[str, Update, Callable[[CommitOutcome], None]], None]
    ) -> None:
        self.random, self.send = random, send
        self.sent: list[Update] = []
        self.highest_sent: ConfigVersion = None
        self.highest_acknowledged: ConfigVersion = None

    def draw_update(self, size: int = 0) -> Update:
        """Draw an update: most often of a new version, which another may be using at this moment."""
        draw, kind = self.random, self.random.random()
        if self.sent and kind < 0.15:
            return draw.choice(self.sent[-20:])
        if self.sent and kind < 0.25:  # an old version once more, with another text
            version = version_order(draw.choice(self.sent).version)
        else:
            known = draw.choice((self.highest_acknowledged, self.highest_acknowledged, self.highest_sent))
            version = max(0, version_order(known) + draw.choice((0, 1, 1, 1, 2)))
        if self.sent and kind > 0.9:  # back to an earlier text
            document = draw.choice(self.sent[-8:]).document
        else:
            document = b"%d by %d" % (version, draw.randint(0, 2)) + b"." * size
        leaving = {f"i{draw.randint(0, 40)}": draw.randint(1, 2)} if draw.random() < 0.1 else {}
        one = Update(version, document, leaving)
        self.sent.append(one)
        self.highest_sent = max(self.highest_sent, version, key=version_order)
        return one

    def send_some(self, ips: list[str], most: int = 8) -> None:
        """Send one update, or now and then several at once, to any nodes."""
        many = self.random.randint(2, most) if self.random.random() < 0.15 else 1
        for _ in range(many):
            one = self.draw_update()

            def on_outcome(outcome: CommitOutcome, one: Update = one) -> None:
                if outcome == CommitOutcome.COMMITTED:
                    self.highest_acknowledged = max(self.highest_acknowledged, one.version, key=version_order)

            self.send(self.random.choice(ips), one, on_outcome)
