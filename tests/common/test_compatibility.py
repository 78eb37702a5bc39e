"""Stored files and messages of an earlier version (`tests/fixtures`) are read and accepted unchanged."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgpack
import msgspec
import pytest
import trio

from tests.support.virtual_system import (
    CONTROL_PLANES,
    CURRENT_MACHINE,
    DATA_PLANES,
    VirtualSystem,
    run_virtual_system,
)
from wickspring.agent import wire
from wickspring.agent.store import Store
from wickspring.common import messages
from wickspring.common.connection import DECODE_ERRORS, PeerConnection
from wickspring.common.settings import parse_settings
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.replication import messages as chain_messages
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.view import Member, View
from wickspring.controlplane.storage import ReplicaStore
from wickspring.controlplane.storage_file import FILE
from wickspring.fleet.file import load_fleet
from wickspring.fleet.model import InstanceRecord, Operation, Permit
from wickspring.lab.simulation.clock import VirtualClock

FIXTURES = Path(__file__).parents[1] / "fixtures"
MESSAGES: list[dict[str, Any]] = json.loads((FIXTURES / "messages.json").read_text())
CONTROL, DATA = "control_plane", "data_plane"
CHAIN = {
    "accept",
    "accepted",
    "copy",
    "fetch",
    "outbid",
    "pass",
    "passed",
    "prepare",
    "promise",
    "view",
}
KINDS = {
    (CONTROL, CONTROL, "tcp"): {
        "alive",
        "chain",
        "cores",
        "enter",
        "entered",
        "hello",
        "servers",
        "shadow",
        "shares",
        "tell",
        "tick",
        "tock",
    },
    (CONTROL, DATA, "tcp"): {
        "berths",
        "chart",
        "leaving",
        "lost",
        "moved",
        "pilots",
        "servers",
        "sum",
        "tock",
        "view",
        "whole",
    },
    (DATA, CONTROL, "tcp"): {
        "add",
        "back",
        "berth",
        "hello",
        "in",
        "out",
        "past",
        "spent",
        "tick",
        "whole",
    },
    (DATA, DATA, "tcp"): {"chart", "fetch", "whole"},
    (DATA, DATA, "udp"): {"leaving", "probe", "reach", "reached", "servers", "word"},
}
# Decoders by direction of a fixture; of two, the test distinguishes request and reply.
DECODERS: dict[tuple[str, str, str], tuple[messages.MessageDecoder[Any], ...]] = {
    (CONTROL, CONTROL, "tcp"): (messages.NODE_REQUESTS, messages.NODE_REPLIES),
    (CONTROL, DATA, "tcp"): (messages.CONTROL_PLANE_MESSAGES,),
    (DATA, CONTROL, "tcp"): (messages.DATA_PLANE_REQUESTS,),
    (DATA, DATA, "tcp"): (messages.PEER_REQUESTS, messages.PEER_REPLIES),
    (DATA, DATA, "udp"): (messages.DATAGRAMS,),
}
# Messages of a direction that are read though no version has sent them there.
NEVER_SENT = {messages.PEER_REPLIES: {"servers", "leaving"}}
# Replies that taking a message brings at once on the same cable; any of a set.
REPLIES = {
    (CONTROL, CONTROL, "tick"): {"tock"},
    (DATA, CONTROL, "tick"): {"tock"},
    (DATA, CONTROL, "whole"): {"view"},
    (DATA, CONTROL, "hello"): {"view"},
    (DATA, CONTROL, "add"): {"sum", "moved"},
    (DATA, CONTROL, "berth"): {"berths"},
    (DATA, DATA, "fetch"): {"chart", "whole"},
}
WITHOUT_ARGUMENTS = {(CONTROL, "cores"), (DATA, "tick"), (DATA, "whole")}  # by sender


def plain(value: Any) -> Any:
    """Return a value as the fixtures have it in JSON."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {str(key): plain(one) for key, one in value.items()}
    return value


def recorded(name: str) -> Any:
    return json.loads((FIXTURES / name).read_text())


@pytest.mark.parametrize("schema", [1, 2, 3])
def test_a_core_machines_database_is_read(tmp_path: Path, schema: int) -> None:
    shutil.copy(FIXTURES / f"core_schema_{schema}.sqlite", tmp_path / FILE)
    for _ in range(2):  # as it was found, and as it was moved on
        book = ReplicaStore(str(tmp_path))
        found = book.load()
        assert found is not None and not book.quarantined
        durable, replica = found
        loaded = {"durable": durable, "replica": replica.pack(), "servers": book.load_endpoints()}
        assert plain(loaded) == recorded(f"core_schema_{schema}.json")
        book.close()


