"""Random cuts of valid messages and random garbage against every parser, from fixed seeds."""

from __future__ import annotations

import json
from typing import cast

import h2.connection
import h11
import pytest
from h2.exceptions import H2Error
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.ingress import exchange
from tests.support.policy_gateway import KIND, PLAN, make_settings
from wickspring import interface as api
from wickspring.net import counter, discovery
from wickspring.net.calls import CallError, CallReader, Client
from wickspring.net.clock import Clock
from wickspring.net.http1_front import Http1Connection
from wickspring.net.http2_front import Http2Connection
from wickspring.net.http2_wire import Frames
from wickspring.net.http_server import HttpRequest
from wickspring.net.link import Link
from wickspring.net.runtime import Runtime
from wickspring.net.unanswered import UnansweredRequest
from wickspring.net.upstream.response_reader import ResponseReader
from wickspring.net.upstream.responses import read_result

same = settings(derandomize=True, max_examples=60, deadline=None, database=None)
cuts = st.lists(st.integers(1, 40), min_size=1, max_size=30)


def pieces(data: bytes, sizes: list[int]) -> list[bytes]:
    out, at = list[bytes](), 0
    while at < len(data):
        size = sizes[len(out) % len(sizes)]
        out.append(data[at : at + size])
        at += size
    return out


@same
@given(cuts)
def test_counter_lines_however_cut(sizes: list[int]) -> None:
    reader = counter.LineReader()
    text = b"ok 12.5\r\nbusy\r\nerror\r\nok -3\r\npong\r\n"
    lines = []
    for piece in pieces(text, sizes):
        lines += reader.feed(piece)
        reader.check()  # no beginning of a good line is taken for garbage
    assert lines == text.split(b"\r\n")[:-1]
    answers = [counter.decode(line) for line in lines[:-1]]
    full = (api.Status.FULL, 0.0)
    assert answers == [(api.Status.OK, 12.5), full, full, (api.Status.OK, -3.0)]


@pytest.mark.parametrize("text", [b"ok \x81", b"\xff", b"ok 1x", b"okay", b"o" * 40, b"ok " + b"1" * 99])
def test_malformed_counter_lines_fail_without_waiting(text: bytes) -> None:
    reader = counter.LineReader()
    assert reader.feed(b"ok 1\r\n" + text) == [b"ok 1"]
    with pytest.raises(counter.CounterError):
        reader.check()


@pytest.mark.parametrize("line", [b"ok", b"ok ", b"ok 1_0", b"ok inf", b"ok -", b"ok nan", b"ok  1"])
def test_a_counter_response_without_a_number_is_rejected(line: bytes) -> None:
    with pytest.raises(counter.CounterError):
        counter.decode(line)


@same
@given(st.binary(max_size=600))
def test_counter_garbage(data: bytes) -> None:
    reader = counter.LineReader()
    try:
        for line in reader.feed(data):
            counter.decode(line)
    except counter.CounterError as error:
        assert str(error)


@pytest.mark.parametrize("line", [b"ok nan", b"ok inf", b"ok", b"ok x", b"fine 3", b""])
def test_a_counter_line_that_is_no_response_is_rejected(line: bytes) -> None:
    with pytest.raises(counter.CounterError):
        counter.decode(line)


def test_counter_calls_are_decimals_within_the_time_to_live() -> None:
    assert counter.encode(api.Count(7, -2.5, 4000)) == b"bump 7 -2.5 4000\r\n"
    assert counter.encode(api.Count(7, 1e-7, 0.2)) == b"bump 7 0 1\r\n"
    assert counter.encode(api.Count(2**64 - 1, 3.0, 90_000)) == b"bump %d 3 60000\r\n" % (2**64 - 1)


LIST = {"id": "s-1", "addr": "127.0.0.1:5000", "zone": "a", "cell": 3, "state": "up", "weight": 1.0, "new": 1}


def watch(*lines: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in lines)


@same
@given(cuts, cuts)
def test_watch_however_cut(sizes: list[int], chunks: list[int]) -> None:
    line = json.dumps({"version": 9, "full": True, "servers": [LIST]}).encode() + b"\n"
    reader = discovery.WatchReader()
    reader.request("/x", "h")
    data = watch(*pieces(line + b"\n" + line, chunks))
    lines = [got for piece in pieces(data, sizes) for got in reader.feed(piece)]
    assert lines == [line.strip(), b"", line.strip()]
    news = discovery.Directory(("a",)).apply(discovery.decode(lines[0]))
    assert (news.kind, news.entries[0].server, news.entries[0].cell) == (api.ListKind.COMPLETE, b"s-1", 3)


