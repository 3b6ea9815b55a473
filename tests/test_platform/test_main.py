"""Tests of greengagelatch_platform.__main__."""

from __future__ import annotations

import signal

import pytest

from greengagelatch_platform import __main__ as program


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
