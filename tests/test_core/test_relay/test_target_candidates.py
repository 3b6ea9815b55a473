"""Tests of greengagelatch.relay.target_candidates, through the load balancer."""

from __future__ import annotations

import random

import pytest

from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.engine_costs import EngineDemand
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.requests import Prompt
from greengagelatch.relay.send_limits import SendLimits
from greengagelatch.relay.target_rests import TargetRests
from greengagelatch.relay.targets import ListedTarget, TargetTable

NO_TARGETS: frozenset[Incarnation] = frozenset()
NEED = EngineDemand(Prompt(), {})
TARGETS = tuple(Incarnation(f"t-{number}") for number in range(12))
#: random steps of a test, and the seconds between two of them
STEPS = 300
STEP_SECONDS = 0.1


class CountedLimits(SendLimits):
    """Limits that count the targets that they are asked about."""

    def __init__(self, **limits) -> None:
        super().__init__(**limits)
        self.asked = 0

    def may_send(self, target, in_flight, now) -> bool:
        self.asked += 1
        return super().may_send(target, in_flight, now)

    def may_send_warm(self, target, now) -> bool:
        self.asked += 1
        return super().may_send_warm(target, now)


class AlwaysAskedRests(TargetRests):
    def has_any(self) -> bool:
        return True


class AlwaysAskedLimits(SendLimits):
    def has_any(self) -> bool:
        return True


def create_balancer(limits: SendLimits) -> LoadBalancer:
    table = TargetTable()
    for number, incarnation in enumerate(TARGETS):
        table.put(
            ListedTarget(
                incarnation=incarnation,
                service="s",
                address=f"10.0.0.{number}:80",
                data_centre=("north", "south", "east")[number % 3],
                slots=6,
                revision=number + 1,
            )
        )
    return LoadBalancer(
        target_table=table,
        limits=limits,
        data_centre="north",
        random_source=random.Random(4),
    )


def test_limits_are_asked_only_while_there_are_any():
    """Guards against a look at each target's limits for each request of a fleet."""
    limits = CountedLimits()
    balancer = create_balancer(limits)
    assert balancer.choose_engine("s", NEED, NO_TARGETS, 1.0) is not None
    assert not balancer.lacks_room("s", NO_TARGETS, 1.0)
    assert balancer.find_rest("s", NO_TARGETS, 1.0) == 0
    assert limits.asked == 0
    limits.rests.record(TARGETS[0], 5.0, 1.0)
    assert TARGETS[0] not in {
        balancer.choose_engine("s", NEED, NO_TARGETS, 1.0).incarnation
        for _ in range(len(TARGETS))
    }
    assert limits.asked > 0


@pytest.mark.parametrize("seed", range(20))
def test_choices_are_those_of_limits_that_are_always_asked(seed):
    """Guards against a target that is chosen although it is limited, or passed over."""
    usual = create_balancer(SendLimits(cold=ColdTargets(), rests=TargetRests()))
    asked = create_balancer(
        AlwaysAskedLimits(cold=ColdTargets(), rests=AlwaysAskedRests())
    )
    source = random.Random(seed)
    now = 1.0
    for _ in range(STEPS):
        now += STEP_SECONDS
        target = source.choice(TARGETS)
        step = source.randrange(6)
        excluded = frozenset(source.sample(TARGETS, source.choice((0, 0, 1, 3))))
        data_centres = source.choice((None, frozenset({"north", "east"})))
        outcomes = []
        for balancer in (usual, asked):
            limits = balancer._limits
            if step == 0:
                limits.rests.record(target, 0.5, now)
            elif step == 1:
                limits.rests.record_news(target, 0.5, now)
            elif step == 2:
                limits.rests.record_answer(target, now)
            elif step == 3:
                balancer.record_failure(target, now)
            elif step == 4:
                limits.rests.forget(target)
            chosen = balancer.choose_least_loaded(
                "s", excluded, now, data_centres, repeatable=True, may_retry=False
            )
            outcomes.append(
                (
                    chosen,
                    balancer.choose_engine("s", NEED, excluded, now),
                    balancer.lacks_room("s", excluded, now, data_centres),
                    balancer.find_rest("s", excluded, now, data_centres),
                    balancer.count_candidates("s", excluded, now, data_centres),
                    balancer.count_healthy("s", excluded, now, data_centres),
                )
            )
        assert outcomes[0] == outcomes[1]
