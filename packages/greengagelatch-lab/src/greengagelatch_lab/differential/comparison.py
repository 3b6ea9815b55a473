"""Counts of the guarantees that each system violates under generated histories."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import HealthCheck, Phase, given, seed, settings

from ..matrix.checker import Guarantee, Violation
from .histories import History, histories
from .naive import NaiveInstance
from .replay import replay_history

__all__ = ("CATEGORIES", "Comparison", "compare")

#: the violated guarantees that each counted category comprises
CATEGORIES = {
    "lost": (Guarantee.LOST,),
    "doubled": (Guarantee.DUPLICATED,),
    "crossed": (Guarantee.MISROUTED,),
    "false not run": (Guarantee.FALSE_NOT_RUN,),
    "cut": (Guarantee.DISCONNECTED,),
    "reverted": (Guarantee.REVERTED, Guarantee.NOT_IN_FORCE),
    "late": (Guarantee.LATE,),
    "leaving target used": (Guarantee.DRAINING_TARGET_USED,),
    "other": (
        Guarantee.NO_RETRY_DELAY,
        Guarantee.REJECTED_LATE,
        Guarantee.NOT_RECOVERED,
    ),
}


@dataclass(slots=True)
class Comparison:
    """Violation counts over a number of histories."""

    histories: int = 0
    #: number of histories under which each system violated a guarantee, by category
    ours: Counter[str] = field(default_factory=Counter)
    naive: Counter[str] = field(default_factory=Counter)
    #: histories under which the system under test violated any guarantee
    failures: list[tuple[History, list[Violation]]] = field(default_factory=list)


def compare(seed_number: int, examples: int) -> Comparison:
    """Replay the histories generated from a seed on both systems."""
    comparison = Comparison()

    @seed(seed_number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(histories())
    def play_both(history: History) -> None:
        breaches = replay_history(history)
        comparison.histories += 1
        comparison.ours.update(_categorize(breaches))
        comparison.naive.update(_categorize(replay_history(history, NaiveInstance)))
        if breaches:
            comparison.failures.append((history, breaches))

    level = logging.root.manager.disable
    # errors logged while faults are active are expected
    logging.disable(logging.CRITICAL)
    try:
        play_both()
    finally:
        logging.disable(level)
    return comparison


def _categorize(breaches: list[Violation]) -> set[str]:
    broken = {breach.guarantee for breach in breaches}
    return {name for name, kinds in CATEGORIES.items() if broken.intersection(kinds)}
