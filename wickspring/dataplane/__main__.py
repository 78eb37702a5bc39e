"""`python -m wickspring.dataplane`."""

import gc

gc.disable()  # while all is loaded nothing is garbage, and looking for it is a tenth of the start

from wickspring.common.bootstrap import bootstrap  # noqa: E402

started = bootstrap()  # callers wait in line from here on

from wickspring.common.lifecycle import main  # noqa: E402
from wickspring.dataplane.process import run  # noqa: E402

main(run, started)
