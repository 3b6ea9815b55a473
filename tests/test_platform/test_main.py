"""Tests of greengagelatch_platform.__main__."""

from __future__ import annotations

import signal

import pytest

from greengagelatch_platform import __main__ as program


@pytest.fixture
def hangup():
    """Restore what SIGHUP does."""
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


def test_hangup_during_the_start_ends_nothing(hangup, monkeypatch):
    """Symptom: an instance that was told to read its settings again is down.

    Sequence: it starts, the signal comes while its modules are imported.
    Cause: a signal without a handler ends the process.
    """
    heard = []
    monkeypatch.setattr(
        program,
        "reduce_import_cost",
        lambda: heard.append(signal.getsignal(signal.SIGHUP)),
    )
    program.main(["--check", "--settings", "/nowhere"])
    assert heard == [signal.SIG_IGN]
