"""Version 0 is a version like any other: it is never taken for the absence of a configuration."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tests.support.storage_files import DURABLE
from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    VirtualSystem,
    config_text,
    read_config,
    replace_config,
    run_virtual_system,
    send_heartbeat,
)
from wickspring.common.digest import digest_of
from wickspring.common.messages import Message, SubmitUpdate, UpdateOutcome
from wickspring.common.messages.between_nodes import node_status_version
from wickspring.controlplane.api.calls import ApiRequest
from wickspring.controlplane.api.snapshot import SnapshotDownload, SnapshotRestore
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.chain import ReplicationChain
from wickspring.controlplane.replication.messages import Pass
from wickspring.controlplane.replication.replica import (
    NO_CONFIG_IDENTITY,
    CommitOutcome,
    Config,
    Replica,
    Update,
)
from wickspring.controlplane.replication.update_passing import UpdatePassing
from wickspring.controlplane.replication.update_submission import UpdateSubmitter
from wickspring.controlplane.replication.view import Member, View
from wickspring.controlplane.storage import ReplicaStore
from wickspring.lab.simulation.replication.group import SimulatedGroup

HEAD, OTHER = CONTROL_PLANES[0], CONTROL_PLANES[1]
EPOCH = 3
TEXT = b"text"
R0 = Config(EPOCH, 0, TEXT, digest_of(TEXT))
# `Replica().pack()` as the version before has stored and sent it.
PACKED_WITHOUT_CONFIG = [[0, 0, b"", b"", [], b""], {}]


@pytest.mark.parametrize("ip", [HEAD, OTHER])
def test_r0_is_read_back_and_routes_requests(monkeypatch: pytest.MonkeyPatch, ip: str) -> None:
    """Guards against an r0 that is acknowledged and is nowhere (review/7)."""

    async def check(system: VirtualSystem) -> None:
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        assert (await send_heartbeat(system.control_planes[HEAD], "i1", 1)).status == 200
        assert (await read_config(system.control_planes[ip])).status == 404
        assert (await replace_config(system.control_planes[ip], 0)).status == 200
        for control_plane in list(system.control_planes.values()):
            assert (await read_config(control_plane)).body == config_text(0)
        await system.wait_until(lambda: data_plane.is_ready)
        assert data_plane.control_client.config.routing_table.version == 0

    run_virtual_system(monkeypatch, check)


def test_a_second_text_of_r0_is_refused_and_a_higher_version_replaces_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two acknowledged texts of one number."""

    async def check(system: VirtualSystem) -> None:
        control_plane = system.control_planes[OTHER]
        assert (await replace_config(control_plane, 0)).status == 200
        assert (await replace_config(control_plane, 0)).status == 200
        assert (await replace_config(control_plane, 0, "other")).status == 409
        assert (await replace_config(control_plane, 1)).status == 200
        assert (await replace_config(control_plane, 0)).status == 200
        assert (await read_config(control_plane)).body == config_text(1)

    run_virtual_system(monkeypatch, check)


def test_r0_reaches_data_planes_that_start_later_and_those_that_only_reach_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an r0 that control planes hold and data planes take for none."""

    async def check(system: VirtualSystem) -> None:
        assert (await replace_config(system.control_planes[HEAD], 0)).status == 200
        first = await system.start_data_plane(DATA_PLANES[0])
        await system.wait_until(lambda: first.control_client.config.routing_table.version == 0)
        second = await system.start_data_plane(DATA_PLANES[1])
        offer = second.state_exchange.local_state.digest()
        assert offer.version is None and first.state_exchange.local_state.digest().version == 0

    run_virtual_system(monkeypatch, check)


def test_a_snapshot_with_r0_is_restored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a snapshot that restores r0 as no configuration."""
    saved = snapshot.pack(Replica(Config(1, 0, config_text(0), digest_of(config_text(0)))), 1)

    async def check(system: VirtualSystem) -> None:
        control_plane = system.control_planes[HEAD]
        response = await SnapshotRestore(control_plane).call(ApiRequest("POST", "", saved))
        assert json.loads(response.body) == {"generation": "r0", "leaving": 0}
        assert (await read_config(control_plane)).body == config_text(0)
        assert (await replace_config(control_plane, 1)).status == 200
        response = await SnapshotDownload(control_plane).call(ApiRequest("GET", "", b""))
        assert snapshot.unpack(response.body).ok == Update(1, config_text(1), {})

    run_virtual_system(monkeypatch, check)


# Peers of an earlier version.


class _EarlierPassing(UpdatePassing):
    """Confirms r0 without storing it, as earlier versions do under `python -O`."""

    def on_pass(self, now: float, sender: str, message: Pass) -> None:
        chain = self._chain
        if message.state.config.version == 0:
            self._pass_down(message.sequence, replace(message.state, config=chain.replica.config))
            return
        super().on_pass(now, sender, message)


class EarlierChain(ReplicationChain):
    """A node of an earlier version."""

    update_passing_type = _EarlierPassing


