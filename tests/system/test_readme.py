from __future__ import annotations

import re
from pathlib import Path

import pytest

README = Path(__file__).parents[2] / "README.md"


def test_example_runs_as_shown(capsys: pytest.CaptureFixture[str]) -> None:
    text = README.read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    shown = re.search(r"^prints `(.*)`\.$", text, re.M)
    assert example is not None
    assert shown is not None
    exec(compile(example.group(1), "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == shown.group(1)
