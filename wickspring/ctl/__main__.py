"""`python -m wickspring.ctl`: status of members, servers, configuration, counts and chain; orders.

Exits with 0 where it went well, 1 where the gateway refused or nobody answered, 2 where words are at fault.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import fire

from wickspring.ctl.client import NoControlPlaneError, call

LIGHTS = "127.0.1.1:8783,127.0.1.2:8783,127.0.1.3:8783"


def _table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "none"
    names = list(rows[0])
    cells = [names, *([str(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(len(line[at]) for line in cells) for at in range(len(names))]
    lines = ("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)) for line in cells)
    return "\n".join(line.rstrip() for line in lines)


class Commands:
    """Operate a gateway. `--at` names its lighthouses' control addresses, `--json` asks for JSON."""

    def __init__(self, at: str | tuple[str, ...] = LIGHTS, json: bool = False) -> None:
        self._at = at if isinstance(at, str) else ",".join(at)
        self._json = json

    def _status(self) -> Any:
        return call(self._at, "GET", "/status").tree

    def _show(self, tree: Any, text: str) -> str:
        return json.dumps(tree, indent=1) if self._json else text

    def status(self) -> str:
        """Show who is there: lighthouses, pilots, and how many servers."""
        rows: list[dict[str, Any]] = []
        for address in self._at.split(","):
            try:
                one = call(address, "GET", "/status").tree
            except NoControlPlaneError as error:
                rows.append({"lighthouse": address, "state": f"no answer ({error})"})
                continue
            chain = one["chain"]
            state = "steady" if chain["steady"] else "frozen" if chain["frozen"] else "spare"
            missed = chain["contact"] == "none" or (chain["member"] and not chain["steady"])
            if missed and not chain["frozen"]:
                state = "alone"
            rows.append(
                {
                    "lighthouse": address,
                    "state": state,
                    "epoch": chain["epoch"],
                    "held": f"r{chain['held']}",
                    "safe": f"r{chain['safe']}",
                    "servers": len(one["servers"]),
                    "pilots": ",".join(one["pilots"]) or "-",
                    "short": chain["short"],
                }
            )
        names = ("lighthouse", "state", "epoch", "held", "safe", "servers", "pilots")
        text = _table([{name: row.get(name, "") for name in names} for row in rows])
        short = sorted({what for row in rows for what in row.get("short", ())})
        return self._show(rows, "\n".join([text, *(f"the core does not bear {what}" for what in short)]))

    def chain(self) -> str:
        """Show the chain: its view, and which copy is behind."""
        one = self._status()
        view, core = one["chain"], one["core"]
        places = ("head", *("middle",) * (len(view["members"]) - 2), "tail")
        rows = [
            {"place": places[at], "machine": ip, **self._copy(view, core.get(ip))}
            for at, ip in enumerate(view["members"])
        ]
        spares = [ip for ip in core if ip not in view["members"]]
        rows += [{"place": "spare", "machine": ip, **self._copy(view, core[ip])} for ip in spares]
        return self._show(one, f"epoch {view['epoch']}, as {one['node']} knows it\n{_table(rows)}")

    def _copy(self, view: dict[str, Any], told: dict[str, Any] | None) -> dict[str, Any]:
        """Return a row's columns on one copy; None is the copy of who was asked."""
        if told is None:
            return {"live": True, "safe": f"r{view['safe']}", "disk": view["disk"], "behind": "-"}
        return {
            "live": told["live"],
            "safe": f"r{told.get('version', '?')}",
            "disk": told.get("disk", "?"),
            "behind": "; ".join(told["behind"]) or "-",
        }

    def snapshot(self, file: str) -> str:
        """Put away all that the chain keeps: the configuration, and which servers leave."""
        answered = call(self._at, "GET", "/snapshot")
        if answered.status != 200:
            raise SystemExit(f"{answered.at}: {answered.status} {answered.body.decode()}")
        Path(file).write_bytes(answered.body)
        return f"{file}: {len(answered.body)} bytes, {len(answered.tree['leaving'])} leaving servers"

    def restore(self, file: str) -> str:
        """Bring a snapshot back; what is newer here stays."""
        answered = call(self._at, "POST", "/snapshot", Path(file).read_bytes())
        if answered.status != 200:
            raise SystemExit(f"{answered.at}: {answered.status} {answered.body.decode()}")
        told = answered.tree
        return f"{answered.at}: {told['generation']} holds, {told['leaving']} leaving servers"

    def servers(self) -> str:
        """Show the servers as one lighthouse knows them."""
        rows = self._status()["servers"]
        return self._show(rows, _table(rows))

    def counts(self) -> str:
        """Show the tenants' counts that one lighthouse keeps."""
        counts = self._status()["counts"]
        return self._show(counts, _table([{"tenant": name, **one} for name, one in counts.items()]))

    def read(self) -> str:
        """Print the newest configuration."""
        answered = call(self._at, "GET", "/config/read")
        if answered.status != 200:
            raise SystemExit(f"{answered.at}: {answered.status} {answered.body.decode()}")
        return json.dumps(answered.tree, indent=1)

    def check(self, file: str) -> str:
        """Check a configuration file here, without sending it."""
        from wickspring.controlplane.api.config_validation import validate_config

        found = validate_config(Path(file).read_bytes())
        if found.is_error():
            raise SystemExit(f"{file}: {found.error.reason}")
        return f"{file}: r{found.ok} is valid"

    def replace(self, file: str) -> str:
        """Send a configuration file, and say which version holds then."""
        answered = call(self._at, "POST", "/config/replace", Path(file).read_bytes())
        if answered.status != 200:
            raise SystemExit(f"{answered.at}: {answered.status} {answered.body.decode()}")
        return f"{answered.at}: acknowledged, {answered.tree['generation']} holds"

    def up(self, seconds: float = 0.0) -> None:
        """Run a toy gateway on loopback until interrupted: two pilots, three lighthouses, six servers."""
        from wickspring.lab.emulation.local_gateway import run_toy

        run_toy(seconds)

    def drill(self, name: str = "", seed: int = 1, seconds: float = 9.0, file: str = "") -> str:
        """Play a drill on loopback and judge it by the rules; without a name, list them."""
        from wickspring.lab.experiments.drill import DRILLS, run_drill

        if name not in DRILLS:
            return "\n".join(DRILLS) if not name else f"no drill {name}; there are {', '.join(DRILLS)}"
        result = run_drill(name, seed, seconds)
        text = json.dumps(result, indent=1)
        if file:
            Path(file).write_text(text + "\n")
        return text

    def flotilla(self, pilots: int = 100, seed: int = 1) -> str:
        """Measure in virtual time how so many pilots come to know of each other, and what they say for it."""
        from wickspring.lab.simulation.gossip import measure

        return json.dumps(measure(pilots, seed), indent=1)

    def times(self, seeds: int = 20) -> str:
        """Measure on loopback how long orders, a mended chain and a start after all were killed take."""
        from wickspring.lab.experiments.recovery_times import measure

        found = measure(seeds)
        return self._show(found, _table([{"what": name, **one} for name, one in found.items()]))


def main() -> None:
    """Run one command."""
    try:
        fire.Fire(Commands, name="wickspring.ctl")
    except NoControlPlaneError as error:
        sys.stderr.write(f"no clear answer: {error}\n")
        sys.exit(1)
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)


if __name__ == "__main__":
    main()
