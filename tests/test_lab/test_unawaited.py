"""Tests that a coroutine that is never awaited fails the test run."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent

#: timeout of a pytest run with one test in seconds, also on a heavily loaded host
TIMEOUT = 100.0

DROPPED = """
async def work():
    pass

def test_work():
    work()
"""

IN_CYCLE = """
async def work():
    pass

def test_work():
    cycle = [work()]
    cycle.append(cycle)
"""

AWAITED = """
async def work():
    pass

async def test_work():
    await work()
"""


@pytest.mark.parametrize(("text", "code"), [(DROPPED, 1), (IN_CYCLE, 1), (AWAITED, 0)])
def test_coroutine_that_is_never_awaited_fails_the_run(tmp_path, text, code):
    """A coroutine that is never awaited must not pass as a mere warning.

    Its work is skipped, and its finaliser can only warn: at once, or, in a reference
    cycle, when the garbage collector runs later.
    """
    (tmp_path / "test_work.py").write_text(text, encoding="utf-8")
    shutil.copy(ROOT / "tests" / "conftest.py", tmp_path)
    options = ["-q", "-p", "no:cacheprovider", "-c", str(ROOT / "pyproject.toml")]
    run = subprocess.run(
        [sys.executable, "-m", "pytest", *options, str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
        check=False,
        cwd=tmp_path,
    )
    assert run.returncode == code, run.stdout + run.stderr
    assert ("PytestUnraisableExceptionWarning" in run.stdout) is bool(code)
