"""Tests of the loans of slots of brittle targets between instances."""

from __future__ import annotations

from greengagelatch.relay.brittle_services import BrittleNews, BrittleServices
from greengagelatch.relay.brittle_targets import PEAK_SECONDS, BrittleTargets
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.slot_lending import (
    LOAN_SECONDS,
    MAX_LENT_RUN_SECONDS,
    PAUSE_SECONDS,
    WANT_SECONDS,
    SlotLending,
)
from greengagelatch.relay.targets import ListedTarget

NAMES = frozenset({"entry-1", "entry-2"})
#: share of each of the two instances
SHARE = 4
RUN_SECONDS = 0.5
#: time of the loans, when requests from before the service was brittle have ended
START = 5.0
TARGETS = tuple(
    ListedTarget(
        incarnation=Incarnation(f"desk-{number}", 1),
        service="desk",
        address=f"desk-{number}:1",
        data_centre="north",
        slots=SHARE * 2,
    )
    for number in (1, 2)
)


class Instance:
    """The rule and the loans of an instance; its service tolerates no rejection."""

    def __init__(self, name: str, started_at: float = 0.0) -> None:
        self.services = BrittleServices()
        self.lending = SlotLending(services=self.services)
        self.rule = BrittleTargets(
            own=name,
            find_instances=lambda: NAMES,
            services=self.services,
            lending=self.lending,
            started_at=started_at,
        )
        self.hear()

    def hear(self, run_seconds: float = RUN_SECONDS) -> None:
        news = BrittleNews(service="desk", limit=0, age=0.0, run_seconds=run_seconds)
        self.services.record_news(news, 0.0)

    def lend(self, now: float, borrower: str = "entry-1") -> dict[Incarnation, int]:
        idle = [(target, 0) for target in TARGETS]
        return self.rule.lend("desk", borrower, idle, now)

    def borrow(self, lender: Instance, asked_at: float, answered_at: float) -> None:
        self.lending.record_need("desk", asked_at)
        request = self.lending.create_request(asked_at)
        lent = lender.lend((asked_at + answered_at) / 2)
        self.lending.record_loan("entry-2", request.number, lent, answered_at)

    def count_room(self, now: float) -> int:
        """Return how many requests it may have at all targets."""
        total = 0
        for target in TARGETS:
            in_flight = 0
            while self.rule.may_send(target, in_flight, now):
                in_flight += 1
            total += in_flight
        return total


ALL = 2 * SHARE * len(TARGETS)


def create_instances() -> tuple[Instance, Instance]:
    return Instance("entry-1"), Instance("entry-2")


def test_instance_lends_all_but_one_of_the_slots_that_it_does_not_need():
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START + 0.1)
    assert borrower.count_room(START + 0.1) == ALL - 1
    assert lender.count_room(START + 0.1) == 1


def test_slots_are_never_in_two_hands_when_the_balancer_turns_back():
    """Guards against a lender that takes its slots back while they are in use."""
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START + 0.2)
    end = START + 0.1 + LOAN_SECONDS + RUN_SECONDS
    last_sent = 0.0
    now = START + 0.2
    while now < end:
        if borrower.count_room(now) > ALL / 2:
            last_sent = now
        if lender.count_room(now) > 1:
            assert now >= last_sent + RUN_SECONDS
        now += 0.05
    assert START + LOAN_SECONDS - 0.05 <= last_sent < START + LOAN_SECONDS
    assert lender.count_room(end) == ALL / 2


def test_loan_that_was_long_under_way_ends_no_later():
    """Guards against slots of a lender that has not heard that its answer is late."""
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START + LOAN_SECONDS - 0.1)
    assert borrower.count_room(START + LOAN_SECONDS - 0.1) == ALL - 1
    assert borrower.count_room(START + LOAN_SECONDS) == ALL / 2


def test_loan_that_was_cut_off_is_not_used_and_comes_back():
    """Guards against slots that nobody uses after an answer was lost."""
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START + LOAN_SECONDS + 0.2)
    assert borrower.count_room(START + LOAN_SECONDS + 0.2) == ALL / 2
    back = START + LOAN_SECONDS + 0.1 + LOAN_SECONDS + RUN_SECONDS
    assert lender.count_room(back) == ALL / 2


def test_answer_to_the_request_of_a_former_process_is_ignored():
    borrower, lender = create_instances()
    borrower.lending.record_loan("entry-2", 7, lender.lend(START), START)
    assert borrower.count_room(START) == ALL / 2


def test_lender_that_restarts_leaves_the_slots_until_its_loans_have_ended():
    """Guards against a lender that dies and has forgotten its loans."""
    restarted = Instance("entry-2", started_at=START)
    assert restarted.count_room(START + LOAN_SECONDS + RUN_SECONDS - 0.1) == 0
    assert restarted.count_room(START + LOAN_SECONDS + RUN_SECONDS) == ALL / 2


def test_slots_of_a_lender_that_is_gone_are_counted_once(monkeypatch):
    """Guards against slots that are borrowed and in the own share as well."""
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START)
    monkeypatch.setattr(borrower.rule, "_find_instances", lambda: {"entry-1"})
    assert borrower.count_room(START) == ALL


def test_borrowers_that_ask_at_the_same_time_share_the_slots():
    _, lender = create_instances()
    first = lender.lend(START)
    second = lender.lend(START, "entry-3")
    assert sum(first.values()) == ALL / 2 - 1
    # all are lent already
    assert second == {}
    assert sum(lender.lend(START + 0.5).values()) < sum(first.values())
    assert lender.lend(START + 0.5 + LOAN_SECONDS - 0.1, "entry-3") == {}
    freed = START + LOAN_SECONDS + RUN_SECONDS
    lender.lend(freed, "entry-1")
    assert sum(lender.lend(freed, "entry-3").values()) > 0
    lent = [
        lender.lending.count_lent("desk", one.incarnation, freed) for one in TARGETS
    ]
    assert sum(lent) <= ALL / 2 - 1


def test_instance_that_lacks_slots_lends_none():
    _, lender = create_instances()
    lender.lending.record_need("desk", START)
    assert lender.lend(START + PAUSE_SECONDS - 0.1) == {}
    assert lender.lend(START + PAUSE_SECONDS) != {}


def test_instance_keeps_the_slots_that_it_used_lately():
    _, lender = create_instances()
    for target in TARGETS:
        lender.rule.record_start(target.incarnation, SHARE - 1, START)
    assert lender.lend(START + PEAK_SECONDS - 0.1) == {}
    assert lender.lend(START + PEAK_SECONDS) != {}


def test_slots_of_long_runs_are_not_lent():
    """Guards against a lender that gets its slots back only after a long run."""
    _, lender = create_instances()
    lender.hear(MAX_LENT_RUN_SECONDS + 0.1)
    assert lender.lend(START) == {}


def test_loan_goes_on_while_it_is_used_and_asked_for_no_longer():
    """Guards against loans that go back and forth with each renewal."""
    borrower, lender = create_instances()
    borrower.borrow(lender, START, START)
    now = START + 0.5
    assert borrower.rule.may_send(TARGETS[0], SHARE, now)
    assert borrower.lending.create_request(START + WANT_SECONDS) is not None
    assert borrower.lending.create_request(now + WANT_SECONDS) is None
