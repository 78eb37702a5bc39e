"""Alias of `wickspring.lab.experiments.site_variants`, where this command has moved; for one release."""

from __future__ import annotations

import sys

import fire

from wickspring.lab.experiments.site_variants import write

if __name__ == "__main__":
    sys.stderr.write("wickspring.lab.varied is now wickspring.lab.experiments.site_variants\n")
    fire.Fire(write)
