"""`python -m wickspring.lab.experiments.soak --seeds FIRST-LAST`: runs soaks one after another."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path

import msgspec

from wickspring.lab.experiments.soak.run import SoakOptions, run_soak


def _parse_arguments() -> argparse.Namespace:
    defaults = SoakOptions()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    parser.add_argument("--control-planes", type=int, default=defaults.control_planes)
    parser.add_argument("--data-planes", type=int, default=defaults.data_planes)
    parser.add_argument("--rate", type=float, default=defaults.rate, help="of the tenant, requests a second")
    parser.add_argument("--keep-logs-in", type=Path, help="where a rule is broken")
    parser.add_argument("--planned-only", action="store_true", help="no faults, but more planned work")
    parser.add_argument("--net", type=int, default=defaults.net, help="N of the addresses 127.N.0.0/16")
    return parser.parse_args()


def main() -> int:
    """Run all seeds; return how many broke a rule.

    SIGTERM ends it as Ctrl-C does, so that no process of a gateway is left behind. Trio brings Ctrl-C to the
    run's main task where Python's own handler is set, which it isn't in the background of a script.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda _number, _frame: signal.raise_signal(signal.SIGINT))
    arguments = _parse_arguments()
    first, _, last = arguments.seeds.partition("-")
    options = SoakOptions(
        seconds=arguments.seconds,
        control_planes=arguments.control_planes,
        data_planes=arguments.data_planes,
        rate=arguments.rate,
        net=arguments.net,
        planned_only=arguments.planned_only,
    )
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        result = run_soak(seed, options, arguments.keep_logs_in)
        broken += result.violations.total > 0
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        sys.stdout.flush()
    return broken


sys.exit(min(1, main()))
