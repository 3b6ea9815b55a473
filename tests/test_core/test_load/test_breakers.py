"""Tests of greengagelatch.load.breakers."""

from __future__ import annotations

import random
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.load.breakers import (
    Breaker,
    BreakerRule,
    BreakerState,
    find_ejected,
    trip_slow_targets,
)

RULE = BreakerRule()


def create_breakers(count):
    source = random.Random(1)
    return [(f"t{index}", Breaker(RULE, source)) for index in range(count)]


@given(st.integers(1, 12), st.data())
def test_service_is_never_emptied(count, data):
    """A service is refused as a whole while its targets work.

    This instance's own network fails for a moment, so that all calls fail. Each
    breaker judging its target alone would be the cause.
    """
    breakers = create_breakers(count)
    for _, breaker in breakers:
        for _ in range(data.draw(st.integers(0, 6))):
            breaker.record_failure(0.0)
    ejected = find_ejected(breakers, RULE, 0.1)
    assert len(ejected) <= max(0, min(count - 1, (count + 1) // 2))


def test_slow_target_is_tripped_and_slow_service_is_not():
    """Targets are taken out of an overloaded service, which makes it worse.

    First one of five targets becomes ten times slower, later all of them do.
    Comparing with a fixed time would be the cause.
    """
    breakers = create_breakers(5)
    plain = [breaker for _, breaker in breakers]
    for _ in range(5):
        for breaker in plain:
            breaker.record_latency(10.0 if breaker is plain[1] else 1.0)
    trip_slow_targets(plain, RULE, 0.0)
    assert find_ejected(breakers, RULE, 0.1) == {"t1"}
    plain = [breaker for _, breaker in create_breakers(5)]
    for _ in range(10):
        for breaker in plain:
            breaker.record_latency(10.0)
    trip_slow_targets(plain, RULE, 0.0)
    assert all(b.read_state(0.1) is BreakerState.CLOSED for b in plain)


def test_one_probe_for_each_pause_whatever_becomes_of_it():
    """A target that is still slow gets call after call as soon as it may be probed.

    A probe is given up without a result, as its backup was answered first. Going on
    probing until some probe has a result would be the cause.
    """
    breaker = Breaker(RULE, random.Random(1))
    for _ in range(RULE.consecutive_failures):
        breaker.record_failure(0.0)
    probes = []
    for tick in range(600):
        now = tick * 0.1
        if breaker.read_state(now) is BreakerState.HALF_OPEN:
            breaker.begin_probe(now)
            probes.append(now)
    # pauses double, with a quarter of jitter
    assert len(probes) <= 6
    gaps = [later - earlier for earlier, later in pairwise(probes)]
    assert all(gap >= 2 * 0.75 * RULE.min_ejection for gap in gaps)


def test_good_probe_brings_the_target_back_and_a_slow_one_does_not():
    breaker = Breaker(RULE, random.Random(1))
    for _ in range(RULE.consecutive_failures):
        breaker.record_failure(0.0)
    breaker.begin_probe(10.0)
    breaker.record_latency(20.0)
    assert not breaker.record_success()
    breaker.begin_probe(40.0)
    breaker.record_latency(1.0)
    assert breaker.record_success()
    assert breaker.read_state(40.1) is BreakerState.CLOSED
