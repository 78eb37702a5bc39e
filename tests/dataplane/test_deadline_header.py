"""`X-Deadline-Ms`: a number of milliseconds, with or without a fraction."""

from __future__ import annotations

import pytest

from tests.support.echo_exchange import Exchange


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"5000", 200),
        (b"1500.25", 200),
        (b"0900.0", 200),
        (b"9" * 400, 200),
        (b"-5", 400),
        (b"1e3", 400),
        (b"5.", 400),
        (b".5", 400),
        (b"5 000", 400),
        (b"nan", 400),
        (b"\xb2\xb3", 400),
    ],
)
def test_a_deadline_is_a_number_of_milliseconds(text: bytes, status: int) -> None:
    """Guards against 400 for a client that counts in fractions, and against texts that are no number."""
    exchange = Exchange([(b"X-Deadline-Ms", text)])
    assert exchange.play().status_code == status
    if status == 200:
        handed_on = int(exchange.server.requests[0][b"x-deadline-ms"])
        assert 0 < handed_on <= min(float(text), 2000.0)
