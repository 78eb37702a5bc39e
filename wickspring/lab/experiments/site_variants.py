"""Copies of a deployment's site file with other figures: what holds on two files by luck is not done.

`python -m wickspring.lab.experiments.site_variants SITE FOLDER --seed N` writes one copy: delays,
processor shares, quotas, the
number of tenants, beats, disks, bounds of connections and the seeds of days are drawn anew around what the
file says; with `--seed 0` they stay. `--core five` (or `six`, `seven`) widens the core and what it has to
bear. `--days FOLDER` puts the days of our own for this site in place of the file's, with `--luck N` as their
seed. Files that the site file names beside itself go along.
"""

from __future__ import annotations

import re
import shutil
from dataclasses import dataclass
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
DAY = "[[day]]"


@dataclass(slots=True, frozen=True)
class Core:
    """How wide a core is, and what is lost of it at once with all rules kept."""

    machines: int
    zones: int  # over how many it is spread at most, from the first on
    bears: int  # machines
    bears_zones: int = 0

    def counts(self, zones: int) -> list[int]:
        """Return how many core machines stand in each zone, in the zones' order."""
        used = min(self.zones, zones)
        each, more = divmod(self.machines, used)
        return [each + (nth < more) if nth < used else 0 for nth in range(zones)]


CORES = {
    "five": Core(machines=5, zones=5, bears=2),
    "six": Core(machines=6, zones=3, bears=2, bears_zones=1),
    "seven": Core(machines=7, zones=7, bears=3, bears_zones=1),
}


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


def widen(text: str, core: Core) -> str:
    """Return a site file's text with another core, and with what it bears; what else stands there stays."""
    listed = re.search(r"(?ms)^zones = \[\n(.*?)^\]", text)
    if listed is None:
        raise ValueError("the site file lists no zones")
    zones = re.findall(r'name = "([^"]+)"', listed[1])
    counts = dict(zip(zones, core.counts(len(zones)), strict=True))
    found = set()

    def machine(line: re.Match[str]) -> str:
        zone = line[2]
        if zone in found:
            raise ValueError(f"two lines of core machines in {zone}")
        found.add(zone)
        return re.sub(r"\bcount = [0-9]+", f"count = {counts[zone]}", line[0]) if counts[zone] else ""

    text = re.sub(r'(?m)^( *\{ class = "core", [^\n]*?zone = "([^"]+)"[^\n]*\n)', machine, text)
    if missing := [zone for zone, count in counts.items() if count and zone not in found]:
        raise ValueError(f"no line of core machines in {', '.join(missing)}")
    borne = f"[tolerate]\nmachines = {core.bears}\nzones = {core.bears_zones}\n"
    text, done = re.subn(r"\[tolerate\]\nmachines = [0-9]+\nzones = [0-9]+\n", borne, text)
    if done != 1:
        raise ValueError("the site file does not say once what is to be borne")
    return text


def replace_days(text: str, days: list[str], luck: int) -> str:
    """Return a site file's text with other days, each with this seed."""
    ours = [re.sub(r"(?m)^seed = [0-9]+", f"seed = {luck}", day) for day in days]
    return "\n".join([text.split(DAY)[0], *ours])


def write(site: str, folder: str, seed: int = 1, core: str = "", days: str = "", luck: int = 1) -> str:
    """Write one varied copy of a site file and return its path."""
    source, target = Path(site), Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    if core:
        text = widen(text, CORES[core])
    if days:
        ours = sorted(Path(days).glob(f"*.{source.stem}.toml"))
        text = replace_days(text, [day.read_text() for day in ours], luck)
    for name in re.findall(r'(?m)^wire = "([^"/]+)"', text):
        shutil.copyfile(source.with_name(name), target / name)
    marks = [f"v{seed}", *([core] if core else []), *([f"own{luck}"] if days else [])]
    written = target / f"{'-'.join([source.stem, *marks])}.toml"
    written.write_text(vary(text, seed) if seed else text)
    return str(written)


if __name__ == "__main__":
    fire.Fire(write)
