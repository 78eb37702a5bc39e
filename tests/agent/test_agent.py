"""The agent with real instances, and the directory of tenants against a stand-in LDAP server."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path

import pytest
import trio

from tests.net.test_parsers import CALLS, GOOD
from tests.support.example_config import example_config
from tests.support.ldap_server import NO_SUCH_OBJECT, Entry, LdapServer
from wickspring import cli
from wickspring.agent import agent, control, directory
from wickspring.agent.control import Command
from wickspring.agent.settings import DirectoryFile, load_agent
from wickspring.agent.supervisor import State, Supervisor
from wickspring.lab.emulation.site import free_port
from wickspring.net.calls import CallReader, PlanError
from wickspring.settings.errors import ConfigError
from wickspring.tenants import Tenant, TenantPlans, Tenants, TenantsError, load_tenants, save_tenants

PLANS = frozenset(("basic", "standard", "premium"))


def firm(number: int, **changes: list[str]) -> Entry:
    attributes = {"uid": [f"{number:016X}"], "businessCategory": ["basic"], "o": [f"Firm {number}"]}
    return f"uid={number},ou=firms,dc=nz", {**attributes, **changes}


def source(url: str, **changes: object) -> DirectoryFile:
    fields = {"url": url, "base": "ou=firms,dc=nz", "copy": "t.json", "page_size": 4, "timeout_s": 1}
    return DirectoryFile(**{**fields, **changes})  # type: ignore[arg-type]


def test_directory_is_read_page_by_page() -> None:
    with LdapServer([firm(n) for n in range(10)]) as ldap:
        tenants = directory.fetch(source(ldap.url), "", PLANS)
    assert ldap.pages == [4, 4, 2]
    assert [tenant.customer for tenant in tenants.tenants] == [f"{n:016x}" for n in range(10)]
    assert (tenants.tenants[3].plan, tenants.tenants[3].name, tenants.faults) == ("basic", "Firm 3", ())


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"uid": ["xyz"]}, "uid is not 16 hex"),
        ({"uid": ["0000000200000000"]}, "uid is not below"),
        ({"uid": []}, "uid has 0 values"),
        ({"businessCategory": ["gold"]}, "businessCategory is no plan"),
        ({"businessCategory": ["basic", "premium"]}, "businessCategory has 2"),
        ({"uid": [f"{1:016x}"]}, "is taken"),
    ],
)
def test_faulty_entry_is_left_out_and_named(changes: dict[str, list[str]], named: str) -> None:
    with LdapServer([firm(1), firm(2), firm(3, **changes), firm(4)]) as ldap:
        tenants = directory.fetch(source(ldap.url), "", PLANS)
    assert [int(tenant.customer, 16) for tenant in tenants.tenants] == [1, 2, 4]
    [fault] = tenants.faults
    assert fault.startswith("uid=")
    assert named in fault


def test_a_mapping_that_fits_no_entry_is_refused() -> None:
    with LdapServer([firm(n) for n in range(4)]) as ldap:
        with pytest.raises(directory.DirectoryError, match=r"4 of 4 entries are faulty.*sn has 0 values"):
            directory.fetch(source(ldap.url, plan="sn"), "", PLANS)
        ldap.entries = []
        with pytest.raises(directory.DirectoryError, match="no entry"):
            directory.fetch(source(ldap.url), "", PLANS)


def test_bind_and_wrong_password() -> None:
    with LdapServer([firm(1)], password="right") as ldap:
        file = source(ldap.url, bind_dn="cn=reader")
        assert len(directory.fetch(file, "right", PLANS).tenants) == 1
        with pytest.raises(directory.DirectoryError, match="invalidCredentials"):
            directory.fetch(file, "wrong", PLANS)


def test_last_good_copy_is_kept_whatever_fails(tmp_path: Path) -> None:
    async def main() -> None:
        copy = tmp_path / "t.json"
        with LdapServer([firm(1)]) as ldap:
            sync = directory.DirectorySync(source(ldap.url), "", PLANS, copy)
            assert await sync.refresh()
            good = sync.tenants
            ldap.code = NO_SUCH_OBJECT
            assert not await sync.refresh()
            assert "noSuchObject" in sync.error
            ldap.silent = True
            assert not await sync.refresh()
            assert sync.tenants == good == load_tenants(copy)
        later = directory.DirectorySync(source(ldap.url), "", PLANS, copy)  # a new agent, the directory down
        assert not await later.refresh()
        assert later.tenants == good

    trio.run(main)


def test_tenant_plans_follow_the_copy_and_holds_requests_to_it(tmp_path: Path) -> None:
    path = tmp_path / "t.json"
    tenant_plans = TenantPlans(path)
    assert not tenant_plans.refresh()
    reader = CallReader(CALLS.settings, tenant_plans)
    target = "/api?customer=00000000b4d65521"
    assert reader.read("GET", target, GOOD, b"").customer == 0xB4D65521
    customer = f"{0xB4D65521:016x}"
    for plan, fits in (("team", True), ("other", False)):
        save_tenants(path, Tenants((Tenant(customer, plan),), 1.0))
        assert tenant_plans.refresh()
        assert not tenant_plans.refresh()
        if fits:
            reader.read("GET", target, GOOD, b"")
        else:
            with pytest.raises(PlanError, match="Api-Plan"):
                reader.read("GET", target, GOOD, b"")
    path.write_text("{")
    with pytest.raises(TenantsError):
        tenant_plans.refresh()
    assert tenant_plans.plans == {0xB4D65521: "other"}


def agent_file(folder: Path, names: tuple[str, ...], extra: str = "", ldap: str = "") -> Path:
    lines = ['control = "agent.sock"', "backoff_first_s = 0.1", "drain_s = 6.0", extra]
    for name in names:
        data = example_config(listen=f"127.0.0.1:{free_port()}")
        (folder / f"{name}.json").write_text(json.dumps(data))
        lines += ["[[instance]]", f'name = "{name}"', f'config = "{name}.json"']
    if ldap:
        lines += ["[directory]", f'url = "{ldap}"', 'base = "dc=nz"', 'copy = "tenants.json"']
    (folder / "agent.toml").write_text("\n".join(lines) + "\n")
    return folder / "agent.toml"


def test_agent_runs_restarts_drains_and_reports(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def main(ldap: LdapServer) -> None:
        path = agent_file(tmp_path, ("n0", "n1"), ldap=ldap.url)
        settings = load_agent(path)

        async def ask(action: str, *names: str) -> control.Result:
            return await control.send_command(settings.control, Command(action, names))

        async def states(**wanted: str) -> None:
            while wanted.items() - {(one.name, one.state) for one in (await ask("status")).instances}:
                await trio.sleep(0.05)

        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.run, settings)
                while not settings.control.exists():
                    await trio.sleep(0.02)
                assert settings.control.stat().st_mode & 0o077 == 0
                with pytest.raises(control.ControlError, match="running already"):
                    control.open_socket(settings.control)
                await states(n0="ready", n1="ready")
                first, second = (await ask("status")).instances
                assert first.pid is not None
                os.kill(first.pid, signal.SIGKILL)
                while (await ask("status", "n0")).instances[0].starts < 2:
                    await trio.sleep(0.05)
                await states(n0="ready", n1="ready")
                again, other = (await ask("status")).instances
                assert (again.last_exit, again.failures) == (-signal.SIGKILL, 1)
                assert (other.pid, other.starts) == (second.pid, 1)  # its neighbour was left alone
                drained = (await ask("drain", "n1")).instances[0]
                assert (drained.state, drained.last_exit, drained.pid) == ("stopped", 0, None)
                assert "ldap" in (await ask("status", "ldap")).error
                assert (await ask("dance")).error == "no such command: dance"
                assert (await ask("reload", "n1")).error == "not up, and not reloaded: n1"
                await ask("start", "n1")
                await states(n0="ready", n1="ready")
                assert (await ask("restart")).error == ""
                await states(n0="ready", n1="ready")
                before = [one.pid for one in (await ask("status")).instances]
                (tmp_path / "n0.json").write_text(json.dumps(example_config(counter="127.0.0.1:6499")))
                assert (await ask("reload")).error == ""
                await trio.sleep(0.2)
                assert [one.pid for one in (await ask("status")).instances] == before
                tenants = (await ask("tenants")).tenants
                assert tenants is not None
                assert [tenant.customer for tenant in tenants.tenants] == [f"{7:016x}"]
                code = await trio.to_thread.run_sync(cli.main, ["version"])
                assert code == 0
                nursery.cancel_scope.cancel()
        assert not settings.control.exists()

    with LdapServer([firm(7)]) as ldap:
        trio.run(main, ldap)
    logged = capfd.readouterr().err
    assert "event=tenants count=1" in logged  # by an instance: the copy reached it
    assert "event=reloaded discovery=127.0.0.1:8500 counter=127.0.0.1:6499" in logged


def test_pause_grows_to_its_most(tmp_path: Path) -> None:
    settings = load_agent(agent_file(tmp_path, ("n0",), "backoff_most_s = 1.0"))
    supervisor = Supervisor(settings.instances[0], settings.file)
    pauses = []
    for failures in range(7):
        supervisor.backoff.failures = failures
        pauses.append(supervisor.restart_delay())
    assert pauses == [0.0, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0]


def test_instance_that_cannot_start_waits_and_is_let_go(tmp_path: Path) -> None:
    async def main() -> None:
        path = agent_file(tmp_path, ("n0",), "backoff_most_s = 0.2")
        settings = load_agent(path)
        (tmp_path / "n0.json").write_text("{}")  # broken after the check
        supervisor = Supervisor(settings.instances[0], settings.file)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervisor.run)
                while supervisor.backoff.failures < 3:
                    await trio.sleep(0.02)
                assert supervisor.last_exit == 2
                supervisor.drain()
                assert await supervisor.wait_for(State.STOPPED) is State.STOPPED
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('control = "agent.sock"', ""), "control"),
        (("drain_s = 6.0", "drain_s = 0"), "drain_s"),
        (("drain_s = 6.0", "drian_s = 1"), "drian_s"),
        (('"n1"', '"n0"'), "name"),
        (('"n1.json"', '"n0.json"'), "listen"),
        (('"n1.json"', '"none.json"'), "none.json"),
        (("ldap://", "http://"), "directory.url"),
        (("[directory]", "[directory]\npage_size = 0"), "page_size"),
        (("[directory]", "[directory]\npassword_file = 'no'"), "password_file"),
    ],
)
def test_agent_file_names_the_key(tmp_path: Path, change: tuple[str, str], named: str) -> None:
    path = agent_file(tmp_path, ("n0", "n1"), ldap="ldap://127.0.0.1:1")
    assert cli.main(["check-config", str(path)]) == 0
    path.write_text(path.read_text().replace(*change))
    with pytest.raises(ConfigError, match=named):
        load_agent(path)
    assert cli.main(["check-config", str(path)]) == 2


def test_commands_without_an_agent_fail(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = agent_file(tmp_path, ("n0",), ldap="ldap://127.0.0.1:1")
    for words in (["status"], ["drain"], ["tenants"], ["tenants", "--fetch"]):
        assert cli.main([words[0], str(path), *words[1:]]) == 1
        assert capsys.readouterr().err
    with LdapServer([firm(7)]) as ldap:
        path.write_text(path.read_text().replace("ldap://127.0.0.1:1", ldap.url))
        assert cli.main(["tenants", str(path), "--fetch"]) == 0
    assert capsys.readouterr().out == f"{7:016x} basic Firm 7\n"
