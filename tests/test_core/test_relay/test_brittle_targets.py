"""Tests of the limits on what brittle targets have to reject."""

from __future__ import annotations

from greengagelatch.relay.brittle_services import (
    HOP_SECONDS,
    BrittleNews,
    BrittleServices,
    BrittleSource,
)
from greengagelatch.relay.brittle_targets import (
    LAPSE_SECONDS,
    TURN_SECONDS,
    WINDOW_SECONDS,
    BrittleTargets,
)
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.load_reports import LoadReport
from greengagelatch.relay.targets import ListedTarget

SLOTS = 4
FULL = LoadReport(running=SLOTS, waiting=0, slots=SLOTS)
NAMES = frozenset(f"entry-{n}" for n in range(9))


def make_target(target_id: str = "desk-1", slots: int = SLOTS) -> ListedTarget:
    return ListedTarget(
        incarnation=Incarnation(target_id, 1),
        service="desk",
        address=f"{target_id}:1",
        data_centre="north",
        slots=slots,
    )


def respond(rule, limit, *, target=None, rejected=False, load=None, now=0.0):
    rule.record_response(
        target or make_target(),
        limit=limit,
        rejected=rejected,
        load=load,
        in_flight=0,
        now=now,
    )


def test_targets_that_are_not_brittle_are_not_limited():
    rule = BrittleTargets()
    respond(rule, None, rejected=True)
    assert rule.may_send(make_target(), 1000, 0.0)


def test_limit_ends_with_the_first_response_without_it():
    changes = []
    rule = BrittleTargets(on_changed=lambda _, limit: changes.append(limit))
    respond(rule, 3)
    respond(rule, 5)
    assert rule.find_limit(make_target(), 0.0) == 5
    respond(rule, None)
    assert rule.find_limit(make_target(), 0.0) is None
    # the number changes with each response, and would fill the log
    assert changes == [3, None]


def test_limit_lapses_if_the_target_is_silent():
    rule = BrittleTargets()
    respond(rule, 3)
    assert rule.find_limit(make_target(), LAPSE_SECONDS - 0.1) == 3
    assert rule.find_limit(make_target(), LAPSE_SECONDS) is None


def test_limit_holds_for_targets_of_the_service_that_have_not_responded():
    """Guards against a target that restarts and falls before its first response."""
    rule = BrittleTargets()
    respond(rule, 3)
    assert rule.find_limit(make_target("desk-2"), 1.0) == 3


def test_instances_share_the_slots_of_a_target():
    rules = [BrittleTargets(own=name, find_instances=lambda: NAMES) for name in NAMES]
    for rule in rules:
        respond(rule, 1, load=FULL)
    assert sum(rule.may_send(make_target(), 0, 0.5) for rule in rules) == SLOTS


def test_requests_at_risk_stay_below_the_limit_in_every_turn():
    """Guards against a limit that all instances use up at the same time."""
    limit = 10
    for turn in range(20):
        seconds = [turn * TURN_SECONDS]
        rules = [
            BrittleTargets(
                own=name,
                find_instances=lambda: NAMES,
                find_wall_seconds=lambda seconds=seconds: seconds[0],
            )
            for name in NAMES
        ]
        for rule in rules:
            respond(rule, limit)
        sends = 0
        for rule in rules:
            at_risk = 0
            while rule.may_send(make_target(slots=0), at_risk, 2.0):
                at_risk += 1
            sends += at_risk
        assert sends <= limit / 2


def test_rejections_of_the_last_second_count_as_requests_at_risk():
    rule = BrittleTargets()
    respond(rule, 4, rejected=True)
    assert rule.may_send(make_target(), 0, 0.0)
    respond(rule, 4, rejected=True)
    assert not rule.may_send(make_target(), 0, 0.0)
    assert rule.may_send(make_target(), 0, WINDOW_SECONDS)


def test_nothing_is_risked_at_a_target_that_reports_to_be_full():
    rule = BrittleTargets()
    respond(rule, 30, load=FULL)
    assert not rule.may_send(make_target(), SLOTS, 0.5)
    respond(rule, 30, load=LoadReport(running=1, waiting=0, slots=SLOTS))
    assert rule.may_send(make_target(), SLOTS, 0.5)


def test_state_of_a_target_that_is_gone_is_discarded():
    rule = BrittleTargets()
    respond(rule, 3)
    assert list(rule.describe(0.0)) == [str(make_target().incarnation)]
    rule.forget(make_target().incarnation)
    assert rule.describe(0.0) == {}


