"""Imports keep to the layers that `docs/ARCHITECTURE.md` states, and modules without I/O import none.

The table on the page is the rule: this test reads it, so page and code cannot drift apart. Imports inside of
functions count as well.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "wickspring"
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
HEADER = "| layer | may import | I/O |"
IO_MODULES = frozenset(
    {"asyncio", "datetime", "os", "select", "selectors", "signal", "socket", "sqlite3", "subprocess"}
    | {"threading", "time", "trio"}
)
# What a docstring says of a module that is a plain state machine.
_CLAIM = re.compile(r"\b(no|without|free of) I/O\b", re.I)


@dataclass(frozen=True, slots=True)
class Layer:
    """One row of the table: a package or module, with what it may import."""

    name: str
    may_import: tuple[str, ...]
    does_io: bool

    def contains(self, module: str) -> bool:
        return _below(module, self.name)

    def allows(self, module: str) -> bool:
        return self.contains(module) or any(_below(module, name) for name in self.may_import)


def _below(module: str, name: str) -> bool:
    return name in ("*", module) or module.startswith(f"{name}.")


def _read_layers() -> list[Layer]:
    table = PAGE.read_text().split(HEADER, 1)[1].split("\n\n", 1)[0]
    layers = []
    for row in table.splitlines()[2:]:
        names, may_import, does_io = (cell.strip() for cell in row.strip("|").split("|"))
        allowed = tuple(re.findall(r"`([\w.*]+)`", may_import))
        layers += [Layer(name, allowed, does_io == "yes") for name in re.findall(r"`([\w.]+)`", names)]
    return layers


LAYERS = _read_layers()
MODULES = sorted((ROOT / PACKAGE).rglob("*.py"))


def _dotted(path: Path) -> str:
    """Return a file's module name below the project's package; the package itself is `__init__`."""
    parts = path.relative_to(ROOT / PACKAGE).with_suffix("").parts
    return ".".join(parts if len(parts) == 1 or parts[-1] != "__init__" else parts[:-1])


def _layer_of(module: str) -> Layer | None:
    """Return the row that names a module most closely."""
    rows = [layer for layer in LAYERS if layer.contains(module)]
    return max(rows, key=lambda layer: len(layer.name), default=None)


def _imported(path: Path) -> Iterator[str]:
    """Yield each dotted name that a file imports, relative imports excepted: the linter forbids them."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def _project_module(name: str) -> str:
    """Return the module, below the project's package, that an imported dotted name lies in."""
    at, found = ROOT / PACKAGE, []
    for part in name.split(".")[1:]:
        if not (at / part).is_dir() and not (at / f"{part}.py").is_file():
            break
        found.append(part)
        at /= part
    return ".".join(found) or "__init__"


def test_the_table_names_layers_that_exist() -> None:
    assert len({layer.name for layer in LAYERS}) == len(LAYERS) > 0
    modules = [_dotted(path) for path in MODULES]
    named = {name for layer in LAYERS for name in (layer.name, *layer.may_import)} - {"*"}
    assert [name for name in sorted(named) if not any(_below(module, name) for module in modules)] == []


@pytest.mark.parametrize("path", MODULES, ids=_dotted)
def test_imports_keep_to_the_layers(path: Path) -> None:
    module = _dotted(path)
    layer = _layer_of(module)
    assert layer is not None, f"{module} has no row in {PAGE.name}"
    names = {_project_module(name) for name in _imported(path) if name.split(".")[0] == PACKAGE}
    assert [name for name in sorted(names) if not layer.allows(name)] == []


@pytest.mark.parametrize("path", MODULES, ids=_dotted)
def test_modules_without_io_import_none(path: Path) -> None:
    layer = _layer_of(_dotted(path))
    claim = _CLAIM.search(ast.get_docstring(ast.parse(path.read_text())) or "")
    if layer is not None and (claim or not layer.does_io):
        assert {name.split(".")[0] for name in _imported(path)} & IO_MODULES == set()
