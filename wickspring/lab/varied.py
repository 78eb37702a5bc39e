"""Copies of a deployment's site file with other figures: what holds on two files by luck is not done.

`python -m wickspring.lab.varied SITE FOLDER --seed N` writes one copy: delays, processor shares, quotas, the
number of tenants, beats, disks, bounds of connections and the seeds of days are drawn anew around what the
file says. Files that the site file names beside itself go along.
"""

from __future__ import annotations

import re
import shutil
from pathlib import Path
from random import Random

import fire

# Figures that are drawn anew, and between which parts of what the file says.
FACTORS = {
    "in_zone_ms": (0.5, 3.0),
    "cross_zone_ms": (0.5, 2.5),
    "client_ms": (0.5, 2.0),
    "cpu_share": (0.8, 1.2),
    "quota_x": (0.85, 1.3),
    "beat_ms": (0.7, 1.4),
    "sync_ms": (0.5, 4.0),
    "conn_cap": (0.6, 1.5),
    "handshake_ms": (0.5, 2.0),
    "idle_close_ms": (0.4, 1.5),
}
WHOLE = frozenset({"beat_ms", "conn_cap", "idle_close_ms"})
TENANTS = (0.6, 1.6)
MOST_SEED = 2**28


def vary(text: str, seed: int) -> str:
    """Return a site file's text with its figures drawn anew; each figure by one factor all through."""
    random = Random(seed)
    for name, (least, most) in FACTORS.items():
        factor = random.uniform(least, most)

        def draw(found: re.Match[str], name: str = name, factor: float = factor) -> str:
            value = float(found[2]) * factor
            return found[1] + (str(max(1, round(value))) if name in WHOLE else f"{value:.4g}")

        text = re.sub(rf"(\b{name} = )([0-9]+(?:\.[0-9]+)?)", draw, text)
    text = re.sub(r"(?m)^(seed = )[0-9]+", lambda found: f"{found[1]}{random.randrange(MOST_SEED)}", text)

    def tenants(found: re.Match[str]) -> str:
        return f"{found[1]}{max(2, round(int(found[2]) * random.uniform(*TENANTS)))}"

    return re.sub(r"(\[tenants\]\ncount = )([0-9]+)", tenants, text)


def write(site: str, folder: str, seed: int = 1) -> str:
    """Write one varied copy of a site file and return its path."""
    source, target = Path(site), Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for name in re.findall(r'(?m)^wire = "([^"/]+)"', text):
        shutil.copyfile(source.with_name(name), target / name)
    written = target / f"{source.stem}-v{seed}.toml"
    written.write_text(vary(text, seed))
    return str(written)


if __name__ == "__main__":
    fire.Fire(write)
