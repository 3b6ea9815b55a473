"""Tests of greengagelatch.relay.part_quarantine."""

from __future__ import annotations

import itertools
import random

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.part_crashes import SharedPart
from greengagelatch.relay.part_quarantine import (
    SETTLE_SECONDS,
    TRIAL_PAUSES,
    PartQuarantine,
)
from greengagelatch.relay.quarantine import (
    AMBIGUOUS_CRASH_LIMIT,
    CRASH_LIMIT,
    QUARANTINE_SECONDS,
    CrashReport,
    Quarantine,
)

#: seconds after a crash at which all decisions on it are final
LATER = SETTLE_SECONDS + 0.01


class Reports:
    """Reports on crashes of one service, one per second."""

    def __init__(self) -> None:
        self.quarantine = PartQuarantine()
        self.now = 0.0
        self._numbers = itertools.count()

    def crash(self, *requests: tuple[str, ...], pause: float = 1.0) -> Incarnation:
        """Report a crash under requests, each given by its shared parts."""
        target = Incarnation(f"t{next(self._numbers)}")
        digests = tuple(f"d{next(self._numbers)}" for _ in requests)
        self.now += pause
        self.quarantine.record_crash(
            CrashReport(target, "llm", digests, requests), self.now
        )
        return target

    def crash_repeatedly(self, count: int, *requests: tuple[str, ...]) -> None:
        for _ in range(count):
            self.crash(*requests)

    def survive(self, *parts: str, age: float = 0.0) -> None:
        found = [SharedPart("llm", part) for part in parts]
        self.quarantine.record_survival(found, self.now - age)

    def is_held(self, *parts: str, service: str = "llm", later: float = LATER) -> bool:
        found = tuple(SharedPart(service, part) for part in parts)
        return self.quarantine.find_hold(found, self.now + later) is not None


def test_part_of_three_crashes_is_quarantined():
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT - 1, ("bad",))
    assert not reports.is_held("bad")
    reports.crash(("bad",))
    assert reports.is_held("bad", "other")
    assert not reports.is_held("other")


def test_part_is_quarantined_at_its_service_only():
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("bad",))
    assert not reports.is_held("bad", service="other")


def test_attempts_at_one_request_speak_against_no_part():
    """Guards against a part held for a request that crashes by its body."""
    reports = Reports()
    for number in range(AMBIGUOUS_CRASH_LIMIT):
        report = CrashReport(Incarnation(f"t{number}"), "llm", ("same",), (("a",),))
        reports.quarantine.record_crash(report, number)
    reports.now = AMBIGUOUS_CRASH_LIMIT
    assert not reports.is_held("a")


def test_crashes_under_a_request_that_crashes_alone_speak_against_no_part():
    """Guards against a part held as it shares targets with a crashing request."""
    reports = Reports()
    for number in range(AMBIGUOUS_CRASH_LIMIT):
        digests = ("same", f"d{number}")
        parts = (("a",), ("b",))
        report = CrashReport(Incarnation(f"t{number}"), "llm", digests, parts)
        reports.quarantine.record_crash(report, number)
    reports.now = AMBIGUOUS_CRASH_LIMIT
    assert not reports.is_held("b")


def test_first_part_of_all_requests_is_not_held_for_one_beside_it():
    """Guards against a route held for a part that only some of its requests have."""
    reports = Reports()
    reports.crash_repeatedly(AMBIGUOUS_CRASH_LIMIT, ("first", "bad"), ("first", "own"))
    assert reports.is_held("first", "bad")
    assert not reports.is_held("first")
    assert not reports.is_held("first", "another")


def test_parts_that_always_came_together_are_held_together():
    """Guards against a harmless part held as only crashing requests brought it yet."""
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("first", "bad"))
    assert reports.is_held("first", "bad")
    assert not reports.is_held("first")


def test_crashing_part_is_held_beside_other_first_parts_once_it_was_there():
    """Guards against a part that escapes as it comes with another first part."""
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("first", "bad"))
    assert reports.is_held("first", "bad")
    reports.crash(("second", "bad"))
    assert reports.is_held("third", "bad")


def test_answered_first_part_does_not_need_to_come_with_the_crashing_one():
    reports = Reports()
    reports.survive("first")
    reports.crash_repeatedly(CRASH_LIMIT, ("first", "bad"))
    assert reports.is_held("second", "bad")
    assert not reports.is_held("first")


def test_answer_clears_a_part_of_the_crashes_before_it():
    reports = Reports()
    reports.crash_repeatedly(2, ("a",))
    reports.survive("a")
    reports.crash_repeatedly(2, ("a",))
    assert not reports.is_held("a")


