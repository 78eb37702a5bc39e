"""Responses and requests of the load generator's clients, with and without a parser.

What happened: beside 8 busy processes `ingress-crash` served 217 and 369 of the 500 requests wanted. The
laboratory's one process sent up to 0.9 s late: collections of garbage and parsers took most of its time.
"""

from __future__ import annotations

import h11
import pytest

from tests.lab.short_scenarios import SMALL
from wickspring.lab.experiments import scenario
from wickspring.lab.traffic.client_connection import BODY, encode_request, read_usual_response
from wickspring.lab.traffic.schedule import draw_script

USUAL = b"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok"


def test_a_usual_response_is_read_whole() -> None:
    response = read_usual_response(USUAL, 3.0)
    assert response is not None
    assert (response.status, response.body, response.unread_ms) == (200, b"ok", 3.0)
    refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.100\r\n\r\n"
    response = read_usual_response(refusal, 0.0)
    assert response is not None and response.headers["retry-after"] == "0.100"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        USUAL[:-1],
        USUAL + b"H",
        USUAL.replace(b": 2", b": -2"),
        USUAL.replace(b"Content-Length: 2\r\n", b""),
        USUAL.replace(b"Content-Length: 2\r\n", b"Content-Length: 2\r\nContent-Length: 2\r\n"),
        USUAL.replace(b"Content-Length: 2\r\n", b"Content-Length: 2\r\nConnection: close\r\n"),
        USUAL.replace(b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"),
        USUAL.replace(b"1.1 200", b"1.0 200"),
        USUAL.replace(b"200", b"100"),
        USUAL.replace(b"\r\n", b"\n"),
    ],
)
def test_any_other_response_is_left_to_the_parser(data: bytes) -> None:
    assert read_usual_response(data, 0.0) is None


def test_requests_are_those_that_a_parser_reads() -> None:
    small = scenario.parse(SMALL, "")
    requests = draw_script(small, 1).requests[:100]
    assert {small.shape.kind[request.kind].effect for request in requests} >= {"repeatable", "once"}
    for request in requests:
        http = h11.Connection(h11.SERVER)
        http.receive_data(encode_request(request, small.shape))
        head = http.next_event()
        assert isinstance(head, h11.Request)
        headers = dict(head.headers)
        assert headers[b"x-call-id"].decode() == request.call_id
        assert headers[b"x-budget-ms"] == b"%d" % int(request.budget_ms)
        assert headers.get(b"idempotency-key", b"").decode() == request.key
        event = http.next_event()
        if head.method == b"POST":
            assert isinstance(event, h11.Data) and event.data == BODY
            event = http.next_event()
        assert isinstance(event, h11.EndOfMessage)
