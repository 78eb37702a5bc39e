"""Loopback networks for tests that run complete nodes, each at an address of its own in 127.0.0.0/8."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from random import SystemRandom

FIRST_NET = 32  # those below have fixed uses: 0 the toy gateway, 16 drills, 17 measurements of recovery
LAST_NET = 239
RESERVATION_PORT = 7999  # used by no process of a gateway, and below the ports of outgoing connections


@contextmanager
def reserve_loopback_net() -> Iterator[int]:
    """Reserve a free network 127.`net`.0.0/16 for the duration of a `with` block; yield `net`.

    A listening socket at one of its addresses is the reservation, so that test runs beside each other on one
    machine choose different networks, and a run that is killed leaves none reserved.

    Raises OSError where no network is free.
    """
    nets = list(range(FIRST_NET, LAST_NET + 1))
    SystemRandom().shuffle(nets)
    for net in nets:
        # Without SO_REUSEADDR: a second bind to the address fails.
        with socket.socket() as reservation:
            try:
                reservation.bind((f"127.{net}.255.254", RESERVATION_PORT))
                reservation.listen()
            except OSError:
                continue
            yield net
            return
    raise OSError(f"no loopback network from {FIRST_NET} to {LAST_NET} is free")
