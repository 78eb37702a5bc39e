"""`python -m wickspring.lighthouse`."""

import gc

gc.disable()  # while all is loaded nothing is garbage, and looking for it is a tenth of the start

from wickspring.harbour.early import start  # noqa: E402

started = start()  # callers wait in line from here on

from wickspring.harbour.process import main  # noqa: E402
from wickspring.lighthouse.light import run  # noqa: E402

main(run, started)
