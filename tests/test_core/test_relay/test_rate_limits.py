"""Tests of the rates that targets name."""

from __future__ import annotations

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.rate_limits import (
    DOUBLING_SECONDS,
    ENDED_SECONDS,
    LAPSE_SECONDS,
    MIN_RATE,
    NO_RATE,
    RECOVERY_SECONDS,
    NamedRate,
    RateLimitNews,
    RateLimits,
    RateSource,
)

TARGET = Incarnation("t-1", 1)


def create_news(rate: float, age: float, *, has_ended: bool = False) -> RateLimitNews:
    return RateLimitNews(incarnation=TARGET, rate=rate, age=age, has_ended=has_ended)


def test_last_rate_counts_until_an_answer_names_none():
    changes = []
    limits = RateLimits(on_changed=lambda *change: changes.append(change))
    assert limits.find_rate(TARGET, 0.0) is None
    for rate in (2.0, 2.0, 0.5):
        limits.record_answer(TARGET, NamedRate(rate), 1.0)
    assert limits.find_rate(TARGET, 100.0) == 0.5
    limits.record_answer(TARGET, NamedRate(is_unreadable=True), 100.0)
    assert limits.find_rate(TARGET, 100.0) == 0.5
    limits.record_answer(TARGET, NO_RATE, 101.0)
    assert limits.find_rate(TARGET, 101.0 + RECOVERY_SECONDS) is None
    source = RateSource.TARGET
    assert changes == [
        (TARGET, 2.0, source),
        (TARGET, 0.5, source),
        (TARGET, None, source),
    ]


def test_target_that_takes_nothing_is_asked_now_and_then():
    """Guards against a limit that never ends, as no answer can tell of its end."""
    limits = RateLimits()
    limits.record_answer(TARGET, NamedRate(0.0), 0.0)
    assert limits.find_rate(TARGET, 1.0) == MIN_RATE


def test_rate_rises_step_by_step_after_the_end_of_a_limit():
    """Guards against all instances that turn to the target at once."""
    limits = RateLimits()
    limits.record_answer(TARGET, NamedRate(8.0), 0.0)
    limits.record_answer(TARGET, NO_RATE, 10.0)
    assert limits.find_rate(TARGET, 10.0) == 8.0
    assert limits.find_rate(TARGET, 10.0 + DOUBLING_SECONDS) == 16.0
    assert limits.find_rate(TARGET, 10.0 + 3 * DOUBLING_SECONDS) == 64.0
    assert limits.find_rate(TARGET, 10.0 + RECOVERY_SECONDS) is None


def test_older_news_do_not_overrule_an_answer():
    limits = RateLimits()
    limits.record_answer(TARGET, NamedRate(2.0), 10.0)
    limits.record_answer(TARGET, NO_RATE, 20.0)
    limits.record_news(create_news(2.0, 3.0), 22.0)
    assert limits.find_rate(TARGET, 20.0 + RECOVERY_SECONDS) is None
    limits.record_news(create_news(3.0, 0.5), 22.0)
    assert limits.find_rate(TARGET, 22.0) == 3.0
    limits.record_news(create_news(3.0, 0.0, has_ended=True), 25.0)
    assert limits.find_rate(TARGET, 25.0 + RECOVERY_SECONDS) is None


def test_news_age_on_their_way_and_lapse():
    """Guards against a limit that instances tell each other for good."""
    limits, others = RateLimits(), RateLimits()
    limits.record_answer(TARGET, NamedRate(2.0), 0.0)
    now = 0.0
    while now < LAPSE_SECONDS + 1.0:
        now += 10.0
        for teller, listener in ((limits, others), (others, limits)):
            for news in teller.list_news(now):
                listener.record_news(news, now)
    assert not limits
    assert not others


def test_end_of_a_limit_is_told_for_some_time():
    limits = RateLimits()
    limits.record_answer(TARGET, NamedRate(2.0), 0.0)
    limits.record_answer(TARGET, NO_RATE, 1.0)
    (news,) = limits.list_news(2.0)
    assert news.has_ended
    assert news.age == pytest.approx(1.0)
    assert limits.list_news(1.0 + ENDED_SECONDS) == []
