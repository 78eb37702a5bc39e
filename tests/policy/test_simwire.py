from __future__ import annotations

import io
import struct

import pytest

from wickspring import interface as api
from wickspring import simhost, simwire

SETTINGS = """Discovery=pushed
Domain.CountLimit=50.0
Domain.Largest=2
Domain.MayCount=true
Domain.Metering=0.0
Domain.PostPaid=false
Lanes.count=1
Lanes.0.Deadline=3000.0
Lanes.0.Effect=repeatable
Lanes.0.Group=all
Lanes.0.LateWorth=0.2
Lanes.0.Promise=1200.0
Lanes.0.Stream=false
Lanes.0.Window=5000.0
Lanes.0.Worth=1.0
Obligations.AnswerSlack=8.0
Obligations.AskWithin=10000.0
Obligations.DrainGrace=500.0
Obligations.OverloadFactor=2.5
Obligations.StartCapacity=0.26
Obligations.TipAfter=3000.0
Obligations.WarmWithin=16000.0
Packages.count=1
Packages.0.ExtraWorth=0.0
Packages.0.HardSlack=0.0
Packages.0.MaxOut=0
Packages.0.NeverOverDepth=0.0
Packages.0.NeverOverRate=0.0
Packages.0.OverCost=1.0
Packages.0.PeakUnits=6.0
Packages.0.UnitsPerS=1.5
Packages.0.WorthFactor=0.5
Permissions.Cancelling=true
Permissions.MaxAttempts=6
Permissions.ParallelTries=false
Permissions.Probing=true
SelfIndex=0
Siblings=3
Telemetry.Fields=concurrent,tps,depth
Tick=2.0
Zone=1
Something.New=7
"""


def record(text: str, size: int = 56) -> bytes:
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


def batch(*records: bytes, tail: bytes = b"") -> bytes:
    length = 16 + sum(map(len, records)) + len(tail)
    return struct.pack(">dII", 241.0, length, len(records)) + b"".join(records) + tail


def start(text: str = SETTINGS) -> bytes:
    return batch(struct.pack(">HHQII", 1, 3, 99, 0, len(text)).ljust(56, b"\0"), tail=text.encode())


CALL = record(
    "0003 0003 0003e6565d3a91c4 00 00000000 91f03b7c55d20a64 40c0e62000000000 40000000 40400000 3f800000 01"
)


def test_page_examples_of_events() -> None:
    frame = batch(CALL, record("0007 0003 000000000000004d"), record("0006 0005 000c1ec50e6f2b19"))
    assert frame[8:12] == bytes.fromhex("000000b8")
    _, events = simwire.decode_batch(frame)
    assert events == [
        (3, api.Request(0x3E6565D3A91C4, 0, 0, 0x91F03B7C55D20A64, 8652.25, 2.0, 3, 1)),
        (3, api.TimerFired(0x4D)),
        (5, api.Withdrawn(0xC1EC50E6F2B19)),
    ]


def test_clients_mark_of_a_repeat() -> None:
    for bits, repeat in ((b"\4", False), (b"\6", True)):
        _, [(_, event)] = simwire.decode_batch(batch(CALL[:45] + bits + CALL[46:]))
        assert isinstance(event, api.Request)
        assert event.repeat is repeat
    assert simwire.parse_settings(SETTINGS + "Clients.MarksRetry=true\n", 1).marks_repeats


def test_page_example_of_an_outcome() -> None:
    text = "0005 0003 0003e6565d3a91c4 0a124a07 1f93 0056 01 0003 0064 4032800000000000 00 00"
    _, [(_, event)] = simwire.decode_batch(batch(record(text)))
    server = bytes.fromhex("0a124a071f93")
    assert event == api.Outcome(0x3E6565D3A91C4, 0, server, api.Status.OK, True, 18.5, (), 3, 0x56)