def tell(services, limit=3, *, age=0.0, now=0.0):
    services.record_news(BrittleNews(service="desk", limit=limit, age=age), now)


def test_news_bound_an_instance_without_any_response():
    services = BrittleServices()
    rule = BrittleTargets(services=services)
    tell(services, 0)
    assert rule.find_limit(make_target(), 1.0) == 0
    assert not rule.may_send(make_target(), SLOTS, 1.0)


def test_older_news_do_not_overrule_a_response():
    """Guards against a limit that other instances keep up after its end."""
    services = BrittleServices()
    rule = BrittleTargets(services=services)
    respond(rule, None, now=5.0)
    tell(services, age=1.0, now=5.5)
    assert rule.find_limit(make_target(), 5.5) is None
    tell(services, age=0.1, now=5.9)
    assert rule.find_limit(make_target(), 5.9) == 3
    respond(rule, None, now=6.0)
    assert rule.find_limit(make_target(), 6.0) is None


def test_instances_do_not_prolong_the_news_of_each_other():
    """Guards against news that go back and forth for good."""
    ended = []
    first = BrittleServices(on_ended=ended.append)
    second = BrittleServices()
    first.record_response("desk", 3, 0.0)
    now = 0.0
    while now < 2 * LAPSE_SECONDS:
        for sender, receiver in ((first, second), (second, first)):
            news = sender.list_news(now)
            now += HOP_SECONDS / 2
            for one in news:
                receiver.record_news(one, now)
    assert ended == ["desk"]
    assert first.describe(now) == second.describe(now) == {}


def test_each_change_of_a_service_is_reported_once_with_its_source():
    begun = []
    services = BrittleServices(on_begun=lambda *change: begun.append(change))
    tell(services, 3)
    tell(services, 4, now=0.5)
    services.record_response("desk", 5, 1.0)
    assert begun == [("desk", 3, BrittleSource.PEER)]
    services.record_response("desk", 6, 1.0 + LAPSE_SECONDS)
    assert begun[1:] == [("desk", 6, BrittleSource.TARGET)]


def hear_of_runs(seconds: float, limit: int = 0) -> BrittleTargets:
    """Return the rule of an instance that hears of a brittle service with long runs."""
    services = BrittleServices()
    news = BrittleNews(service="desk", limit=limit, age=0.0, run_seconds=seconds)
    services.record_news(news, 0.0)
    return BrittleTargets(services=services)


def test_share_is_not_used_while_earlier_requests_of_others_may_run():
    """Guards against shares that other instances' requests still take.

    They were sent before the targets were known to be brittle, and run long.
    """
    rule = hear_of_runs(5.0)
    assert not rule.may_send(make_target(), 0, 1.0)
    assert rule.may_send(make_target(), SLOTS - 1, 5.0)
    assert not rule.may_send(make_target(), SLOTS, 5.0)


def test_requests_may_follow_each_other_while_those_of_others_run():
    rule = hear_of_runs(5.0)
    respond(rule, 0, now=1.0)
    assert rule.may_send(make_target(), 0, 1.0)
    assert not rule.may_send(make_target(), 1, 1.0)


def test_request_that_was_not_rejected_is_no_longer_at_risk():
    rule = hear_of_runs(9.0, limit=2)
    target = make_target()
    assert rule.may_send(target, 0, 1.0)
    rule.record_start(target.incarnation, 0, 1.0)
    assert not rule.may_send(target, 1, 1.0 + WINDOW_SECONDS - 0.1)
    assert rule.may_send(target, 1, 1.0 + WINDOW_SECONDS)


def test_rejection_within_the_share_holds_for_as_long_as_requests_run():
    """Guards against instances that each try again while their slots are taken."""
    rule = hear_of_runs(3.0)
    respond(rule, 0, rejected=True, now=8.0)
    assert not rule.may_send(make_target(), 0, 8.0 + 2.9)
    assert rule.may_send(make_target(), 0, 8.0 + 3.0)


def test_longest_run_is_told_while_the_request_still_runs():
    services = BrittleServices()
    rule = BrittleTargets(services=services)
    target = make_target()
    for sent_at in (0.0, 1.0, 2.0):
        rule.record_start(target.incarnation, int(sent_at), sent_at)
    rule.record_response(
        target, limit=3, rejected=False, load=None, in_flight=2, now=3.0
    )
    rule.may_send(target, 2, 4.0)
    assert [news.run_seconds for news in services.list_news(4.0)] == [3.0]
    rule.may_send(target, 0, 9.0)
    assert [news.run_seconds for news in services.list_news(9.0)] == [3.0]
