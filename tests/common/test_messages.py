"""Typed messages: encoded as arrays, checked when decoded; unknown names are ignored."""

from __future__ import annotations

import math
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgpack
import msgspec
import pytest
import trio

from tests.common.test_compatibility import DECODERS, MESSAGES, decoder_of, unpacked
from tests.common.test_malformed_input import ODD, corrupt
from wickspring.common import logs, messages
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import DECODE_ERRORS, PeerConnection
from wickspring.common.endpoints import Endpoint
from wickspring.common.errors import GatewayError
from wickspring.common.messages.base import IpAddress
from wickspring.common.settings_file import parse_ip
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.peer_server import PeerServer
from wickspring.net.clock import Clock
from wickspring.net.link import Link

NODE_ATTRIBUTES = messages.HelloAttributes()
DATA_PLANE_ATTRIBUTES = messages.HelloAttributes(3, b"d", "a")


@pytest.mark.parametrize(
    ("message", "parts"),
    [
        (messages.Hello("core", "10.1.0.1", NODE_ATTRIBUTES), ["hello", "core", "10.1.0.1", {}]),
        (
            messages.Hello("pilot", "10.1.0.1", DATA_PLANE_ATTRIBUTES),
            ["hello", "pilot", "10.1.0.1", {"version": 3, "digest": b"d", "zone": "a"}],
        ),
        (messages.DataPlaneHeartbeat(), ["tick"]),
        (messages.DataPlaneHeartbeat(0, b""), ["tick", 0, b""]),
        (messages.RequestFullState(), ["whole"]),
        (messages.AddQuota(2**40, "n" * 300, True, -1), ["add", 2**40, "n" * 300, True, -1]),
        (messages.QuotaTotal(70_000, 3, -1, 90), ["sum", 70_000, 3, -1, 90]),
        (messages.RequestFinished("\u00e4", -1.0), ["in", "\u00e4", -1.0]),
        (messages.EndpointAdvice(9, [("i1", 1.5)], 4), ["berths", 9, [("i1", 1.5)], 4]),
        (messages.ConfigOffer(9, b"z" * 70_000, b"d", ConfigStatus(2)), ["chart", 9, b"z" * 70_000, b"d", 2]),
        (
            messages.ControlPlaneHeartbeatReply(1, 7, 2, 2**32 - 1, b"", QuorumContact(1)),
            ["tock", 1, 7, 2, 2**32 - 1, b"", 1],
        ),
        (messages.ProbeRequest("10.1.0.1", 7, "10.1.0.2"), ["reach", "10.1.0.1", 7, "10.1.0.2"]),
    ],
)
def test_a_message_is_encoded_as_msgpack_packs_its_parts(message: messages.Message, parts: list[Any]) -> None:
    assert message.encode() == msgpack.packb(parts)


def test_the_same_texts_are_addresses_as_for_settings() -> None:
    random = Random(7)
    texts = ["", "10.1.0.1", "255.255.255.255", "256.1.1.1", "01.1.1.1", "1.1.1", "1.1.1.1.1", "1.1.1.1\n"]
    texts += [" 1.1.1.1", "1.1.1.1 ", "1.1.1.-1", "\u0661.1.1.1", "localhost", "::1", "0.0.0.0", "1..1.1"]
    for _ in range(3000):
        octets = [str(random.choice((0, 9, 10, 99, 100, 249, 250, 255, 256, 300))) for _ in range(4)]
        octets[random.randrange(4)] = random.choice(("", "0", "00", "7", "199", "200", "1000", "a", "+1"))
        texts.append(".".join(octets))
    taken = 0
    for text in texts:
        try:
            parse_ip(text)
        except GatewayError:
            with pytest.raises(msgspec.ValidationError):
                msgspec.convert(text, IpAddress)
        else:
            assert msgspec.convert(text, IpAddress) == text
            taken += 1
    assert taken > 100


def test_names_of_other_directions_and_of_later_versions_are_ignored() -> None:
    assert messages.DATA_PLANE_REQUESTS.decode(["sum", 1, 2, 3, 4]) is None
    assert messages.DATAGRAMS.decode(["fetch", "10.1.0.1", 1, b""]) is None
    for decoders in DECODERS.values():
        for decoder in decoders:
            assert decoder.decode(["of_a_later_version", 1, {}]) is None


def test_an_accepted_connection_is_decoded_by_what_its_hello_says() -> None:
    received: list[messages.Message] = []

    def record(_: object, message: messages.Message) -> None:
        received.append(message)

    replication = SimpleNamespace(on_message=record, peers=SimpleNamespace(on_incoming_connection=str))
    data_plane_messages = SimpleNamespace(receive=record, connected=record)
    server = PeerServer(cast(Any, replication), cast(Any, data_plane_messages))
    session = PeerSession(cast(Any, SimpleNamespace(peer_address="")))
    hello = messages.Hello("pilot", "10.1.0.1", DATA_PLANE_ATTRIBUTES)
    for wire_message, expected in (
        (["tick"], messages.DataPlaneHeartbeat()),
        (["alive", []], None),
        (msgpack.unpackb(hello.encode()), hello),
        (["tick"], messages.DataPlaneHeartbeat()),
        (["hello", "core", "10.1.0.1", {}], None),
        (["tick", 5.0], messages.NodeHeartbeat(5.0)),
        (["add", 1, "n", False, 1], None),
        (["alive", [["i1", 4]]], messages.EndpointHeartbeats([("i1", 4)])),
    ):
        server.receive(session, wire_message)
        assert received == ([] if expected is None else [expected])
        received.clear()
    assert session.is_control_plane_node and session.name == "10.1.0.1"