def test_page_example_of_a_count_answer() -> None:
    text = "000b 0003 000000000089f690 0064 42180000 4001333333333333"
    _, [(_, event)] = simwire.decode_batch(batch(record(text)))
    assert event == api.CountAnswer(0x89F690, api.Status.OK, 38.0, 2.15)


def test_page_example_of_a_list() -> None:
    tail = record("0a124a07 1f93 00 0000 0000 00 3f800000 0000000000000000", 24)
    tail += record("0a9011f2 1fbc 01 0000 0000 00 3fc00000 40b7d40000000000", 24)
    listed = record("0002 0003 00 00000029 00000000 00000002")
    _, [(_, event)] = simwire.decode_batch(batch(listed, tail=tail))
    assert isinstance(event, api.ServerList)
    assert event.kind is api.ListKind.CACHED
    assert [(e.zone, e.weight, e.started_at) for e in event.entries] == [(0, 1.0, 0.0), (1, 1.5, 6100.0)]


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (
            api.Send(0x3E6565D3A91C4, bytes.fromhex("0a124a071f93"), 80.0),
            "0001 0003 0003e6565d3a91c4 0a124a07 1f93 4054000000000000",
        ),
        (api.SetTimer(0x4D, 500.0), "0005 0003 000000000000004d 407f400000000000"),
        (api.Count(0x89F690, 4.0, 3000.0), "000d 0003 40800000 000000000089f690 40a7700000000000"),
        (api.Refuse(5, 0.0), "0002 0003 0000000000000005"),
        (api.Fail(5), "0003 0003 0000000000000005"),
        (api.Cancel(5, 2), "0004 0003 0000000000000005 02"),
        (api.Probe(b"abcdef"), "0006 0003 616263646566"),
        (api.FollowList(), "000b 0003 01"),
    ],
)
def test_actions_as_on_the_page(action: api.Action, text: str) -> None:
    assert simwire.encode_reply([(3, action)]) == struct.pack(">II", 40, 1) + record(text, 32)


def test_empty_batch() -> None:
    frame = bytes.fromhex("40c06e2000000000 00000010 00000000".replace(" ", ""))
    out = io.BytesIO()
    simhost.serve(io.BytesIO(frame), out)
    assert out.getvalue() == bytes.fromhex("0000000800000000")


def test_missing_setting_is_named_and_unknown_ones_are_skipped() -> None:
    assert simwire.parse_settings(SETTINGS, 1).gateways == 3
    with pytest.raises(simwire.WireError, match="missing setting Siblings"):
        simwire.parse_settings(SETTINGS.replace("Siblings=3\n", ""), 1)


def test_hosted_instance_answers_and_stops() -> None:
    out = io.BytesIO()
    listed = batch(record("0002 0003 00 00000029 00000000 00000000"))
    stop = batch(record("000a 0003"), CALL)
    simhost.serve(io.BytesIO(start() + listed + stop), out)
    frames = out.getvalue()
    assert frames[:8] == bytes.fromhex("0000000800000000")
    assert frames[-8:] == bytes.fromhex("0000000800000000")  # a stopped instance says nothing


def test_exception_in_the_policy_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: object, now: float, event: object) -> list[api.Action]:
        raise RuntimeError("broken table")

    monkeypatch.setattr("wickspring.policy.Policy.handle", fail)
    out = io.BytesIO()
    simhost.serve(io.BytesIO(start() + batch(CALL)), out)
    assert b"broken table" in out.getvalue()


@pytest.mark.parametrize(
    "frame",
    [b"\0" * 10, struct.pack(">dII", 1.0, 4, 0), batch(record("0063 0003")), batch(CALL)[:-5]],
)
def test_malformed_frame_is_one_line_and_a_non_zero_exit(
    frame: bytes, monkeypatch: pytest.MonkeyPatch, capsysbinary: pytest.CaptureFixture[bytes]
) -> None:
    monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(frame)))
    assert simhost.main() != 0
    captured = capsysbinary.readouterr()
    assert captured.out == b""
    assert captured.err.count(b"\n") == 1
