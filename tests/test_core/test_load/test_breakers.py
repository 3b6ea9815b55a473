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
def test_some_targets_of_a_service_always_stay_in_service(count, data):
    """Guards against refusing a whole service whose targets work.

    All calls fail for a moment because of this instance's own network. Breakers
    that each decide alone would eject every target.
    """
    breakers = create_breakers(count)
    for _, breaker in breakers:
        for _ in range(data.draw(st.integers(0, 6))):
            breaker.record_failure(0.0)
    ejected = find_ejected(breakers, RULE, 0.1)
    assert len(ejected) <= max(0, min(count - 1, (count + 1) // 2))


def test_slow_target_is_tripped_and_slow_service_is_not():
    """Guards against ejecting targets of an overloaded service.

    First one of five targets becomes ten times slower, then all of them do. A
    comparison with a fixed latency would eject targets in both cases.
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


def test_one_probe_per_ejection_time_whatever_its_result():
    """Guards against an unlimited rate of probes to a target that is still slow.

    A probe ends without a result, as its hedged call was answered first. A breaker
    that stays half-open until a probe has a result would send call after call.
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
    # ejection times double, with a jitter of a quarter
    assert len(probes) <= 6
    gaps = [later - earlier for earlier, later in pairwise(probes)]
    assert all(gap >= 2 * 0.75 * RULE.min_ejection for gap in gaps)


def test_fast_probe_closes_the_breaker_and_a_slow_one_does_not():
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
