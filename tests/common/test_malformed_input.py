"""Fuzzes each input from outside and from other processes: never a crash, always a known kind of error."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
import trio

from tests.common.test_decoding import SETTINGS, document
from tests.support.recording_connection import RecordingConnection
from wickspring.common import settings as settings_module
from wickspring.common.connection import DECODE_ERRORS, PeerConnection
from wickspring.common.digest import digest_of
from wickspring.common.endpoints import Endpoint
from wickspring.common.errors import ERROR_RESPONSES, ErrorKind, GatewayError
from wickspring.common.messages import CONTROL_PLANE_MESSAGES, DATAGRAMS, ClusterView, QuotaTotal
from wickspring.common.settings_file import parse_address
from wickspring.controlplane.api.calls import ApiRequest
from wickspring.controlplane.api.heartbeat import Heartbeat
from wickspring.controlplane.data_plane_sessions import PeerSession
from wickspring.controlplane.process import ControlPlane
from wickspring.controlplane.replication.messages import decode
from wickspring.controlplane.replication.replica import Config, Replica, Update
from wickspring.controlplane.replication.view import Member, View
from wickspring.dataplane.process import DataPlane
from wickspring.lab.faults.chaos import Chaos
from wickspring.lab.simulation.replication.messages import (
    LeaseGrant,
    NodeStatus,
    SimulatedMessage,
    SubmitUpdate,
    UpdateOutcome,
)
from wickspring.membership.anti_entropy import Digest, EntryVersion

ODD: list[Any] = [
    None,
    -1,
    0,
    2**63,
    -(2**63),
    1e308,
    float("inf"),
    float("nan"),
    "",
    "x",
    "10.0.0.1:80",
    "\x00",
    b"",
    b"\xff",
    [],
    {},
    [[]],
    {"a": {}},
    True,
    [None] * 9,
    {"i": -1},
]

_FIRST = View(1, (Member("a", "first"),), (Member("a", "first"),)).pack()
PEER_IP = "127.0.9.9"  # of a data plane that is only named in messages: nothing is bound to it or sent there
PASS = ["pass", _FIRST, 1, Replica(Config(1, 1, b"x", digest_of(b"x")), {"i": 1}).pack()]


def corrupt(random: Random, value: Any) -> Any:
    """Return a message with one of its parts, at any depth, replaced, dropped or doubled."""
    if isinstance(value, (list, tuple)) and value and random.random() < 0.85:
        parts, at = list(value), random.randrange(len(value))
        how = random.random()
        if how < 0.1:
            del parts[at]
        elif how < 0.2:
            parts.insert(at, parts[at])
        else:
            parts[at] = corrupt(random, parts[at])
        return parts
    if isinstance(value, dict) and value and random.random() < 0.85:
        key = random.choice(list(value))
        return {**value, key: corrupt(random, value[key])}
    return copy.deepcopy(random.choice(ODD))


def test_settings_are_parsed_or_refused() -> None:
    random = Random(3)
    for _ in range(2000):
        lines = SETTINGS.splitlines()
        at = random.randrange(len(lines))
        name = lines[at].partition("=")[0]
        lines[at] = random.choice((f"{name}={random.choice(ODD)}", f"{name}.x=1", name, f"={name}", "\\u12"))
        try:
            read = settings_module.parse_settings("\n".join(lines))
        except GatewayError as error:
            assert error.detail.kind is ErrorKind.BAD_SETTINGS and error.detail.reason
        else:
            assert 0 < read.peer_port < 65536
            assert all(parse_address(one) for one in read.seed_addrs)


def test_heartbeats_are_accepted_or_refused_with_a_known_status(tmp_path: Path) -> None:
    random = Random(4)
    beat = {
        "address": "10.1.0.9:8080",
        "build_info": {"service": "s", "generation": "v1", "zone": "a", "capacity": 2},
        "condition": {"state": "ready", "call_seq": 4, "cold_left_s": 0.5},
    }

    async def play(control_plane: ControlPlane) -> None:
        taken = 0
        for _ in range(2000):
            try:
                body = json.dumps(corrupt(random, beat)).encode()
            except TypeError:  # bytes have no form in JSON
                body = b"\xff"
            said = await Heartbeat(control_plane).call(ApiRequest("POST", "", body, {"id": "i1"}))
            assert said.status in (
                200,
                ERROR_RESPONSES[ErrorKind.BAD_REQUEST].status,
                ERROR_RESPONSES[ErrorKind.NOT_COMMITTED].status,
            )
            taken += said.status == 200
        assert 0 < taken < 1000
        beat["condition"] = {"state": "ready", "call_seq": 10**25}  # above what a message can carry
        said = await Heartbeat(control_plane).call(
            ApiRequest("POST", "", json.dumps(beat).encode(), {"id": "i2"})
        )
        assert said.status == 400 and "i2" not in control_plane.components.registry.endpoints
        for one in control_plane.components.registry.present():
            parse_address(one.address)

    with_control_plane(tmp_path, play)


def with_control_plane(folder: Path, play: Any) -> None:
    settings = SETTINGS.replace("ip=10.1.0.30", "ip=10.1.0.33") + f"data_dir={folder}\n"
    settings = settings.replace("10.1.0.33:8783,10.2.0.25:8783", "10.1.0.33:8783")

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            control_plane = ControlPlane(settings_module.parse_settings(settings), nursery, 1)
            control_plane.replication.lease.install(0.0, control_plane.replication.chain.view)
            control_plane.replication.chain.committed.apply(Update(7, json.dumps(document()).encode()), 1)
            control_plane.on_committed(control_plane.replication.chain.committed)
            await play(control_plane)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_a_control_plane_survives_malformed_messages(tmp_path: Path) -> None:
    """From data planes and nodes: only errors that end a connection are raised, and it goes on counting."""
    random = Random(5)
    server = Endpoint("i1", "s", "10.1.0.9:80", "a", 2).pack(0.0)
    from_data_planes: list[list[Any]] = [
        ["hello", "pilot", "10.1.0.2", {"version": 3}],
        ["add", 1, "n", False, 1],
        ["berth", 2, "s", "a"],
        ["out", "i1"],
        ["in", "i1", 1.2],
        ["spent", "n"],
        ["back", "n"],
        ["past", "n", [[0, 3], [4, 1]]],
        ["tick", 3, b"d"],
        ["tick"],
        ["whole"],
    ]
    from_nodes: list[list[Any]] = [
        ["tick", 5.0],
        ["cores"],
        ["chain", PASS],
        ["enter", 4, [1, b"{}", {"i1": 1}], True],
        ["entered", 4, 1, None],
        ["servers", [server]],
        ["shadow", {"n": [[0, 2]]}],
        ["shares", {"10.1.0.2": 900.0}, {"n": {"10.1.0.2": 0.5}}],
        ["alive", [["i1", 4]]],
        ["tell", ["i1"]],
    ]

    async def play(control_plane: ControlPlane) -> None:
        refused = 0
        for _ in range(4000):
            core = random.random() < 0.5
            session = PeerSession(cast(PeerConnection, RecordingConnection("p")), is_control_plane_node=core)
            if not core:
                control_plane.data_planes.add(session)
            message = corrupt(random, random.choice(from_nodes if core else from_data_planes))
            try:
                if isinstance(message, list) and message and isinstance(message[0], str):
                    control_plane.peer_server.receive(session, message)
            except DECODE_ERRORS:
                refused += 1
            control_plane.data_planes.remove(session)
        assert refused > 300
        connection = RecordingConnection("p")
        session = PeerSession(cast(PeerConnection, connection))
        control_plane.data_planes.add(session)
        while control_plane.clock.now() - control_plane.replication.lease.installed_at < 500.0:
            await trio.lowlevel.checkpoint()
        control_plane.peer_server.receive(
            session, ["add", 9, "n", False, control_plane.replication.lease.epoch]
        )
        answer = connection.sent[-1]
        assert isinstance(answer, QuotaTotal) and answer.request_number == 9
        control_plane.status()

    with_control_plane(tmp_path, play)


def test_a_data_plane_survives_malformed_messages_and_datagrams(loopback_net: int) -> None:
    random = Random(6)
    server = Endpoint("i1", "s", "10.1.0.9:80", "a", 2).pack(0.0)
    digest = Digest(PEER_IP, {PEER_IP: EntryVersion(1.0, 2, 3)}, "", "")
    probe = [digest.low, digest.high, digest.versions]
    messages: list[list[Any]] = [
        ["sum", 1, 3, 9, 20],
        ["moved", 1],
        ["berths", 1, [["i1", 1.0]], 3],
        ["servers", [server]],
        ["leaving", {"i2": 1}],
        ["pilots", ["10.1.0.2"]],
        ["lost", ["i1"]],
        ["whole", [server], {"i3": 2}, True],
        ["chart", 3, b"x", b"d", 2],
        ["view", 2, ["10.1.0.33"], ["10.1.0.33"], 8],
        ["tock", 2, 3, 8, 99, b"d", 1],
    ]
    datagrams: list[list[Any]] = [
        ["probe", PEER_IP, 1, probe, [0, b"", 0, 0], [["10.1.0.2", 1.0, 2, "x"]]],
        ["word", PEER_IP, 1, [["10.1.0.2", 1.0, 2, 3, False]], [0, b"", 0, 0], []],
        ["reach", PEER_IP, 3, "10.1.0.2"],
        ["reached", PEER_IP, 3],
        ["servers", PEER_IP, [server]],
        ["leaving", PEER_IP, {"i4": 1}],
    ]
    settings = settings_module.parse_settings(SETTINGS.replace("ip=10.1.0.30", f"ip=127.{loopback_net}.2.1"))

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            data_plane = DataPlane(settings, nursery, 1)
            refused = 0
            for step in range(4000):
                known = step % 2 == 0
                message = corrupt(random, random.choice(messages if known else datagrams))
                try:
                    if known:
                        received = CONTROL_PLANE_MESSAGES.decode(message)
                        if received is not None:
                            data_plane.control_client.on_message(
                                cast(PeerConnection, RecordingConnection("p")), received
                            )
                    else:
                        datagram = DATAGRAMS.decode(message)
                        if datagram is not None and datagram.sender == PEER_IP:
                            data_plane.gossip.on_datagram(datagram)
                except DECODE_ERRORS:
                    refused += 1
            assert refused > 300
            for candidate in data_plane.endpoints.by_id.values():
                parse_address(candidate.endpoint.address)
            data_plane.endpoints.forget(data_plane.clock.now(), 1.0)
            data_plane.endpoints.digest()
            nursery.cancel_scope.cancel()
            data_plane.datagrams.close()

    trio.run(play)


def test_a_data_plane_connects_to_every_member_of_a_view_whoever_reports_it(loopback_net: int) -> None:
    """After a fault of all nodes, the first to report a view may not have reached the others yet."""
    settings = settings_module.parse_settings(SETTINGS.replace("ip=10.1.0.30", f"ip=127.{loopback_net}.2.1"))

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            data_plane = DataPlane(settings, nursery, 1)
            members = ["10.1.0.33", "10.4.0.22"]  # the second is no seed, and the sender does not reach it
            data_plane.control_client.on_message(
                cast(PeerConnection, RecordingConnection("p")), ClusterView(2, members, ["10.1.0.33"], 8)
            )
            assert set(members) <= set(data_plane.control_client.connections.clients)
            owners = data_plane.control_client.connections.owners
            assert {owners.owner(f"t{n}") for n in range(50)} == set(members)
            nursery.cancel_scope.cancel()
            data_plane.datagrams.close()

    trio.run(play)


@pytest.mark.parametrize("seed", range(6))
def test_corrupted_messages_do_not_break_the_chain(seed: int) -> None:
    """Some messages between nodes arrive corrupted: they may be refused, and nothing is lost by them."""
    random, refused = Random(seed), 0

    def encode(message: SimulatedMessage) -> list[Any]:
        match message:
            case LeaseGrant(disk_id, status_sent_at, epoch):
                return ["tock", disk_id, status_sent_at, epoch]
            case SubmitUpdate(ticket, update):
                return ["enter", ticket, update.pack()]
            case UpdateOutcome(ticket, outcome):
                return ["entered", ticket, int(outcome)]
            case NodeStatus():
                raise AssertionError("a status is not corrupted")
            case _:
                return message.encode()

    class ChaosWithCorruption(Chaos):
        def send(self, sender: str, to: str, message: SimulatedMessage) -> None:
            if not isinstance(message, NodeStatus) and random.random() < 0.01:
                chain = self.nodes[to].chain if to in self.nodes else None
                try:
                    if (
                        chain is not None
                    ):  # a message that is refused changes no stored state and sends nothing
                        corrupted = decode(corrupt(random, encode(message)))
                        if corrupted is not None:
                            copy.deepcopy(chain).receive(self.now, sender, corrupted)
                except (*DECODE_ERRORS, AssertionError):
                    nonlocal refused
                    refused += 1
            super().send(sender, to, message)

    ChaosWithCorruption(seed, 3).play(25_000.0)
    assert refused > 0
