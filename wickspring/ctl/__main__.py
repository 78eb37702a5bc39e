"""`python -m wickspring.ctl`: status, endpoints, quota counts, chain and configurations of a gateway.

Exit codes: 0 on success, 1 where the gateway refused or no control plane answered, 2 on faulty arguments
or files.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from wickspring.command_line.errors import ExitCode
from wickspring.command_line.runner import run
from wickspring.command_line.tables import format_table
from wickspring.ctl import reports
from wickspring.ctl.client import NoControlPlaneError, RefusedError, call, call_ok
from wickspring.ctl.drills import DRILL_NAMES, describe_drills, stored_drill_name
from wickspring.ctl.reports import (
    ReplaceReport,
    RestoreReport,
    SnapshotDocument,
    StatusReport,
    StatusRow,
    UnreachableRow,
    node_row,
    replica_rows,
)

DEFAULT_ADDRESSES = "127.0.1.1:8783,127.0.1.2:8783,127.0.1.3:8783"  # of a gateway started by `up`
JSON_INDENT = 1
PROGRAM = "wickspring.ctl"


class Commands:
    """Operate a gateway; each public method is a command.

    Args:
        at: control addresses of its control planes as HOST:PORT,...
        json: print JSON; its keys are those of earlier versions.
    """

    def __init__(self, at: str | tuple[str, ...] = DEFAULT_ADDRESSES, json: bool = False) -> None:
        self._addresses = at if isinstance(at, str) else ",".join(at)
        self._as_json = json

    def status(self) -> str:
        """Show each control plane: its state, versions, and how many endpoints and data planes it knows."""
        rows = [self._status_row(address) for address in self._addresses.split(",")]
        shortfalls = sorted({fault for row in rows for fault in row.shortfalls})
        warnings = [f"the control planes do not tolerate {fault}" for fault in shortfalls]
        table = format_table(
            [reports.printed_status(row) for row in rows], reports.STATUS_COLUMNS, reports.STATUS_LABELS
        )
        return self._format(msgspec.to_builtins(rows), "\n".join([table, *warnings]))

    def chain(self) -> str:
        """Show the chain of replicas: its view, and which replica is behind and why."""
        response = call(self._addresses, "GET", "/status")
        report = response.decode(StatusReport)
        table = format_table([msgspec.to_builtins(row) for row in replica_rows(report)])
        title = f"epoch {report.replication.epoch}, as reported by {report.node}"
        return self._format(response.json(), f"{title}\n{table}")

    def endpoints(self) -> str:
        """Show the endpoints (instances of services) as one control plane knows them."""
        rows = call(self._addresses, "GET", "/status").decode(StatusReport).endpoints
        return self._format(rows, format_table(rows, labels=reports.ENDPOINT_LABELS))

    def servers(self) -> str:
        """Show the endpoints: the former name of `endpoints`, for one release."""
        _note_alias("servers", "endpoints")
        return self.endpoints()

    def counts(self) -> str:
        """Show the tenants' quota counts that one control plane owns."""
        counts = call(self._addresses, "GET", "/status").decode(StatusReport).quota_counts
        rows = [{"tenant": tenant, **count} for tenant, count in counts.items()]
        return self._format(counts, format_table(rows, labels=reports.QUOTA_LABELS))

    def snapshot(self, file: str) -> str:
        """Save all that the chain stores to FILE: the configuration, and departures of endpoints."""
        response = call_ok(self._addresses, "GET", "/snapshot")
        departures = response.decode(SnapshotDocument).departures
        Path(file).write_bytes(response.body)
        return f"{file}: {len(response.body)} bytes, {len(departures)} departures"

    def restore(self, file: str) -> str:
        """Merge a snapshot from FILE into the chain; newer state there stays."""
        response = call_ok(self._addresses, "POST", "/snapshot", Path(file).read_bytes())
        report = response.decode(RestoreReport)
        return f"{response.at}: {report.version} is in force, {report.departures} departures"

    def read(self) -> str:
        """Print the newest committed configuration."""
        response = call_ok(self._addresses, "GET", "/config/read")
        return json.dumps(response.json(), indent=JSON_INDENT)

    def check(self, file: str) -> str:
        """Validate the configuration in FILE here, without sending it."""
        from wickspring.controlplane.api.config_validation import validate_config

        result = validate_config(Path(file).read_bytes())
        if result.is_error():
            raise SystemExit(f"{file}: {result.error.reason}")
        return f"{file}: r{result.ok} is valid"

    def replace(self, file: str) -> str:
        """Send the configuration in FILE, and print which version is in force then."""
        response = call_ok(self._addresses, "POST", "/config/replace", Path(file).read_bytes())
        return f"{response.at}: acknowledged, {response.decode(ReplaceReport).version} is in force"

    def up(self, seconds: float = 0.0) -> None:
        """Run a toy gateway on loopback until interrupted.

        It has two data planes, three control planes and six endpoints.
        """
        from wickspring.lab.emulation.local_gateway import run_toy

        run_toy(seconds)

    def drill(self, name: str = "", seed: int = 1, seconds: float = 9.0, file: str = "") -> str:
        """Run a drill on loopback and check the rules; without a name, list the drills."""
        from wickspring.lab.experiments.drill import DRILLS, run_drill

        if not name:
            return describe_drills()
        stored_name = stored_drill_name(name)
        if stored_name not in DRILLS:
            return f"no drill {name}; there are {', '.join(DRILL_NAMES)}"
        text = json.dumps(run_drill(stored_name, seed, seconds), indent=JSON_INDENT)
        if file:
            Path(file).write_text(text + "\n")
        return text

    def gossip(self, data_planes: int = 100, seed: int = 1) -> str:
        """Measure in virtual time how that many data planes discover each other by gossip, and its cost."""
        from wickspring.lab.simulation.gossip import measure

        return json.dumps(measure(data_planes, seed), indent=JSON_INDENT)

    def flotilla(self, pilots: int = 100, seed: int = 1) -> str:
        """Measure gossip: the former name of `gossip`, and `--pilots` of `--data-planes`, for one release."""
        _note_alias("flotilla --pilots", "gossip --data-planes")
        return self.gossip(pilots, seed)

    def times(self, seeds: int = 20) -> str:
        """Measure on loopback how long a change, a chain repair and a restart of everything take."""
        from wickspring.lab.experiments.recovery_times import measure

        measured = measure(seeds)
        rows = [{"what": name, **figures} for name, figures in measured.items()]
        return self._format(measured, format_table(rows))

    def _status_row(self, address: str) -> StatusRow:
        try:
            return node_row(address, call(address, "GET", "/status").decode(StatusReport))
        except NoControlPlaneError as error:
            return UnreachableRow(address, f"no answer ({error})")

    def _format(self, data: object, text: str) -> str:
        return json.dumps(data, indent=JSON_INDENT) if self._as_json else text


def run_command(words: Sequence[str]) -> int:
    """Run the command that the words name, by default the help, and return its exit code."""
    try:
        return run(Commands, words or ["--help"], PROGRAM)
    except RefusedError as error:
        sys.stderr.write(f"{error}\n")
        return ExitCode.FAILED
    except NoControlPlaneError as error:
        sys.stderr.write(f"no clear answer: {error}\n")
        return ExitCode.FAILED
    except msgspec.DecodeError as error:
        sys.stderr.write(f"unexpected answer: {error}\n")
        return ExitCode.FAILED
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        return ExitCode.USAGE


def main() -> None:
    """Run one command and exit with its code."""
    sys.exit(run_command(sys.argv[1:]))


def _note_alias(former: str, present: str) -> None:
    sys.stderr.write(f"{former} is now {present}; this alias goes with the next release\n")


if __name__ == "__main__":
    main()
