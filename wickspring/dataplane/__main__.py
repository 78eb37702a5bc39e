"""Runs a data plane: `python -m wickspring.dataplane`."""

import gc

from wickspring.common.termination import record_signals

termination = record_signals()  # first of all: until then a signal ends the process at once

gc.disable()  # while modules are loaded nothing is garbage, and collecting takes a tenth of the start

from wickspring.common.bootstrap import bootstrap  # noqa: E402

started = bootstrap(termination)  # opens the listeners: from here on clients wait in their queues

from wickspring.common.lifecycle import main  # noqa: E402
from wickspring.dataplane.server import run  # noqa: E402

main(run, started)