@pytest.mark.parametrize("form", [1, 2])
def test_a_snapshot_is_read(form: int) -> None:
    order = snapshot.unpack((FIXTURES / f"snapshot_{form}.json").read_bytes())
    assert order.is_ok() and plain(order.ok.pack()) == recorded(f"snapshot_{form}.unpacked.json")


@pytest.mark.parametrize("role", [CONTROL, DATA])
def test_a_settings_file_is_read(role: str) -> None:
    settings = parse_settings((FIXTURES / f"settings_{role}.conf").read_text())
    assert msgspec.to_builtins(settings) == recorded(f"settings_{role}.json")


def test_a_fleet_file_is_read() -> None:
    fleet = load_fleet(FIXTURES / "fleet.toml", configs=False)
    assert plain(msgspec.to_builtins(fleet.file)) == recorded("fleet.json")


def test_an_agents_store_is_read(tmp_path: Path) -> None:
    shutil.copy(FIXTURES / "agent.sqlite", tmp_path)
    store = Store(tmp_path / "agent.sqlite")
    expected = recorded("agent.json")
    readers = {
        "records": store.records,
        "slots": store.permits,
        "operations": store.operations,
        "processes": store.processes,
        "history": store.history,
    }
    found = {name: plain(msgspec.to_builtins(readers[name]())) for name in expected}
    store.close()
    assert found == expected


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("record", InstanceRecord),
        ("operation", Operation),
        ("slot", Permit),
        ("messages", list[wire.Message]),
        ("answer", wire.Answer),
    ],
)
def test_stored_data_and_messages_of_agents_keep_their_form(name: str, kind: Any) -> None:
    form = recorded("agent_messages.json")[name]
    read = msgspec.convert(form, kind)
    assert json.loads(msgspec.json.encode(read)) == form


# Messages.


class Link:
    """Keeps the names of what is said on a cable."""

    broken = False

    def __init__(self) -> None:
        self.said: list[str] = []

    def send(self, data: bytes) -> None:
        self.said.append(msgpack.unpackb(data, strict_map_key=False)[0])

    def finish(self) -> None:
        pass

    def close(self) -> None:
        pass


def unpacked(one: dict[str, Any]) -> list[Any]:
    message: list[Any] = msgpack.unpackb(bytes.fromhex(one["bytes"]), strict_map_key=False)
    return message


def decoded(packed: list[Any]) -> chain_messages.ReplicationMessage:
    message = chain_messages.decode(packed)
    assert message is not None
    return message


MessageT = TypeVar("MessageT", bound=messages.Message)


def typed(decoder: messages.MessageDecoder[MessageT], wire_message: list[Any]) -> MessageT:
    message = decoder.decode(wire_message)
    assert message is not None
    return message


def receiver(system: VirtualSystem, one: dict[str, Any], link: Any) -> Callable[[list[Any]], object]:
    """Return what takes such a message today."""
    connection = PeerConnection(link, VirtualClock())
    connection.peer_address, kind = one["sender"], one["kind"]
    session = PeerSession(connection)
    control_plane, data_plane = system.control_planes[CONTROL_PLANES[0]], system.data_planes[DATA_PLANES[0]]
    if one["to"] == CONTROL:
        if kind == "chain":
            members = tuple(Member(f"10.1.0.{n}", "first") for n in (1, 2, 3))
            chain = ReplicationChain(members[0], View(1, members, members), 1)
            return lambda message: chain.receive(0.0, connection.peer_address, decoded(message[1]))
        if kind == "tock" or (kind == "cores" and len(one["message"]) > 1):
            peers = control_plane.replication.peers
            return lambda message: peers.on_message(connection, typed(messages.NODE_REPLIES, message))
        if one["from"] == CONTROL and kind != "hello":
            session.is_control_plane_node = True
        return lambda message: control_plane.peer_server.receive(session, message)
    if one["from"] == CONTROL:
        on_message = data_plane.control_client.on_message
        return lambda message: on_message(connection, typed(messages.CONTROL_PLANE_MESSAGES, message))
    if one["transport"] == "udp":
        return lambda message: data_plane.gossip.on_datagram(typed(messages.DATAGRAMS, message))
    if kind == "fetch":
        return lambda message: data_plane.state_exchange.on_fetch(
            connection, typed(messages.PEER_REQUESTS, message)
        )
    return lambda message: data_plane.local_state.on_peer_message(
        connection, typed(messages.PEER_REPLIES, message)
    )


