"""Configurations that were acknowledged before a rule was added: they are read, restored and sent again."""

from __future__ import annotations

from typing import Any, cast

import msgspec
import pytest
import trio

from wickspring.common.digest import digest_of
from wickspring.common.routing_table import build_routing_table
from wickspring.controlplane.api.calls import ApiRequest, ApiResponse, ControlPlaneApi
from wickspring.controlplane.api.config import ConfigReplace
from wickspring.controlplane.api.config_validation import validate_config, validate_stored_config
from wickspring.controlplane.replication import snapshot
from wickspring.controlplane.replication.replica import Config, Replica, Update
from wickspring.controlplane.replication.update_submission import UpdateResult
from wickspring.lab.emulation.local_gateway import gateway_config

VERSION = 7


def change_tenant(document: dict[str, Any], **fields: Any) -> None:
    document["tenants"][0].update(fields)


def add_spelling(document: dict[str, Any], first: str, second: str) -> None:
    """Name one path prefix twice, in two spellings."""
    rule = document["sockets"][0]["policy"][0]
    rules = [{**rule, "name": prefix, "pattern": {"path_prefix": prefix}} for prefix in (first, second)]
    document["sockets"].append({"host": "other.example", "policy": rules})


def make_document(odd: str) -> bytes:
    """Return a configuration that earlier versions have taken, and that is refused today."""
    document = msgspec.json.decode(gateway_config(VERSION))
    if odd == "name":
        change_tenant(document, name="Tintas do Porto ")
    elif odd == "key":
        change_tenant(document, api_keys=["key "])
    elif odd == "public":
        document["sockets"][0]["policy"][0]["public"] = "false"
    elif odd == "tls":
        document["backends"][0]["tls"] = "false"
    elif odd == "spelling":
        add_spelling(document, "/são/", "/s%C3%A3o/")
    return msgspec.json.encode(document)


ODD = ("name", "key", "public", "tls", "spelling")


@pytest.mark.parametrize("odd", ODD)
def test_a_document_of_before_is_read_and_restored_and_a_new_one_like_it_refused(odd: str) -> None:
    """Guards against a snapshot that cannot be restored since a rule was added after it was taken."""
    body = make_document(odd)
    assert validate_config(body).is_error()
    assert validate_stored_config(body).ok == VERSION
    assert build_routing_table(body).version == VERSION
    packed = snapshot.pack(Replica(Config(1, VERSION, body, digest_of(body))), 1)
    assert snapshot.unpack(packed).ok == Update(VERSION, body, {})


@pytest.mark.parametrize("change", [{"backends": []}, {"tenants": [{"name": ""}]}, {"generation": "7"}])
def test_a_document_that_was_never_taken_is_no_stored_one_either(change: dict[str, Any]) -> None:
    document = msgspec.json.decode(gateway_config(VERSION))
    assert validate_stored_config(msgspec.json.encode(document | change)).is_error()


class StubUpdates:
    """Holds a replica, and takes no update."""

    def __init__(self, replica: Replica | None) -> None:
        self.replica = replica

    async def read(self) -> Replica | None:
        return self.replica

    async def commit(self, update: Update, read: bool = False) -> UpdateResult:
        raise AssertionError("a document that is refused today is never committed")


class StubControlPlane:
    """Has the updates alone."""

    def __init__(self, replica: Replica | None) -> None:
        self.updates = StubUpdates(replica)


def replace(body: bytes, replica: Replica | None) -> ApiResponse:
    """Send a configuration to a node with a replica; None where it cannot read in time."""
    handler = ConfigReplace(cast(ControlPlaneApi, StubControlPlane(replica)))
    return trio.run(handler.call, ApiRequest("POST", "/config/replace", body))


@pytest.mark.parametrize("odd", ODD)
def test_an_acknowledged_document_that_is_sent_again_is_acknowledged_again(odd: str) -> None:
    """Guards against 400 for a change that was acknowledged, sent again after an upgrade."""
    body = make_document(odd)
    held = Config(1, VERSION, body, digest_of(body))
    assert replace(body, Replica(held)).status == 200
    assert replace(body, Replica(held.successor(9, gateway_config(9), 1))).status == 200
    assert replace(body, None).status == 503
    other = gateway_config(VERSION)
    assert replace(body, Replica(Config(1, VERSION, other, digest_of(other)))).status == 400
    assert replace(body, Replica()).status == 400
    assert replace(b"{}", None).status == 400