def test_added_fields_are_ignored_in_requests_and_refused_in_messages_of_the_control_plane() -> None:
    assert messages.DATA_PLANE_REQUESTS.decode(["out", "i1", "more"]) == messages.RequestStarted("i1")
    assert messages.NODE_REQUESTS.decode(["cores", []]) == messages.ListNodes()
    with pytest.raises(msgspec.ValidationError):
        messages.CONTROL_PLANE_MESSAGES.decode(["chart", 1, b"", b"", 1, "more"])


@pytest.mark.parametrize(
    "wire_message",
    [
        ["add", "1", "n", False, 1],
        ["add", 1, b"n", False, 1],
        ["add", 1, "n", 0, 1],
        ["add", 1.0, "n", False, 1],
        ["tick", 7],
        ["tick", None, None],
        ["hello", "core", "10.1.0.300", {}],
        ["hello", "pilot", "10.1.0.3", {"version": "7"}],
        ["past", "n", [[0, 1, 2]]],
        ["in", "i1", None],
    ],
)
def test_fields_of_other_types_are_refused(wire_message: list[Any]) -> None:
    with pytest.raises(DECODE_ERRORS):
        messages.DATA_PLANE_REQUESTS.decode(wire_message)


def test_a_view_names_its_sender_and_statuses_are_known_ones() -> None:
    for wire_message in (
        ["view", 1, ["10.1.0.1"], [], 1],
        ["tock", 1, 7, 2, 5, b"", 3],
        ["chart", 1, b"", b"", 9],
    ):
        with pytest.raises(DECODE_ERRORS):
            messages.CONTROL_PLANE_MESSAGES.decode(wire_message)


def test_whatever_comes_is_decoded_or_refused() -> None:
    """A fuzz of all recorded messages: what is decoded is encoded to what decodes to the same."""
    random, decoded, refused = Random(11), 0, 0
    for _ in range(20_000):
        one = random.choice(MESSAGES)
        decoder = decoder_of(one)
        wire_message = corrupt(random, unpacked(one))
        if not isinstance(wire_message, list) or not wire_message or not isinstance(wire_message[0], str):
            continue
        try:
            message = decoder.decode(wire_message)
        except DECODE_ERRORS:
            refused += 1
            continue
        if message is not None and not any(isinstance(part, float) for part in ODD if part in wire_message):
            again = decoder.decode(msgpack.unpackb(message.encode(), strict_map_key=False))
            assert again == message or "nan" in repr(message)
            decoded += 1
    assert decoded > 1000 and refused > 1000


def test_an_endpoint_goes_through_its_record() -> None:
    endpoint = Endpoint("i1", "s", "10.1.0.9:80", "a", 2, 1, 7, 1500.0, "v1")
    record = endpoint.to_record(1000.0)
    assert record.warmup_remaining_ms == 500
    assert msgspec.msgpack.encode(record) == msgpack.packb(endpoint.pack(1000.0))
    read = Endpoint.from_record(record, 3000.0)
    assert read.warming_until_ms == 3500.0
    assert math.isclose(read.to_record(3000.0).warmup_remaining_ms, 500)
    wrong = msgspec.structs.replace(record, address="10.1.0.9:0")
    with pytest.raises(GatewayError):
        Endpoint.from_record(wrong, 0.0)


class ScriptedLink:
    """A link on which given bytes arrive, cut into pieces."""

    broken = False

    def __init__(self, data: bytes, piece: int) -> None:
        self.pieces = [data[at : at + piece] for at in range(0, len(data), piece)]
        self.sent: list[bytes] = []

    async def receive(self) -> bytes:
        await trio.lowlevel.checkpoint()
        return self.pieces.pop(0) if self.pieces else b""

    def send(self, data: bytes) -> None:
        self.sent.append(data)


def read_all(data: bytes, piece: int) -> list[messages.DataPlaneRequest]:
    """Return what a connection hands over of given bytes."""
    received: list[messages.DataPlaneRequest] = []

    def handle(_: PeerConnection, message: messages.DataPlaneRequest) -> None:
        received.append(message)

    async def read() -> None:
        connection = PeerConnection(cast(Link, ScriptedLink(data, piece)), Clock())
        await connection.read(handle, messages.DATA_PLANE_REQUESTS)

    trio.run(read)
    return received


@pytest.mark.parametrize("piece", [1, 7, 10_000])
def test_a_connection_hands_over_typed_messages(monkeypatch: pytest.MonkeyPatch, piece: int) -> None:
    events: list[str] = []
    monkeypatch.setattr(logs, "log_event", lambda name, **_: events.append(name))
    sent = [messages.DataPlaneHeartbeat(), messages.RequestStarted("i1"), messages.UsageReport("n", [(0, 3)])]
    data = b"".join(one.encode() for one in sent)
    unknown = msgpack.packb(["of_a_later_version", 1])
    assert read_all(unknown + data + unknown, piece) == sent and not events
    refused: list[list[object]] = [["out", 7], ["tick", 7]]
    for wrong in refused:
        assert read_all(data + msgpack.packb(wrong) + data, piece) == sent
    assert events == ["message_invalid"] * 2
    no_messages: list[object] = [[], [7], {"out": "i1"}, 7]
    for other in no_messages:
        assert read_all(data + msgpack.packb(other) + data, piece) == sent
    assert events == ["message_invalid"] * 2


def test_a_connection_sends_typed_messages() -> None:
    link = ScriptedLink(b"", 1)
    connection = PeerConnection(cast(Link, link), Clock())
    connection.send(messages.QuotaSpent("n"))
    assert link.sent == [msgpack.packb(["spent", "n"])]
