"""Runs a data plane: `python -m wickspring.dataplane`."""

import gc

gc.disable()  # while modules are loaded nothing is garbage, and collecting takes a tenth of the start

from wickspring.common.bootstrap import bootstrap  # noqa: E402

started = bootstrap()  # opens the listeners: from here on clients wait in their queues

from wickspring.common.lifecycle import main  # noqa: E402
from wickspring.dataplane.server import run  # noqa: E402

main(run, started)
