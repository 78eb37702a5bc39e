"""The store of an agent: atomic changes, and files of later programs."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest

from tests.support.fleet import record
from wickspring.agent.store import Process, Store, StoreChange, StoreError


def test_a_store_change_is_atomic(tmp_path: Path) -> None:
    store = Store(tmp_path / "a.db")
    store.apply(
        StoreChange(
            records=[record("n0")], processes=[Process("n0", "t", 0, 0, "1", 0)], events=[(1.0, "started")]
        )
    )
    with pytest.raises(StoreError):
        store.apply(StoreChange(records=[record("n1")], events=[(2.0, None)]))  # type: ignore[list-item]
    store.close()
    again = Store(tmp_path / "a.db")
    assert [one.name for one in again.records()] == ["n0"]
    assert [event.text for event in again.history()] == ["started"]
    assert again.processes() == [Process("n0", "t", 0, 0, "1", 0)]


def test_a_store_of_a_later_program_is_refused(tmp_path: Path) -> None:
    Store(tmp_path / "a.db").close()
    with sqlite3.connect(tmp_path / "a.db") as db:
        db.execute("update meta set value='99' where key='form'")
    with pytest.raises(StoreError, match="later program"):
        Store(tmp_path / "a.db")
