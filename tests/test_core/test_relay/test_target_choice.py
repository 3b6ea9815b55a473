"""Tests of greengagelatch.relay.target_choice."""

from __future__ import annotations

import random

from greengagelatch.load.breakers import Breaker
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.target_candidates import BREAKER_RULE
from greengagelatch.relay.target_choice import FastestChoice
from greengagelatch.relay.target_speeds import Answer, SpeedMode, TargetSpeeds
from greengagelatch.relay.target_states import TargetState
from greengagelatch.relay.targets import ListedTarget

NOW = 100.0


class Service:
    """A fast target that is always in use, and slow ones that are due a trial."""

    def __init__(self) -> None:
        self.targets = [create_target(number) for number in range(3)]
        self.fast = self.targets[0]
        source = random.Random(1)
        self.states = {
            one.incarnation: TargetState(Breaker(BREAKER_RULE, source))
            for one in self.targets
        }
        self.states[self.fast.incarnation].in_flight = 1
        speeds = TargetSpeeds(SpeedMode.ALWAYS)
        for _ in range(20):
            for one in self.targets:
                seconds = 0.02 if one is self.fast else 0.2
                answer = Answer(requests=1.0, kind="r", seconds=seconds)
                speeds.record_answer(one, answer, NOW)
        self.choice = FastestChoice(
            own="10.1.0.1:7",
            data_centre="north",
            speeds=speeds,
            find_state=self.states.__getitem__,
            random_source=source,
        )

    def is_tried(self, *, may_try: bool = True) -> bool:
        """Return whether the next request is a trial of a slow target."""
        chosen = self.choice.choose("s", self.targets, NOW, may_try=may_try)
        return chosen is not self.fast


def create_target(number: int) -> ListedTarget:
    return ListedTarget(
        incarnation=Incarnation(f"t-{number}"),
        service="s",
        address=f"10.0.0.{number}:80",
        data_centre="north",
        slots=4,
        revision=number + 1,
    )


def test_slower_target_leads_to_a_trial_of_another():
    """Guards against instances with few requests that find what is fast now too late.

    Their regular trials, one in fifty requests, are many seconds apart.
    """
    service = Service()
    assert not service.is_tried()
    service.choice.record_change("s")
    assert service.is_tried()
    assert not service.is_tried()


def test_retry_leaves_the_trial_to_the_next_request():
    """Guards against a last attempt that is spent to learn of a target."""
    service = Service()
    service.choice.record_change("s")
    assert not service.is_tried(may_try=False)
    assert service.is_tried()


def test_slower_answers_all_the_time_allow_few_trials():
    """Guards against a service whose times vary and whose requests become trials."""
    calm, varying = Service(), Service()
    for _ in range(10):
        varying.choice.record_change("s")
        varying.is_tried()
    regular = saved = 0
    for _ in range(2000):
        regular += calm.is_tried()
        varying.choice.record_change("s")
        saved += varying.is_tried()
    assert 30 <= regular <= 40
    assert saved <= 60


def test_trials_are_saved_again_after_a_change():
    """Guards against an instance that follows only the first change of speeds."""
    service = Service()
    for _ in range(10):
        service.choice.record_change("s")
        service.is_tried()
    for _ in range(400):
        service.is_tried()
    followed = 0
    for _ in range(4):
        service.choice.record_change("s")
        followed += service.is_tried()
    assert followed >= 3
