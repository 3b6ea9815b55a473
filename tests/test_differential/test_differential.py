"""Tests of greengagelatch_lab.differential."""

from __future__ import annotations

import logging

import pytest
from hypothesis import HealthCheck, Phase, example, given, seed, settings

from greengagelatch_lab.differential.comparison import CATEGORIES
from greengagelatch_lab.differential.histories import (
    ChangeEvent,
    FaultEvent,
    History,
    LeaveEvent,
    RequestEvent,
    StopEvent,
    histories,
)
from greengagelatch_lab.differential.naive import NaiveInstance
from greengagelatch_lab.differential.replay import replay_history

#: seed of the generated histories, and seeds of the random draws in the shrunk ones
SEED = 20
CHANCES = (1, 2, 3, 4)
EXAMPLES = 25


def ask(at, instance=0, *, booking=False, keyed=False):
    return RequestEvent(
        at=at, instance=instance, booking=booking, keyed=keyed, stream=False
    )


def fail(at, name, duration=6.0):
    return FaultEvent(at=at, name=name, instance=0, duration=duration)


#: minimal histories under which the naive version violates a guarantee
SHRUNK = {
    # a connection stays in use after a call on it got no answer
    "lost": (ask(0.35), ask(0.75), fail(0.0, "connection gone silent")),
    # the stored result of the first run is lost with its process
    "doubled": (ask(0.0, booking=True, keyed=True), fail(0.1, "process killed")),
    # late answers are matched to later calls
    "crossed": (
        *(ask(round(0.2 * number, 1)) for number in range(8)),
        fail(0.3, "data centres cut from each other", 3.0),
    ),
    # every failure is reported as not run
    "false not run": (
        *(ask(round(0.2 * number, 1), number % 3, booking=True) for number in range(4)),
        fail(0.0, "failing stage"),
    ),
    "cut": (ask(0.0), StopEvent(at=0.0, instance=0)),
    # a write that was applied is treated as failed
    "reverted": (
        ChangeEvent(at=0.5, instance=0),
        fail(0.5, "write applied but answer lost"),
    ),
    # each attempt has a timeout, but the request has no deadline
    "late": (ask(0.35), ask(0.75), fail(0.0, "connection gone silent")),
    # leaving targets are known from the instance list only
    "leaving target used": (
        fail(0.0, "list lagging", 8.0),
        LeaveEvent(at=0.1, target=0),
        *(ask(round(6.0 + 0.2 * number, 1)) for number in range(6)),
    ),
}


@pytest.fixture(autouse=True)
def quiet():
    """Suppress the errors that components log while faults are active."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("category", SHRUNK)
def test_only_the_naive_version_breaks_a_shrunk_history(category):
    seen = []
    for chance in CHANCES:
        history = History(seed=chance, events=SHRUNK[category])
        assert replay_history(history) == []
        broken = {breach.guarantee for breach in replay_history(history, NaiveInstance)}
        seen.append(bool(broken.intersection(CATEGORIES[category])))
    print(f"naive version fails with {seen.count(True)} of {len(seen)} seeds")
    assert any(seen)


@seed(SEED)
@settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=[Phase.explicit, Phase.generate, Phase.shrink],
    suppress_health_check=list(HealthCheck),
)
@example(History(seed=1, events=SHRUNK["crossed"]))
@given(histories())
def test_system_keeps_its_promises_under_drawn_histories(history):
    breaches = replay_history(history)
    assert not breaches, "\n".join(map(str, breaches))


def test_simulated_instances_print_nothing_at_their_start(capfd):
    """Guards against simulated instances that run the start of a real process.

    Methods of the application were renamed, but not those that replace them in the
    simulation: each instance printed its addresses and handled signals.
    """
    replay_history(History(seed=SEED, events=(ask(1.0),)))
    assert capfd.readouterr().out == ""
