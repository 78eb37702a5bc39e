"""The build of the deploy file: when the packages are installed anew."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
INTERPRETER = f"""#!/bin/sh
case "$*" in
  "-m pip"*) echo "$*" >> pip-calls; mkdir -p target/deps;;
  "-m compileall"*) ;;
  *) [ -f platform ] && cat platform || exec {sys.executable} "$@";;
esac
"""


class Checkout:
    """A checkout with an interpreter that records what it is asked to install."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "deploy").mkdir()
        shutil.copy(ROOT / "deploy/build.sh", folder / "deploy")
        (folder / "requirements-gateway.txt").write_text("h11==0.16.0\n")
        interpreter = folder / "bin/python3"
        interpreter.parent.mkdir()
        interpreter.write_text(INTERPRETER)
        interpreter.chmod(0o755)

    def build(self) -> int:
        """Run the build line of the deploy file; return how often packages have been installed."""
        line = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
        path = f"{self.folder / 'bin'}:/usr/bin:/bin"
        subprocess.run(line, shell=True, cwd=self.folder, env={"PATH": path}, check=True)
        return len((self.folder / "pip-calls").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


def test_packages_are_installed_once(checkout: Checkout) -> None:
    assert [checkout.build() for _ in range(3)] == [1, 1, 1]


def test_packages_of_another_machine_are_installed_anew(checkout: Checkout) -> None:
    """Guards against a build that passes with extension modules of another platform, that cannot start."""
    checkout.build()
    (checkout.folder / "platform").write_text("cpython-311 linux-another\n")
    assert [checkout.build() for _ in range(2)] == [2, 2]


def test_packages_are_installed_anew_for_other_pins(checkout: Checkout) -> None:
    """Guards against pins that are older than the folder by their time."""
    checkout.build()
    (checkout.folder / "requirements-gateway.txt").write_text("h11==0.15.0\n")
    assert [checkout.build() for _ in range(2)] == [2, 2]


def test_a_folder_of_an_earlier_build_is_not_trusted(checkout: Checkout) -> None:
    """Guards against a folder that was carried over and does not say what it was built for."""
    (checkout.folder / "target/deps").mkdir(parents=True)
    assert checkout.build() == 1
