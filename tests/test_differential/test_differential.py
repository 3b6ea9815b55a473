"""The system and its naive version under the same histories."""

from __future__ import annotations

import logging

import pytest
from hypothesis import HealthCheck, Phase, example, given, seed, settings

from greengagelatch_lab.differential.comparing import CATEGORIES
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
from greengagelatch_lab.differential.playing import play

#: seed of the histories that are drawn, and of the chance inside the shrunk ones
SEED = 20
CHANCES = (1, 2, 3, 4)
EXAMPLES = 25


def ask(at, instance=0, *, booking=False, keyed=False):
    return RequestEvent(
        at=at, instance=instance, booking=booking, keyed=keyed, stream=False
    )


def fail(at, name, lasting=6.0):
    return FaultEvent(at=at, name=name, instance=0, lasting=lasting)


#: histories that broke a promise of the naive version, shrunk to what it takes
SHRUNK = {
    # a connection keeps on being used after it has swallowed a call
    "lost": (ask(0.35), ask(0.75), fail(0.0, "connection gone silent")),
    # the outcome of the first run died with the process that had made it
    "doubled": (ask(0.0, booking=True, keyed=True), fail(0.1, "process killed")),
    # answers that were late are taken for those of later calls
    "crossed": (
        *(ask(round(0.2 * number, 1)) for number in range(8)),
        fail(0.3, "data centres cut from each other", 3.0),
    ),
    # whatever failed is said not to have run
    "false not run": (
        *(ask(round(0.2 * number, 1), number % 3, booking=True) for number in range(4)),
        fail(0.0, "failing stage"),
    ),
    "cut": (ask(0.0), StopEvent(at=0.0, instance=0)),
    # a write that took effect is taken for one that did not
    "reverted": (
        ChangeEvent(at=0.5, instance=0),
        fail(0.5, "write applied but answer lost"),
    ),
    # each attempt has a time limit, and the request as a whole none
    "late": (ask(0.35), ask(0.75), fail(0.0, "connection gone silent")),
    # only the list says who leaves
    "leaving target used": (
        fail(0.0, "list lagging", 8.0),
        LeaveEvent(at=0.1, target=0),
        *(ask(round(6.0 + 0.2 * number, 1)) for number in range(6)),
    ),
}


@pytest.fixture(autouse=True)
def quiet():
    """Keep back what the parts complain of while faults last."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("category", SHRUNK)
def test_only_the_naive_version_breaks_a_shrunk_history(category):
    seen = []
    for chance in CHANCES:
        history = History(seed=chance, events=SHRUNK[category])
        assert play(history) == []
        broken = {breach.guarantee for breach in play(history, NaiveInstance)}
        seen.append(bool(broken.intersection(CATEGORIES[category])))
    print(f"naive version breaks it with {seen.count(True)} of {len(seen)} seeds")
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
    breaches = play(history)
    assert not breaches, "\n".join(map(str, breaches))
