"""What a control-plane node saves is loaded by the next process."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from tests.support.storage_files import DURABLE, MEMBERS, reopened, replica
from wickspring.common.config_version import version_order
from wickspring.common.digest import digest_of
from wickspring.controlplane.replication.replica import Config, Replica, Update
from wickspring.controlplane.storage import ReplicaStore


def test_random_saves_are_loaded_completely(tmp_path: Path) -> None:
    random = Random(4)
    stored = Replica()
    durable = dict(DURABLE)
    store = ReplicaStore(str(tmp_path))
    for step in range(300):
        epoch = 3 + step // 50
        if random.random() < 0.3:
            stored.apply(
                Update(version_order(stored.config.version) + random.randint(1, 3), b"%d" % step), epoch
            )
        stored.add_departures({f"i{random.randrange(80)}": random.choice((1, 2))})
        if len(stored.departures) > 60:  # as over the limit of departures
            del stored.departures[next(iter(stored.departures))]
        if step % 50 == 25:
            view = [epoch + 1, MEMBERS, MEMBERS]
            durable["accepted"] = [epoch + 1, [step, "b"], view, stored.with_epoch(epoch + 1).pack()]
        elif step % 50 == 0:
            durable |= {"accepted": None, "view": [epoch, MEMBERS, MEMBERS[:1]]}
            stored = stored.with_epoch(epoch)
        elif step % 50 == 40:  # a document of another epoch replaces it
            lower = Config(epoch, 2, b"other", digest_of(b"other"), ((1, digest_of(b"%d" % step)),))
            stored = Replica(lower, stored.departures)
        store.save(durable, stored.copy())
        if random.random() < 0.1:
            store = reopened(store)
            found = store.load()
            assert found == (durable, stored)
            assert found is not None and list(found[1].departures) == list(stored.departures)
            assert not store.quarantined
    store.close()


def test_stored_data_planes_outlive_saves_of_the_replica(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    assert store.load_data_planes() == []
    store.save_data_planes(["10.0.0.1", "10.0.0.2"])
    store.save(DURABLE, replica(1))
    store.save_endpoints([["s1", 1]])
    store = reopened(store)
    assert store.load() == (DURABLE, replica(1))
    assert store.load_data_planes() == ["10.0.0.1", "10.0.0.2"]
    store.close()


def test_stored_endpoints_are_not_part_of_the_replica(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save_endpoints([["s1", 1]])
    store = reopened(store)
    assert store.load() is None and store.load_endpoints() == [["s1", 1]]
    store.save(DURABLE, replica(2))
    store.save_endpoints([["s1", 2]])
    store.db.execute("update part set data = x'00' where name = 'servers'")
    store = reopened(store)
    assert store.load() == (DURABLE, replica(2))
    assert store.load_endpoints() == []  # heartbeats report them again
    store.close()


def test_a_replica_without_its_document_is_not_saved(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(2))
    for config in (Config(3, 9, b"", digest_of(b"x")), Config(3, 9, b"y", digest_of(b"x"))):
        with pytest.raises((AssertionError, ValueError)):
            store.save(DURABLE, Replica(config))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(2))
    store.close()


def test_departures_that_are_forgotten_are_deleted_on_disk(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(DURABLE, replica(2, {"i1": 1, "i2": 2}))
    store.save(DURABLE, replica(1))
    store = reopened(store)
    assert store.load() == (DURABLE, replica(1)) and not store.quarantined
    store.close()
