"""Responses that are longer than what is buffered, by their status."""

from __future__ import annotations

import pytest

from tests.support.echo_exchange import Exchange
from wickspring.lab.emulation.local_gateway import PURE_PREFIX
from wickspring.lab.simulation.request_path.ledger import EFFECTFUL_PREFIX

LONG = b"0123456789" * 20_000


@pytest.mark.parametrize("prefix", [PURE_PREFIX, EFFECTFUL_PREFIX])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("status", [200, 201, 207, 400, 404, 451])
def test_a_long_response_of_any_final_status_passes_whole(status: int, chunked: bool, prefix: str) -> None:
    """Guards against 502 in place of a server's long response that is no plain 200."""
    exchange = Exchange(prefix=prefix, answer=(LONG, chunked, status))
    response = exchange.play()
    assert response.status_code == status
    assert exchange.body == LONG
    assert (b"x-server-seal", b"1") in list(response.headers)
    assert len(exchange.server.requests) == 1


@pytest.mark.parametrize("status", [408, 429, 500, 503])
def test_a_long_response_that_may_not_pass_as_it_is_is_answered_502(status: int) -> None:
    """Guards against a status that promises "not executed" for a request that has run."""
    assert Exchange(prefix=EFFECTFUL_PREFIX, answer=(LONG, False, status)).play().status_code == 502
