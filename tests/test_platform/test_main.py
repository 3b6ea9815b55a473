"""Tests of greengagelatch_platform.__main__."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from greengagelatch_platform import __main__ as program

#: modules that only the own interface, or a part of a library that isn't used, needs
UNUSED_MODULES = {
    "aiohttp.web",
    "configparser",
    "greengagelatch.config.objects",
    "greengagelatch.settings",
    "greengagelatch_entry.composition",
    "statsd",
}


@pytest.fixture
def hangup():
    """Restore the handler of SIGHUP after the test."""
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


def test_sighup_during_start_is_ignored(hangup, monkeypatch):
    """Guards against the end of an instance that is told to reload its settings.

    The signal arrives while modules are imported, before its handler is installed;
    its default action ends the process.
    """
    handlers = []
    monkeypatch.setattr(
        program,
        "reduce_import_cost",
        lambda: handlers.append(signal.getsignal(signal.SIGHUP)),
    )
    program.main(["--check", "--settings", "/nowhere"])
    assert handlers == [signal.SIG_IGN]


def test_start_loads_no_parts_of_the_own_interface():
    """Guards against starts that take longer by modules that nobody uses there.

    An import that is needed for types, or by way of a package, loads them again.
    """
    code = "import sys, greengagelatch_platform.program; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    assert not UNUSED_MODULES & set(output.stdout.split())