@same
@given(st.binary(max_size=300) | st.text(max_size=60).map(str.encode))
def test_watch_garbage(data: bytes) -> None:
    for start in (b"", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", watch(data + b"\n")):
        reader, directory = discovery.WatchReader(), discovery.Directory(())
        reader.request("/x", "h")
        try:
            for line in reader.feed(start + data):
                directory.apply(discovery.decode(line))
        except discovery.ListError as error:
            assert str(error)


@pytest.mark.parametrize(
    ("change", "named"),
    [({"addr": "here"}, "addr"), ({"state": "odd"}, "state"), ({"weight": -1}, "weight"), ({"id": 4}, "id")],
)
def test_an_invalid_list_line_is_reported_by_key_and_keeps_the_old_list(
    change: dict[str, object], named: str
) -> None:
    directory = discovery.Directory(("a",))
    directory.apply(discovery.decode(json.dumps({"version": 4, "servers": [LIST]}).encode()))
    bad = json.dumps({"version": 5, "servers": [{**LIST, **change}]}).encode()
    with pytest.raises(discovery.ListError, match=named):
        directory.apply(discovery.decode(bad))
    assert (directory.version, directory.addresses) == (4, {b"s-1": ("127.0.0.1", 5000)})


def ask(reader: ResponseReader) -> None:
    reader.encode_request(exchange("POST", "/api?customer=0", b"text"))


@same
@given(cuts, st.binary(max_size=200), st.booleans())
def test_answers_however_cut(sizes: list[int], body: bytes, chunked: bool) -> None:
    reader = ResponseReader()
    for _ in range(2):
        ask(reader)
        if chunked:
            parts = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces(body, sizes))
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + parts + b"0\r\n\r\n"
        else:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        got = [answer for piece in pieces(data, sizes) if (answer := reader.receive(piece)) is not None]
        assert [(status, text) for status, _, text in got] == [(200, body)]
        assert reader.start_next()


@same
@given(st.binary(max_size=300))
def test_answer_garbage_is_no_answer(data: bytes) -> None:
    reader = ResponseReader()
    ask(reader)
    try:
        assert reader.receive(b"\xff" + data) is None
    except h11.RemoteProtocolError as error:
        assert str(error)


@same
@given(st.binary(max_size=400), cuts)
def test_frames_pass_on_no_byte_twice_and_none_out_of_order(data: bytes, sizes: list[int]) -> None:
    frames, out = Frames(), b""
    try:
        for piece in pieces(data, sizes):
            out += b"".join(part for part in frames.feed(piece) if isinstance(part, bytes))
    except H2Error:
        pass
    kept = iter(data)
    assert all(byte in kept for byte in out)  # a subsequence: only GOAWAY frames are left out


