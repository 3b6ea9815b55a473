"""Tests of starting and stopping processes."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from greengagelatch_lab.processes import Process, ProcessError

pytestmark = pytest.mark.processes


def build_process(directory: Path, script: str) -> Process:
    return Process("child", sys.executable, "-c", script, directory=directory)


async def test_ready_line_is_awaited(tmp_path: Path) -> None:
    script = "print('begin'); print('ready 127.0.0.1:1', flush=True); input()"
    process = build_process(tmp_path, script + " or exit(3)")
    # standard input is empty, so the child exits by itself
    async with process:
        assert process.ready == "127.0.0.1:1"
        assert await process.wait() != 0
    assert "EOFError" in process.stderr.read_text()


async def test_failed_start_shows_the_output(tmp_path: Path) -> None:
    process = build_process(tmp_path, "raise SystemExit('no such port')")
    with pytest.raises(ProcessError, match="no such port"):
        await process.start()


async def test_start_is_bounded_and_cleaned_up(tmp_path: Path) -> None:
    process = build_process(tmp_path, "import time; time.sleep(600)")
    with pytest.raises(ProcessError, match="not ready"):
        await process.start(timeout=0.2)
    await process.stop()
    assert process.returncode is not None


async def test_halted_and_deaf_process_is_ended(tmp_path: Path) -> None:
    """Guards against processes that outlive a failed test and disturb later ones.

    The process is paused and ignores SIGTERM.
    """
    script = (
        "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
        "print('ready x', flush=True); time.sleep(600)"
    )
    process = build_process(tmp_path, script)
    await process.start()
    process.pause()
    await process.stop(timeout=0.2)
    assert process.returncode is not None