def cut_short(one: dict[str, Any]) -> list[Any]:
    """Return the message without all that follows its name, which a receiver that knows the name refuses."""
    kind, inner = one["kind"], one["inner"]
    return [kind, [inner]] if inner else [kind, one["sender"]] if one["transport"] == "udp" else [kind]


@pytest.mark.parametrize("direction", KINDS, ids="-".join)
def test_its_receiver_takes_each_message(
    monkeypatch: pytest.MonkeyPatch, direction: tuple[str, str, str]
) -> None:
    async def observation(system: VirtualSystem) -> None:
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await system.commit_config(CONTROL_PLANES[0], 1)
        await system.wait_until(
            lambda: (
                data_plane.control_client.is_synchronized
                and data_plane.control_client.config.routing_table.version == 1
            )
        )
        CURRENT_MACHINE.set(
            CONTROL_PLANES[0] if direction[1] == CONTROL else DATA_PLANES[0]
        )  # who dials where a message asks for it
        for one in MESSAGES:
            if (one["from"], one["to"], one["transport"]) != direction:
                continue
            link = Link()
            receiver(system, one, link)(unpacked(one))
            replies = REPLIES.get((one["from"], one["to"], one["kind"]))
            assert replies is None or replies & set(link.said), one["kind"]
            if (one["from"], one["kind"]) not in WITHOUT_ARGUMENTS:
                with pytest.raises(DECODE_ERRORS):
                    receiver(system, one, Link())(cut_short(one))
        await trio.sleep(0.1)

    run_virtual_system(monkeypatch, observation)


def test_messages_are_packed_to_the_same_bytes() -> None:
    for one in MESSAGES:
        message = unpacked(one)
        assert plain(message) == one["message"]
        assert msgpack.packb(message).hex() == one["bytes"]


@pytest.mark.parametrize(
    "fixture", [one for one in MESSAGES if one["kind"] == "chain"], ids=lambda one: str(one["inner"])
)
def test_a_chain_message_is_encoded_to_the_bytes_it_was_decoded_from(fixture: dict[str, Any]) -> None:
    kind, packed = unpacked(fixture)
    message = decoded(packed)
    assert fixture["inner"] == message.KIND
    assert msgpack.packb([kind, message.encode()]).hex() == fixture["bytes"]


def test_a_chain_message_of_an_unknown_kind_is_no_message() -> None:
    assert chain_messages.decode(["of a later version", 1, 2]) is None


def decoder_of(one: dict[str, Any]) -> messages.MessageDecoder[Any]:
    """Return the decoder of the direction that a fixture was recorded in."""
    decoders = DECODERS[one["from"], one["to"], one["transport"]]
    is_reply = one["kind"] in decoders[-1].message_types
    if one["kind"] == "cores":
        is_reply = len(one["message"]) > 1
    return decoders[-1] if is_reply else decoders[0]


@pytest.mark.parametrize("direction", DECODERS, ids="-".join)
def test_each_message_is_decoded_to_its_class_and_encoded_to_the_same_bytes(
    direction: tuple[str, str, str],
) -> None:
    found: dict[messages.MessageDecoder[Any], set[str]] = {one: set() for one in DECODERS[direction]}
    for one in MESSAGES:
        if (one["from"], one["to"], one["transport"]) != direction:
            continue
        decoder = decoder_of(one)
        message = decoder.decode(unpacked(one))
        assert message is not None and type(message) is decoder.message_types[one["kind"]]
        assert message.wire_name == one["kind"]
        assert message.encode().hex() == one["bytes"]
        found[decoder].add(one["kind"])
    for decoder, kinds in found.items():
        assert kinds == set(decoder.message_types) - NEVER_SENT.get(decoder, set())


def test_a_message_that_is_cut_short_is_refused_by_its_decoder() -> None:
    for one in MESSAGES:
        if one["kind"] == "chain" or (one["from"], one["kind"]) in WITHOUT_ARGUMENTS:
            continue
        with pytest.raises(DECODE_ERRORS):
            decoder_of(one).decode(cut_short(one))


def test_there_is_a_fixture_of_every_kind_of_message() -> None:
    found: dict[tuple[str, str, str], set[str]] = {}
    for one in MESSAGES:
        found.setdefault((one["from"], one["to"], one["transport"]), set()).add(one["kind"])
    assert found == KINDS
    assert {one["inner"] for one in MESSAGES if one["kind"] == "chain"} == CHAIN