class StubServer:
    """Stands in for runtime and link of one client connection."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str, str, bytes]] = []
        self.sent, self.ended = b"", False
        self.clock, self.draining, self.near_connection_limit, self.flushed = Clock(), False, False, True
        self.bytes_queued, self.bytes_sent, self.broken, self.closed = 0, 0, False, False
        self.has_answered = False

    def take_request(self, client: Client, request: HttpRequest) -> None:
        assert request.body_stream is None
        call_id = request.headers["x-call-id"]
        self.asked.append((request.method, request.target, call_id, request.body))
        client.respond(200, "", b"ok")

    def call_later(self, delay: float, action: object) -> None:
        assert delay > 0

    def record_buffered(self, connection: object, size: int) -> bool:
        return True

    def client_disconnected(self, request_number: int) -> None:
        raise AssertionError("nothing was owed")

    def record_unanswered(self, request: UnansweredRequest) -> None:
        raise AssertionError("nothing was owed")

    def send(self, data: bytes) -> None:
        self.sent += data

    def finish(self) -> None:
        self.ended = True

    def close(self) -> None:
        self.ended = True


def front1() -> tuple[StubServer, Http1Connection]:
    host = StubServer()
    return host, Http1Connection(cast(Link, host), cast(Runtime, host))


def front2() -> tuple[StubServer, Http2Connection]:
    host = StubServer()
    return host, Http2Connection(cast(Link, host), cast(Runtime, host))


ASKED = [("POST", f"/api?customer={n}", f"id{n}", b"body" * n) for n in range(3)]


@same
@given(cuts)
def test_requests_of_http1_however_cut(sizes: list[int]) -> None:
    host, front = front1()
    head = "%s %s HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nContent-Length: %d\r\n\r\n"
    data = b"".join((head % (*ask[:3], len(ask[3]))).encode() + ask[3] for ask in ASKED)
    for piece in pieces(data, sizes):
        front.http.receive_data(piece)
        front.advance()
    assert host.asked == ASKED
    assert host.sent.count(b"HTTP/1.1 200") == 3
    assert not host.ended


@same
@given(st.binary(max_size=300), cuts)
def test_garbage_of_http1_is_a_400_and_the_end(data: bytes, sizes: list[int]) -> None:
    host, front = front1()
    for piece in pieces(b"\xff" + data + b"\r\n\r\n", sizes):
        if not front.closing:
            front.http.receive_data(piece)
            front.advance()
    assert host.asked == []
    assert host.sent.startswith(b"HTTP/1.1 400")
    assert host.ended


def three_streams() -> bytes:
    client = h2.connection.H2Connection()
    client.initiate_connection()
    for method, target, call_id, body in ASKED:
        stream = client.get_next_available_stream_id()
        lines = [(":method", method), (":path", target), (":scheme", "http"), (":authority", "a")]
        client.send_headers(stream, [*lines, ("x-call-id", call_id)])
        client.send_data(stream, body, end_stream=True)
    return client.data_to_send()


@same
@given(cuts)
def test_requests_of_http2_however_cut(sizes: list[int]) -> None:
    host, front = front2()
    for piece in pieces(three_streams(), sizes):
        front.receive(piece)
    assert host.asked == ASKED
    assert front.streams == {}
    assert not host.ended


@same
@given(st.integers(24, 200), st.binary(min_size=1, max_size=60), cuts)
def test_garbage_of_http2_raises_nothing(at: int, data: bytes, sizes: list[int]) -> None:
    host, front = front2()
    good = three_streams()
    for piece in pieces(good[:at] + data + good[at:], sizes):
        if not front.closing:
            front.receive(piece)
    assert all(asked[0] == "POST" for asked in host.asked)
    assert host.ended == front.closing
    wrong, broken = front2()
    broken.receive(b"\xff" * 24)
    assert wrong.ended
    assert wrong.asked == []


CALLS = CallReader(make_settings(kind={"name": "view"}, plan={"name": "team"}, gateways=3))
GOOD = {
    "x-call-id": "9b1f",
    "x-call-class": "view",
    "api-plan": "team",
    "x-budget-ms": "480",
    "api-terms": "units=2,spread=3,first=1",
}


@same
@given(st.sampled_from(sorted(GOOD)), st.text(max_size=30), st.text(max_size=30))
def test_odd_fields_are_named_or_read(field: str, value: str, target: str) -> None:
    try:
        call = CALLS.read("GET", "/api?customer=00000000b4d65521", {**GOOD, field: value}, b"")
        assert 0 < call.units <= 4
    except CallError as error:
        assert str(error).lower() == field
    with pytest.raises(CallError):
        CALLS.read("GET", "/api?" + target + " ", GOOD, b"")


@pytest.mark.parametrize(
    "terms",
    [
        "units=1_0,spread=1,first=0",
        "units=+1,spread=1,first=0",
        "units= 1,spread=1,first=0",
        "units=1e0,spread=1,first=0",
        "units=0,spread=1,first=0",
        "units=1,spread=4,first=0",
        "units=1,spread=0,first=0",
        "units=1,spread=1,first=3",
        "units=1,spread=+1,first=0",
        "units=1,spread=1_0,first=0",
        "units=1,spread=1,first=-1",
        "units=1,units=1,spread=1,first=0",
    ],
)
def test_request_terms_out_of_range_are_rejected(terms: str) -> None:
    with pytest.raises(CallError, match="Api-Terms"):
        CALLS.read("GET", "/api?customer=00000000b4d65521", {**GOOD, "api-terms": terms}, b"")


def test_a_time_budget_is_limited_by_the_class_and_a_read_has_no_body() -> None:
    target = "/api?customer=00000000b4d65521"
    assert CALLS.read("GET", target, {**GOOD, "x-budget-ms": "3600000"}, b"").budget == KIND.deadline
    with pytest.raises(CallError, match="body"):
        CALLS.read("GET", target, GOOD, b"x")


def test_terms_of_a_good_call() -> None:
    call = CALLS.read("GET", "/api?customer=00000000b4d65521", {**GOOD, "x-again": "1"}, b"")
    assert (call.customer, call.units, call.spread, call.first) == (0xB4D65521, 2.0, 3, 1)
    assert (call.budget, call.repeat, call.class_index, call.plan_index) == (480.0, True, 0, 0)
    assert (KIND.name, PLAN.name) == ("", "")


@pytest.mark.parametrize(
    ("code", "headers", "status"),
    [
        (200, {}, api.Status.OK),
        (500, {}, api.Status.ERROR),
        (503, {}, api.Status.ERROR),
        (503, {"x-rejected": "1"}, api.Status.FULL),
        (504, {"x-rejected": "1"}, api.Status.FULL),
        (500, {"x-rejected": "1"}, api.Status.ERROR),
        (404, {}, api.Status.ERROR),
    ],
)
def test_response_codes_map_to_attempt_statuses(
    code: int, headers: dict[str, str], status: api.Status
) -> None:
    report = {"x-load-report": '{"inflight":7,"qps":1.5}'}
    reply = read_result(code, {**headers, **report}, b"", ("inflight", "qps"))
    assert (reply.status, reply.load) == (status, (7.0, 1.5))
    for text in ("{oops", '{"inflight":-1}', '{"inflight":1e300}', '{"qps":1}', '{"inflight":"7"}'):
        assert read_result(code, {"x-load-report": text}, b"", ("inflight",)).load == ()
    for use in ("-5", "x", "inf", "1e300"):
        assert read_result(code, {"api-usage": use}, b"", ()).fleet_use == 0
