"""Entry point of `python -m wickspring`."""

from __future__ import annotations

import sys

from wickspring.common.termination import ignore_reload_signal

if sys.argv[1:] == ["serve"]:
    ignore_reload_signal()  # before all else is loaded: until then it ends the process

from wickspring.cli import main

if __name__ == "__main__":
    sys.exit(main())
