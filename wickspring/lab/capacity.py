"""Alias of `wickspring.lab.experiments.capacity`, where this command has moved; for one release."""

from __future__ import annotations

import sys

from wickspring.lab.experiments.capacity import main

if __name__ == "__main__":
    sys.stderr.write("wickspring.lab.capacity is now wickspring.lab.experiments.capacity\n")
    main()
