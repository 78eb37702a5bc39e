"""Links between ingress processes: the handover of the listening address, and malformed messages."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import trio

from tests.support.command_line import run_command
from wickspring.lab.emulation.site import free_port
from wickspring.peer_state.messages import PROTOCOL_VERSIONS, PeerMessage, Reply
from wickspring.wire import Greeting, LineStream

LINK_CLOSED_WITHIN_S = 3.0  # of bytes that cannot be read


def start(folder: Path, port: int = 0, **env: str) -> tuple[int, Path, subprocess.Popen[bytes]]:
    """Start one process with peers enabled; discovery and counter are unreachable."""
    port = port or free_port()
    peers = folder / "peers.toml"
    peers.write_text(f'enabled = true\nlisten = "127.0.0.1:{port}"\nhall = "a"\n')
    example = json.loads((Path(__file__).parents[2] / "example" / "config.json").read_text())
    example |= {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9", "counter": "127.0.0.1:9"}
    path = folder / "config.json"
    if not path.exists():
        path.write_text(json.dumps(example))
    clean = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
    clean |= {"GW_CONFIG": str(path), "GW_PEERS": str(peers), "TMPDIR": str(folder), **env}
    command = [sys.executable, "-m", "wickspring", "serve"]
    process = subprocess.Popen(command, env=clean, stderr=(folder / "log").open("ab"))
    return port, peers, process


def wait_for_log_event(folder: Path, event: str, times: int) -> None:
    """Wait until the processes of a folder have logged an event at least `times` times."""
    for _ in range(400):
        if (folder / "log").read_text().count(f"event={event}") >= times:
            return
        time.sleep(0.05)
    raise AssertionError((folder / "log").read_text()[-2000:])


def test_an_upgraded_process_takes_over_the_slot_of_its_predecessor(tmp_path: Path) -> None:
    port, _, old = start(tmp_path, GW_SHARE_PORT="1")
    new = None
    try:
        wait_for_log_event(tmp_path, "ready", 1)
        _, _, new = start(tmp_path, port, GW_SHARE_PORT="1")
        wait_for_log_event(tmp_path, "ready", 2)  # though the old one still listens at the peers' address
        assert (tmp_path / "log").read_text().count("event=peers ") == 1
        old.terminate()
        assert old.wait(10) == 0
        wait_for_log_event(tmp_path, "peers", 2)
        got = run_command("peers", "status", f"127.0.0.1:{port}", "--json")
        assert json.loads(got.output.partition("\n}")[0] + "}")["slot"] == 0
    finally:
        for process in (old, new):
            if process is not None:
                process.terminate()
                process.wait(10)


def test_a_malformed_message_closes_its_own_link_only(tmp_path: Path) -> None:
    """One process: garbage, another protocol, another fleet, a slot out of range; then it still answers."""
    port, peers, process = start(tmp_path)
    slots = json.loads((tmp_path / "config.json").read_text())["settings"]["Siblings"]

    async def exchange_lines(*lines: bytes) -> list[bytes]:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            got = LineStream(stream)
            answers = []
            for line in lines:
                await stream.send_all(line + b"\n")
                answers.append(await got.read())
            return answers

    async def send_until_closed(data: bytes) -> None:
        """Send bytes on a new link; raise `trio.TooSlowError` unless the process closes it in time."""
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            with trio.fail_after(LINK_CLOSED_WITHIN_S):
                try:
                    await stream.send_all(data)
                    while await stream.receive_some(4096):
                        pass
                except trio.BrokenResourceError:
                    pass  # a reset, in place of the end of the stream: it was closed with bytes not yet read

    async def main() -> None:
        with trio.fail_after(20):
            while True:
                try:
                    await exchange_lines(msgspec.json.encode(Greeting()))
                    break
                except OSError:
                    await trio.sleep(0.05)
            (refused,) = await exchange_lines(msgspec.json.encode(Greeting(7, 9, "9.9")))
            assert b"speaks protocol 1 to 1" in refused
            hello, alien = msgspec.json.encode(Greeting()), PeerMessage("x", 0, 99, 1.0)
            answers = await exchange_lines(hello, b'["talk",3', b"[1]", msgspec.json.encode(alien))
            assert b"cannot be read" in answers[1]
            assert b"Siblings" in answers[3]
            wild = PeerMessage("y", 10**6, slots, 1.0)
            assert b"Siblings" in (await exchange_lines(hello, msgspec.json.encode(wild)))[1]
            await send_until_closed(b"\x00\xff" * 50_000 + b"\n")
            shown = await exchange_lines(hello, b'["show"]')
            view = msgspec.json.decode(shown[1], type=Reply).view
            assert view is not None
            assert [one.name for one in view.members] == [view.name]
            assert view.error_counts["bad_words"] >= 2
            assert view.error_counts["another_protocol"] == 1

    try:
        trio.run(main)
        got = run_command("peers", "status", f"127.0.0.1:{port}")
        assert "hall" in got.output
        got = run_command("peers", "status", str(peers), "--json")
        assert '"slots"' in got.output
        assert run_command("peers", "status", "nowhere").exit_code == 2
    finally:
        process.terminate()
        assert process.wait(10) == 0
    assert PROTOCOL_VERSIONS.answer(Greeting(1, 3)).use == 1