def test_part_that_was_answered_before_is_held_after_five_crashes():
    """Guards against a part that a new version of the model crashes on."""
    reports = Reports()
    reports.survive("a")
    reports.crash_repeatedly(AMBIGUOUS_CRASH_LIMIT - 1, ("a",))
    assert not reports.is_held("a")
    reports.crash(("a",))
    assert reports.is_held("a")


def test_targets_that_lose_power_together_hold_no_part_that_was_answered():
    """Guards against a route held as a data centre loses power."""
    reports = Reports()
    reports.survive("first")
    for _ in range(3 * AMBIGUOUS_CRASH_LIMIT):
        reports.crash(("first",), pause=0.001)
    assert not reports.is_held("first")


def test_independent_crashes_hold_no_part_that_met_three():
    """Guards against a part held for crashes that happen by chance."""
    reports = Reports()
    for number in range(CRASH_LIMIT):
        reports.crash(("a",))
        reports.crash((f"b{number}",))
    assert not reports.is_held("a")


def test_two_crashing_parts_are_both_quarantined():
    """Guards against a crashing part shielded by the crashes of another one."""
    reports = Reports()
    for number in range(CRASH_LIMIT):
        reports.crash(("bad", f"a{number}"))
        reports.crash(("worse", f"b{number}"))
    assert reports.is_held("bad")
    assert reports.is_held("worse")


def test_decision_is_final_once_other_instances_have_told_what_they_know():
    """Guards against requests refused for a part that another instance has cleared."""
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("a",))
    parts = (SharedPart("llm", "a"),)
    hold = reports.quarantine.find_hold(parts, reports.now)
    assert hold.settle_seconds == SETTLE_SECONDS
    reports.survive("a", age=1.0)
    assert not reports.is_held("a")


def test_part_that_is_tried_later_decides():
    """Guards against a crashing part sent along as a harmless one is tried."""
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("bad",))
    assert reports.is_held("bad")
    for number in range(AMBIGUOUS_CRASH_LIMIT):
        reports.crash(("likely",), (f"other-{number}",))
        reports.crash((f"third-{number}",))
    reports.now += LATER
    both = tuple(SharedPart("llm", part) for part in ("likely", "bad"))
    assert reports.quarantine.find_hold(both[:1], reports.now).trial_seconds == 0
    assert reports.quarantine.find_hold(both, reports.now).trial_seconds > 0


def test_trials_become_rarer():
    """Guards against a crashing part that is tried again every few seconds."""
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("bad",))
    parts = (SharedPart("llm", "bad"),)
    pauses = []
    for _ in range(3):
        reports.now += LATER
        hold = reports.quarantine.find_hold(parts, reports.now)
        pauses.append(round(hold.trial_seconds + LATER))
        reports.now += hold.trial_seconds
        reports.crash(("bad",), pause=0.0)
    assert tuple(pauses) == TRIAL_PAUSES[2:]


def test_trial_that_is_answered_ends_the_quarantine():
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("a",))
    assert reports.is_held("a")
    reports.now += TRIAL_PAUSES[2]
    reports.survive("a")
    assert not reports.is_held("a")


def test_quarantine_ends_with_its_crashes():
    reports = Reports()
    reports.crash_repeatedly(CRASH_LIMIT, ("bad",))
    assert reports.is_held("bad")
    assert not reports.is_held("bad", later=QUARANTINE_SECONDS + 1.0)


def test_crashes_on_a_quarantined_part_blame_no_request():
    """Guards against harmless requests held as they met crashes on one part."""
    reports = Reports()
    quarantine = Quarantine(reports.quarantine.is_explained)
    for number in range(AMBIGUOUS_CRASH_LIMIT):
        report = CrashReport(
            Incarnation(f"t{number}"),
            "llm",
            ("harmless", f"d{number}"),
            (("first",), ("first", "bad")),
        )
        # the request that is sent again and again is not blamed for its parts
        reports.quarantine.record_crash(report, number)
        quarantine.record_crash(report, number)
    for _ in range(AMBIGUOUS_CRASH_LIMIT + 1):
        reports.crash(("other", "bad"))
    assert reports.is_held("other", "bad")
    assert quarantine.find_hold_seconds("harmless", reports.now) is None


def test_order_of_reports_does_not_matter():
    """Guards against instances that disagree although they know the same reports."""
    reports = [
        CrashReport(
            Incarnation(f"t{number}"),
            "llm",
            (f"a{number}", f"b{number}"),
            (("first", "bad"), (f"first-{number}", f"own-{number}")),
        )
        for number in range(AMBIGUOUS_CRASH_LIMIT)
    ]
    source = random.Random(1)
    for _ in range(20):
        source.shuffle(reports)
        quarantine = PartQuarantine()
        for report in reports:
            quarantine.record_crash(report, 0.0)
        holds = quarantine.list_holds(LATER)
        assert {hold.part.part_id for hold in holds} == {"first", "bad"}
