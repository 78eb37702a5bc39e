"""Pages that name files, packages and modules name ones that exist."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = "wickspring"
PAGES = sorted(
    str(path.relative_to(ROOT))
    for path in (
        *(ROOT / "docs").rglob("*.md"),
        ROOT / "README.md",
        ROOT / "NOTES.md",
        ROOT / "lab" / "days" / "README.md",
        ROOT / "tests" / "fixtures" / "README.md",
    )
)
PAGES_WITH_PATHS = ("README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md")
WRITTEN_BY_RUNS = frozenset({"report.md"})  # named on pages, and not part of the repository
# Where a path of a page may begin.
BASES = (ROOT, ROOT / PACKAGE)
# A path with a folder (`membership/swim.py`, `lab/days/`), or a module or page by its name alone.
_PATH = re.compile(r"`((?:[\w.*-]+/)+(?:[\w*-]+\.(?:py|md|toml|json|txt))?|[\w*-]+\.(?:py|md))`")
# `wickspring.ctl`, `wickspring.lab.simulation.replication.group`, with or without a name in it.
_MODULE = re.compile(rf"\b{PACKAGE}((?:\.\w+)+)")

# `test_something`, `test_some_...` and `test_some[parameter]`.
_TEST = re.compile(r"`(test_\w+?)(?:_?\.\.\.)?(?:\[[^`]*)?`")
# The target of a Markdown link, other than a web address.
_LINK = re.compile(r"\]\((?!\w+:)([^)#]+)")


def _exists(path: str) -> bool:
    return any(any(base.glob(path.rstrip("/"))) for base in BASES)


def _is_module(dotted: str) -> bool:
    """Return whether a dotted name is a package or module, or a name that one defines at its top level."""
    at = ROOT / PACKAGE
    *parents, last = dotted.strip(".").split(".")
    for part in parents:
        if not (at / part).is_dir():
            module = at / f"{part}.py"
            return (
                module.is_file()
                and re.search(rf"^(class|def|async def) {last}\b", module.read_text(), re.M) is not None
            )
        at = at / part
    return (at / last).is_dir() or (at / f"{last}.py").is_file()


@pytest.mark.parametrize("page", PAGES)
def test_paths_of_a_page_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    paths = set(_PATH.findall(text)) - WRITTEN_BY_RUNS
    assert paths or page not in PAGES_WITH_PATHS, "the page names no path: is the pattern right?"
    assert [path for path in sorted(paths) if not _exists(path)] == []


@pytest.mark.parametrize("page", PAGES)
def test_modules_of_a_page_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    assert [name for name in sorted(set(_MODULE.findall(text))) if not _is_module(name)] == []


@pytest.mark.parametrize("page", PAGES)
def test_tests_named_on_a_page_exist(page: str) -> None:
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    named = set(_TEST.findall((ROOT / page).read_text()))
    assert [name for name in sorted(named) if f"def {name}" not in sources] == []


@pytest.mark.parametrize("page", PAGES)
def test_links_of_a_page_lead_to_files(page: str) -> None:
    targets = set(_LINK.findall((ROOT / page).read_text()))
    folder = (ROOT / page).parent
    assert [target for target in sorted(targets) if not (folder / target).exists()] == []


def _message_classes() -> Iterator[tuple[str, str, str]]:
    """Yield name on the wire, class and module of each message."""
    chain = ROOT / PACKAGE / "controlplane" / "replication" / "messages.py"
    for path in (*(ROOT / PACKAGE / "common" / "messages").glob("*.py"), chain):
        module = str(path.relative_to(ROOT / PACKAGE))
        text = path.read_text()
        for name, tag in re.findall(r'^class (\w+)\([^)]*?\btag="(\w+)"', text, re.M):
            yield f"`{tag}`", f"`{name}`", f"`{module}`"
        for name, kind in re.findall(
            r'^class (\w+):\n(?:    .*\n|\n)*?    KIND: ClassVar = "(\w+)"', text, re.M
        ):
            yield f"`chain`, `{kind}`", f"`{name}`", f"`{module}`"


def test_the_glossary_lists_every_message() -> None:
    section = (ROOT / "docs" / "GLOSSARY.md").read_text().split("## Messages\n", 1)[1].split("\n## ", 1)[0]
    rows = [line.strip("|").split("|") for line in section.splitlines() if line.startswith("| `")]
    named = sorted(tuple(cell.strip() for cell in row) for row in rows)
    classes = sorted(_message_classes())
    assert len(classes) > 40
    assert named == classes
