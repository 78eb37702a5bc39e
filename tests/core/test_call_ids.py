"""Which ids are under way, and which must not run again."""

from __future__ import annotations

from wickspring.core.call_ids import CallIds


def test_an_id_is_open_until_its_own_request_ends() -> None:
    ids = CallIds()
    ids.add("a", 1)
    ids.remove("a", 2)  # another request with the same id, which was rejected
    assert ids.is_open("a", 0.0)
    ids.remove("a", 1)
    assert not ids.is_open("a", 0.0)


def test_requests_without_an_id_are_not_recorded() -> None:
    ids = CallIds()
    ids.add("", 1)
    ids.forbid_repeat("", 1000.0)
    assert not ids.open and not ids.unrepeatable


def test_ids_of_the_predecessor_are_kept_until_they_expire() -> None:
    ids = CallIds()
    ids.forbid_repeat("b", 900.0)
    ids.take_over({"a": 500.0}, {"b": 700.0, "c": 800.0})
    assert ids.is_open("a", 499.0) and not ids.is_open("a", 500.0)
    assert ids.unrepeatable == {"b": 900.0, "c": 800.0}  # the later time of two
    ids.expire(1000.0)
    assert not ids.unrepeatable and not ids.is_open("a", 0.0)
