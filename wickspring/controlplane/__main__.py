"""`python -m wickspring.controlplane`."""

import gc

from wickspring.common.termination import record_signals

termination = record_signals()  # first of all: until then a signal ends the process at once

gc.disable()  # while all is loaded nothing is garbage, and looking for it is a tenth of the start

from wickspring.common.bootstrap import bootstrap  # noqa: E402

started = bootstrap(termination)  # callers wait in line from here on

from wickspring.common.lifecycle import main  # noqa: E402
from wickspring.controlplane.process import run  # noqa: E402

main(run, started)
