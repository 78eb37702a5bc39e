"""Entry point of `python -m wickspring`."""

from __future__ import annotations

import sys

from wickspring.cli import main

if __name__ == "__main__":
    sys.exit(main())
