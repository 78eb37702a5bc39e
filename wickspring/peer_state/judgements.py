"""What the ingresses tell each other of ticket servers that fail, and when that alone is enough to avoid one.

One ingress of many sends a server few requests, and needs a failure of its own to learn of a bad one. Here
each tells which servers fail it, in its own entry (`gossip/book.py`), and hears of those that fail others.
Own evidence goes before hearsay: who was served there a moment ago pays no heed. Hearsay counts for less:

    a witness counts for (1 - 0.5^failures) x (1 - 2 x share of the servers it tried that it finds bad), by
    age down to nothing over HEARSAY_MS: one that finds everything bad is cut off itself, and counts for
    nothing; a server is avoided where witnesses add up to ENOUGH, are WITNESSES or more, and of two halls
    or more where the fleet has two; no more than `most_share` of the servers are, the worst first.

A word is of a server as it was started: after its restart it says nothing. So one liar moves nobody, two move
nobody, and any number move no more than `most_share` of the servers, at ingresses that were not just served
there. No I/O and no clock; times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

TOLD_MS, OWN_MS = 8000.0, 4000.0  # that own failures are told; that own answers go before hearsay
TRIED_MS = 10_000.0  # within which a server was tried here
HEARSAY_MS = 8000.0  # over which a word loses all weight
FAILS_TOLD = 3  # failures beyond which a word says no more
TOLD_MOST = 8  # servers in one ingress's word: the latest
WITNESSES, HALLS, ENOUGH = 3, 2, 0.75  # that hearsay alone needs
UNTRIED = 2.0  # servers taken to be sound beside those tried: who tried few proves little


class Bad(msgspec.Struct, frozen=True, array_like=True):
    """A server that fails an ingress: its id, when it was started, failures since it last answered there."""

    server: str
    started: float
    fails: int


class Words(msgspec.Struct, frozen=True, array_like=True):
    """All that one ingress tells of servers."""

    bad: tuple[Bad, ...] = ()
    tried: int = 0  # servers, of late; told roughly, so that it does not change with each request


class Witness(msgspec.Struct, frozen=True):
    """Another ingress's words as held here."""

    name: str
    hall: str
    words: Words
    age: float  # ms since they were heard


@dataclass(slots=True)
class _Own:
    tried_at: float = -math.inf
    failed_at: float = -math.inf
    answered_at: float = -math.inf
    fails: int = 0
    started: float = 0.0


class Judge:
    """One ingress's evidence, and what it makes of the others'."""

    def __init__(self) -> None:
        self._own: dict[str, _Own] = {}

    def seen(self, now: float, server: str, started: float, good: bool) -> None:
        """Note how an attempt here ended."""
        own = self._own.get(server)
        if own is None or own.started != started:
            own = self._own[server] = _Own(started=started)
        own.tried_at = now
        if good:
            own.answered_at, own.fails = now, 0
        else:
            own.failed_at, own.fails = now, own.fails + 1

    def keep(self, servers: Iterable[str]) -> None:
        """Forget all servers but these."""
        named = set(servers)
        for gone in [server for server in self._own if server not in named]:
            del self._own[gone]

    def words(self, now: float) -> Words:
        """Return what to tell of servers."""
        bad = [
            (own.failed_at, Bad(server, own.started, min(own.fails, FAILS_TOLD)))
            for server, own in self._own.items()
            if own.fails and now - own.failed_at < TOLD_MS
        ]
        if not bad:
            return Words()  # how many were tried is of use beside those that failed alone
        latest = sorted(bad, key=lambda pair: pair[0])[-TOLD_MOST:]
        tried = sum(now - own.tried_at < TRIED_MS for own in self._own.values())
        return Words(tuple(sorted((one for _, one in latest), key=lambda one: one.server)), _roughly(tried))

    def avoid(
        self,
        now: float,
        witnesses: Iterable[Witness],
        started: Mapping[str, float],
        halls: int,
        most_share: float,
    ) -> dict[str, float]:
        """Return the servers to avoid by hearsay, each with the weight against it.

        `started` names the servers that there are, and when each was started; `halls` is of how many the
        fleet is known to be.
        """
        against: dict[str, list[tuple[float, str]]] = {}
        for witness in witnesses:
            weight = weigh(witness)
            for bad in witness.words.bad[:TOLD_MOST] if weight > 0.0 else ():
                if bad.fails > 0 and started.get(bad.server) == bad.started:
                    part = weight * (1.0 - math.pow(0.5, min(bad.fails, 9)))
                    against.setdefault(bad.server, []).append((part, witness.hall))
        found = {}
        for server, parts in against.items():
            own = self._own.get(server)
            if own is not None and own.started == started[server] and now - own.answered_at < OWN_MS:
                continue
            enough = len(parts) >= WITNESSES and len({hall for _, hall in parts}) >= min(HALLS, max(1, halls))
            total = sum(part for part, _ in parts)
            if enough and total >= ENOUGH:
                found[server] = total
        most = int(most_share * len(started))
        worst = sorted(found, key=lambda server: (-found[server], server))[:most]
        return {server: found[server] for server in worst}


def weigh(witness: Witness) -> float:
    """Return what a witness counts for, from 0 to 1."""
    share = len(witness.words.bad) / (max(witness.words.tried, len(witness.words.bad)) + UNTRIED)
    age = max(0.0, 1.0 - max(0.0, witness.age) / HEARSAY_MS)
    return max(0.0, 1.0 - 2.0 * share) * age


def _roughly(number: int) -> int:
    """Return a number cut to its first binary digits, so that it is told anew seldom."""
    step = 1 << max(0, number.bit_length() - 2)
    return number // step * step
