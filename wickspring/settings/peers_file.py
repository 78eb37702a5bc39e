"""`deploy/peers.toml`: state that ingresses share with each other, and the budgets over all of them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from wickspring.settings.address import parse_address
from wickspring.settings.errors import ConfigError
from wickspring.settings.toml_file import DEPLOY_FOLDER, read_toml

PEERS_FILE = DEPLOY_FOLDER / "peers.toml"

MAX_BUDGET = 100_000
MIN_LEASE_S, MAX_LEASE_S = 0.5, 60.0
MIN_ROUND_S, MAX_ROUND_S = 0.05, 10.0
MIN_BYTES_S, MAX_BYTES_S = 500, 10_000_000
LOOPBACK_PREFIX = "127."


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `budgets`: limits over all ingresses together; 0: not limited."""

    retries_per_s: int = 0  # attempts beyond the first of each request
    probes_per_s: int = 0
    dials_per_server_s: int = 0  # at one ticket server
    cold_attempts: int = 0  # to one ticket server that warms up, within its cold time
    capped_plans: bool = True  # attempts in flight of a plan that limits them: by rights, not by estimates
    lease_s: float = (
        5.0  # seconds that lent rights are held at most; two leases of a budget where that is less
    )

    def faults(self) -> str:
        """Name the first key whose value is out of range; empty if there is none."""
        for key in ("retries_per_s", "probes_per_s", "dials_per_server_s", "cold_attempts"):
            if not 0 <= getattr(self, key) <= MAX_BUDGET:
                return f"{key} must lie between 0 and {MAX_BUDGET}"
        if not MIN_LEASE_S <= self.lease_s <= MAX_LEASE_S:
            return f"lease_s must lie between {MIN_LEASE_S:g} and {MAX_LEASE_S:g}"
        return ""


class PeerKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `tls`: certificate, key and authority for links between ingresses.

    Paths are relative to the folder of the file.
    """

    ca: str
    cert: str
    key: str


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file: how ingresses exchange state."""

    enabled: bool = False
    listen: str = "127.0.0.1:0"
    advertise: str = ""  # the address that the others are given; empty: the one listened at
    seeds: tuple[str, ...] = ()  # addresses of ingresses, of which one that is up is enough
    hall: str = ""  # empty: the zone of the settings
    round_s: float = 0.5  # seconds between two rounds of gossip
    bytes_s: int = 4000  # most bytes sent per second, on average
    counts: bool = True  # whether units forwarded are reported
    judgements: bool = True  # whether failing ticket servers are reported, and reports acted on
    hearsay_share: float = 0.34  # largest share of the ticket servers that is avoided because of reports
    account: str = ""  # file to which every right spent is written, for audits; empty: none
    budgets: Bounds = Bounds()
    route: dict[str, str] = {}  # by ingress: the address to dial where it is another than the advertised one
    tls: PeerKeys | None = None
    folder: str = ""  # of this file

    def faults(self) -> str:
        """Name the first key whose value is out of range or missing; empty if there is none."""
        if not MIN_ROUND_S <= self.round_s <= MAX_ROUND_S:
            return f"round_s must lie between {MIN_ROUND_S:g} and {MAX_ROUND_S:g}"
        if not MIN_BYTES_S <= self.bytes_s <= MAX_BYTES_S:
            return f"bytes_s must lie between {MIN_BYTES_S} and {MAX_BYTES_S}"
        if not 0.0 <= self.hearsay_share <= 1.0:
            return "hearsay_share must lie between 0 and 1"
        host = self.listen.rpartition(":")[0]
        if self.tls is None and not host.startswith(LOOPBACK_PREFIX):
            return "tls must be set where listen is not on loopback"
        fault = self.budgets.faults()
        return f"budgets.{fault}" if fault else ""


def load_peers(path: Path) -> Peers:
    """Read and check the file; without one, ingresses share no state.

    Raises:
        ConfigError: the file cannot be used; the message names the key.
    """
    if not path.exists():
        return Peers()
    peers = read_toml(path, Peers)
    for key, address, any_port in _addresses(peers):
        parse_address(f"{path.name}: {key}", address, any_port=any_port)
    fault = peers.faults()
    if fault:
        raise ConfigError(f"{path.name}: {fault}")
    _check_tls_files(path, peers.tls)
    return msgspec.structs.replace(peers, folder=str(path.parent))


def _addresses(peers: Peers) -> Iterator[tuple[str, str, bool]]:
    """Yield each address with its key, and whether its port may be 0."""
    yield "listen", peers.listen, True
    yield "advertise", peers.advertise or peers.listen, True
    for seed in peers.seeds:
        yield "seeds", seed, False
    for ingress, address in peers.route.items():
        yield f"route.{ingress}", address, False


def _check_tls_files(path: Path, tls: PeerKeys | None) -> None:
    if tls is None:
        return
    for key, name in (("ca", tls.ca), ("cert", tls.cert), ("key", tls.key)):
        if not (path.parent / name).is_file():
            raise ConfigError(f"{path.name}: tls.{key}: no file {name!r}")