@pytest.mark.parametrize("earlier", ["m1", "m2"])
def test_r0_is_not_acknowledged_while_a_member_does_not_store_it(earlier: str) -> None:
    """Guards against an acknowledgement from members of an earlier version, which take r0 for none."""
    group = SimulatedGroup(7)
    for ip in (earlier, "m0"):
        group.stop(group.nodes[ip])
        group.chain_type = EarlierChain if ip == earlier else ReplicationChain
        group.start(group.nodes[ip])
    group.run(2500.0)
    outcomes: list[CommitOutcome] = []
    for _ in range(5):
        group.send_update("m0", Update(0, TEXT), outcomes.append)
        group.run(group.now + 1000.0)
    assert CommitOutcome.COMMITTED not in outcomes


class _ForwardingHost:
    """A node whose head, of an earlier version, acknowledges r0 and stores nothing."""

    def __init__(self, head_state: Replica) -> None:
        members = (Member(HEAD, "first"), Member(OTHER, "first"))
        self.chain = ReplicationChain(members[1], View(1, members, members), 1)
        self.submitter = UpdateSubmitter(self)
        self._head_state = head_state

    def send(self, address: str, message: Message) -> bool:
        assert isinstance(message, SubmitUpdate)
        state = self._head_state.pack() if message.with_state else None
        outcome = UpdateOutcome(message.ticket, int(CommitOutcome.COMMITTED), state)
        self.submitter.on_update_outcome(outcome)
        return True

    def submit_to_chain(self, ticket: int, update: Update) -> None:
        raise AssertionError("not the head")

    def cancel_in_chain(self, ticket: int) -> None:
        raise AssertionError("not the head")


@pytest.mark.parametrize(
    ("head_state", "expected"),
    [
        (Replica(), CommitOutcome.NOT_YET),
        (Replica(replace(R0, document=b"other", digest=digest_of(b"other"))), CommitOutcome.NOT_YET),
        (Replica(R0), CommitOutcome.COMMITTED),
        (Replica(R0.successor(1, b"next", EPOCH)), CommitOutcome.COMMITTED),
    ],
    ids=["none", "other text", "r0", "r1"],
)
def test_the_word_of_a_head_needs_a_state_that_shows_it(head_state: Replica, expected: CommitOutcome) -> None:
    """Guards against passing on an acknowledgement of what the head does not hold."""
    result = trio.run(_ForwardingHost(head_state).submitter.submit, Update(0, TEXT), False)
    assert result.outcome is expected


@given(
    stored=st.none() | st.tuples(st.integers(0, 3), st.sampled_from("xy")),
    sent=st.tuples(st.integers(0, 3), st.sampled_from("xy")),
)
def test_an_acknowledgement_needs_a_state_that_shows_the_version_or_a_newer_one(
    stored: tuple[int, str] | None, sent: tuple[int, str]
) -> None:
    """Guards against a 200 for what no replica holds, whatever the versions."""
    replica = Replica()
    if stored is not None:
        replica.apply(Update(stored[0], stored[1].encode()), EPOCH)
    outcome = replica.config.outcome_of(sent[0], digest_of(sent[1].encode()))
    is_held = stored is not None and (stored == sent or stored[0] > sent[0])
    assert (outcome is CommitOutcome.COMMITTED) == is_held


# Stored files and messages.


@given(
    version=st.integers(0, 2**62),
    text=st.binary(min_size=1),
    history=st.lists(st.integers(0, 2**62), unique=True, max_size=4),
)
def test_every_version_survives_messages_files_and_references(
    version: int, text: bytes, history: list[int]
) -> None:
    """Guards against a number that messages or files take for something else."""
    entries = tuple((earlier, digest_of(b"%d" % earlier)) for earlier in sorted(history))
    replica = Replica(Config(EPOCH, version, text, digest_of(text), entries))
    assert Replica.unpack(replica.pack()) == replica
    reference = replica.abbreviated_for(replica.config.identity)
    assert Replica.unpack(reference.pack()).completed_from(replica) == replica
    assert Update.unpack(Update(version, text).pack()) == Update(version, text)


def test_the_absence_of_a_configuration_is_packed_as_by_earlier_versions() -> None:
    """Guards against files and messages that peers of another version read differently."""
    assert Replica().pack() == PACKED_WITHOUT_CONFIG
    assert Replica.unpack(PACKED_WITHOUT_CONFIG) == Replica()
    assert Update().pack() == (0, b"", {}) and Update.unpack((0, b"", {})) == Update()
    absent = Replica().abbreviated_for(NO_CONFIG_IDENTITY)
    assert Replica.unpack(absent.pack()).completed_from(Replica()) == Replica()
    assert R0.identity != NO_CONFIG_IDENTITY and R0.rank > Config(EPOCH).rank
    assert [node_status_version(version) for version in (None, 0, 1)] == [0, -1, 1]


def test_r0_is_stored_and_loaded(tmp_path: Path) -> None:
    """Guards against a file from which r0 comes back as none."""
    store = ReplicaStore(str(tmp_path))
    store.save(dict(DURABLE), Replica(R0))
    store.close()
    store = ReplicaStore(str(tmp_path))
    loaded = store.load()
    assert loaded is not None and loaded[1] == Replica(R0)
    store.close()
