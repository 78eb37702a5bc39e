"""The protocol between agents, its TLS, and what an ingress loads of it."""

from __future__ import annotations

import datetime
import ssl
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import trio
import trio.testing
import trustme
from rpds import HashTrieMap

from tests.support.fleet import fleet_file
from wickspring.agent import wire
from wickspring.agent.node import Node
from wickspring.agent.tls import identify_peer
from wickspring.fleet.file import load_fleet
from wickspring.fleet.model import InstanceRecord, Kind
from wickspring.fleet.owner import OwnerState
from wickspring.settings.errors import ConfigError
from wickspring.tls import Certificates
from wickspring.wire import Greeting, WireError


@pytest.mark.parametrize(
    ("lowest", "highest", "use", "error"), [(1, 1, 1, ""), (1, 9, 1, ""), (5, 9, 0, "speaks protocol 1 to 1")]
)
def test_versions_agree_or_say_so(lowest: int, highest: int, use: int, error: str) -> None:
    reply = wire.PROTOCOL_VERSIONS.answer(Greeting(lowest, highest, "9.9"))
    assert reply.use == use
    assert error in reply.error
    assert not reply.error or "9.9" in reply.error


def test_unknown_fields_are_ignored() -> None:
    text = b'{"type":"show","history":3,"colour":"blue"}'
    assert msgspec.json.decode(text, type=wire.Message) == wire.Show(3)


def certificates(folder: Path, ca: trustme.CA, name: str, until: datetime.datetime | None = None) -> None:
    ca.issue_cert(name, not_after=until).private_key_and_cert_chain_pem.write_to_path(
        str(folder / f"{name}.pem")
    )


def test_certificates_that_have_expired_or_name_another_are_refused_and_renewed_ones_hold(
    tmp_path: Path,
) -> None:
    ca, stranger = trustme.CA(), trustme.CA()
    ca.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    for name in ("a0", "a1", "boss", "guest", "nobody"):
        certificates(tmp_path, ca, name)
    path = fleet_file(tmp_path, agents=2, instances=2, tls=True)
    fleet = load_fleet(path)
    past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)

    async def main() -> None:
        node = Node(fleet, "a0")
        node.instances.owner_state = OwnerState("a0")  # no processes in this test
        node.instances.controllers.clear()
        address = fleet.agent("a0").address
        async with trio.open_nursery() as nursery:
            host, _, port = address.rpartition(":")
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            nursery.start_soon(trio.serve_listeners, node.listeners.serve_tcp, listeners)

            async def request(name: str, to: str = "a0", message: wire.Message | None = None) -> wire.Answer:
                tls = Certificates(tmp_path / "ca.pem", tmp_path / f"{name}.pem", tmp_path / f"{name}.pem")
                return await wire.exchange(address, to, message or wire.Show(), tls.client(), to)

            assert not (await request("boss")).error
            assert not (await request("guest")).error
            submit = wire.Submit(Kind.DRAIN, ("n0",), id="op")
            assert "may read" in (await request("guest", message=submit)).error
            assert (
                "only agents"
                in (await request("boss", message=wire.Gossip(node.context.view.digest()))).error
            )
            with pytest.raises(WireError):
                await request("nobody")
            with pytest.raises(WireError, match="not accepted"):
                await request("boss", to="a1")  # it names another agent
            certificates(tmp_path, stranger, "other")
            with pytest.raises(WireError):
                await request("other")
            certificates(tmp_path, ca, "a0", past)
            with pytest.raises(WireError, match="expired"):
                await request("boss")
            certificates(tmp_path, ca, "a0")  # renewed in place, without a restart
            assert not (await request("boss")).error
            (tmp_path / "a0.pem").write_text("garbage")
            assert not (await request("boss")).error  # what was read before holds
            assert node.certificates is not None
            assert "a0.pem" in node.certificates.fault
            nursery.cancel_scope.cancel()

    trio.run(main)
    names: dict[str, object] = {"subjectAltName": (("DNS", "a1"),)}
    peer = identify_peer(fleet, names)
    assert peer is not None
    assert peer.agent
    assert identify_peer(fleet, None) is None
    with pytest.raises(ConfigError, match="tls"):
        Certificates(tmp_path / "ca.pem", tmp_path / "a0.pem", tmp_path / "a0.pem")
    assert ssl.HAS_TLSv1_3


def test_an_ingress_loads_nothing_of_the_fleet_or_the_command_line() -> None:
    code = (
        "import sys, os; os.environ.pop('GW_CONFIG', None)\n"
        "from wickspring.cli import main\nfrom wickspring.net import server\n"
        "assert main(['serve']) == 2\nprint(' '.join(sorted(sys.modules)))"
    )
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(got.stdout.split())
    assert "wickspring.net.server" in loaded
    unwanted = {
        "click",
        "fire",
        "rich",
        "rpds",
        "sqlite3",
        "cryptography",
        "ldap3",
        "matplotlib",
        "numpy",
        "argparse",
        "h2",
        "hpack",
    }
    unwanted |= {"wickspring.fleet", "wickspring.agent", "wickspring.lab", "wickspring.commands"}
    assert not unwanted & loaded
    empty: HashTrieMap[str, InstanceRecord] = HashTrieMap()
    assert not empty
