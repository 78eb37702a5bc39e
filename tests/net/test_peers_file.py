"""The settings file of the peers, and the modules that are imported with peers off and on."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from wickspring.settings.errors import ConfigError
from wickspring.settings.peers_file import PEERS_FILE, load_peers


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("enabld = true\n", "enabld"),
        ('listen = "127.0.0.1"\n', "listen"),
        ('seeds = ["127.0.0.1:0"]\n', "seeds"),
        ("round_s = 0\n", "round_s"),
        ('listen = "10.0.0.5:7400"\n', "tls"),
        ("[budgets]\nretries_per_s = -1\n", "budgets.retries_per_s"),
        ("[budgets]\nlease_s = 0.1\n", "budgets.lease_s"),
        ('[route]\nn1 = "nowhere"\n', "route.n1"),
        ('[tls]\nca = "a"\ncert = "b"\nkey = "c"\n', "tls.ca"),
    ],
)
def test_an_error_in_the_peers_file_is_reported_by_key(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "peers.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=key):
        load_peers(path)


def test_peer_modules_are_imported_only_if_peers_are_enabled() -> None:
    assert not load_peers(PEERS_FILE).enabled
    code = (
        "import sys, os; os.environ.pop('GW_CONFIG', None)\nfrom wickspring.cli import main\n"
        "from wickspring.net import server\nassert main(['serve']) == 2\n{}"
        "print(' '.join(sorted(sys.modules)))"
    )

    def loaded(more: str) -> set[str]:
        command = [sys.executable, "-c", code.format(more)]
        return set(subprocess.run(command, capture_output=True, text=True, check=True).stdout.split())

    off = loaded("")
    for package in (
        "wickspring.membership",
        "wickspring.peer_state",
        "wickspring.net.peers",
        "wickspring.wire",
    ):
        assert not [name for name in off if name == package or name.startswith(package + ".")]
    on = loaded("import wickspring.net.peers\n")
    for package in ("rpds", "click", "fire", "rich", "sqlite3", "numpy", "cryptography", "wickspring.fleet"):
        assert package not in on
