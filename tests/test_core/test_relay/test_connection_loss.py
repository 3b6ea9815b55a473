"""Tests of greengagelatch.relay.connection_loss."""

from __future__ import annotations

import pytest

from greengagelatch.relay.connection_loss import ConnectionLossRule


def create(user: float, idle: int, interval: int, count: int) -> ConnectionLossRule:
    return ConnectionLossRule(
        user_timeout=user,
        probe_idle=idle,
        probe_interval=interval,
        probe_count=count,
    )


def replay(rule: ConnectionLossRule, is_lost) -> float:
    """Return the second at which Linux drops a connection without data.

    :param is_lost: whether a probe sent at a second is lost
    """
    heard, now, unanswered = 0.0, float(rule.probe_idle), 0
    while now < 1000:
        expired = now - heard >= rule.user_timeout
        if not rule.user_timeout:
            expired = unanswered >= rule.probe_count
        if expired and unanswered:
            return now
        if is_lost(now):
            unanswered += 1
            now += rule.probe_interval
            continue
        heard, unanswered = now, 0
        now += rule.probe_idle
    return float("inf")


RULES = [
    create(user, idle, interval, count)
    for user in (0.0, 2.0, 5.0, 6.5)
    for idle in (1, 3, 10)
    for interval in (1, 2, 5)
    for count in (1, 2, 5)
]


@pytest.mark.parametrize("rule", RULES)
def test_vanished_peer_is_noticed_when_the_kernel_does(rule):
    assert rule.find_drop_time() == replay(rule, lambda now: True)


@pytest.mark.parametrize("rule", RULES)
def test_number_of_losable_probes_is_that_of_the_kernel(rule):
    """Guards against bounds by which a single lost probe ends a connection."""
    probes = [rule.probe_idle + n * rule.probe_interval for n in range(1000)]
    losable = probes[: rule.count_losable_probes()]
    assert replay(rule, lambda now: now in losable) == float("inf")
    one_more = probes[: rule.count_losable_probes() + 1]
    assert replay(rule, lambda now: now in one_more) < float("inf")


@pytest.mark.parametrize(
    ("rule", "seconds", "probes"),
    [
        # the number of probes has no effect
        (create(2.0, 1, 1, 2), 1.0, 0),
        (create(2.0, 1, 1, 9), 1.0, 0),
        (create(5.0, 1, 1, 4), 4.0, 3),
        (create(0.0, 1, 1, 4), 4.0, 3),
        # data that is not acknowledged ends it before a probe does
        (create(5.0, 10, 10, 9), 5.0, 0),
    ],
)
def test_survived_silence(rule, seconds, probes):
    assert rule.find_survived_silence() == seconds
    assert rule.count_losable_probes() == probes
