"""Tests of the lease state machine and of the choice of contenders."""

from __future__ import annotations

from result import Err, Ok

from greengagelatch.leases.contention import LeaseIntent, choose_intent
from greengagelatch.leases.instants import Instant
from greengagelatch.leases.rules import LeaseRules
from greengagelatch.leases.state import LeaseState, LeaseStep
from greengagelatch.peers import Member, MemberState
from greengagelatch.store import (
    Lease,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

RULES = LeaseRules(ttl=40.0, margin=2.0)
TIMEOUT = Err(StoreError(StoreErrorKind.TIMEOUT, ""))
GONE = Err(StoreError(StoreErrorKind.LEASE_GONE, ""))


def at(seconds):
    return Instant(seconds, seconds)


def hold(*, asked=0.0, answered=0.0, ttl=40.0):
    state = LeaseState(instance_id="a", rules=RULES).plan(at(asked), LeaseIntent.HOLD)
    state = state.begin(at(asked)).handle_check(Ok(None), at(asked), LeaseIntent.HOLD)
    state = state.begin(at(asked))
    state = state.handle_grant(Ok(Lease("lease-1", ttl, 1)), at(answered))
    written = WriteResult(WriteOutcome.APPLIED, 9)
    return state.begin(at(answered)).handle_acquire(written, at(answered))


def renew(state, *, asked, answered, answer):
    state = state.plan(at(asked), LeaseIntent.HOLD)
    assert state.step is LeaseStep.RENEW
    return state.begin(at(asked)).handle_renew(answer, at(answered))


def test_lease_time_counts_from_the_request_of_the_grant():
    state = hold(asked=0.0, answered=5.0)
    assert state.fence == 9
    assert state.compute_remaining(at(5.0)) == 40 - 2 - 5
    assert state.acquired == 5.0


def test_a_shorter_lease_than_requested_is_respected():
    assert hold(ttl=10.0).compute_remaining(at(0.0)) == 8


def test_a_renewal_without_an_answer_does_not_extend_the_lease():
    state = renew(hold(), asked=10.0, answered=12.0, answer=TIMEOUT)
    assert state.compute_remaining(at(12.0)) == 40 - 2 - 12
    # the store did apply it: its next answer proves that nobody else could acquire it
    lease = Ok(Lease("lease-1", 40.0, 1))
    state = renew(state, asked=39.0, answered=41.0, answer=lease)
    assert state.compute_remaining(at(41.0)) == 40 - 2 - 2
    assert state.fence == 9


def test_an_expired_lease_covers_no_action():
    state = renew(hold(), asked=10.0, answered=11.0, answer=GONE)
    assert not state.held
    assert not state.covers(at(11.0), 0.0)
    assert not state.lease_id


def test_a_lease_always_outlasts_the_guarded_action():
    rules = LeaseRules.create(ttl=1.0, margin=2.0, longest_action=10.0)
    assert rules.ttl - rules.margin - rules.interval - rules.retry_delay > 10.0


def create_members(count, data_centre="north"):
    return [
        Member(
            instance_id=f"{data_centre}-{number}",
            data_centre=data_centre,
            address="",
            state=MemberState.ALIVE,
        )
        for number in range(count)
    ]


def choose_all(group, members):
    return [
        choose_intent(
            group, members, data_centre="north", instance_id=member.instance_id
        )
        for member in members
        if member.data_centre == "north"
    ]


def test_one_member_of_the_data_centre_contends_and_one_stands_by():
    members = [*create_members(9), *create_members(9, "south")]
    for number in range(20):
        intents = choose_all(f"north/service-{number}", members)
        assert intents.count(LeaseIntent.HOLD) == 1
        assert intents.count(LeaseIntent.STAND_BY) == 1
        assert intents.count(LeaseIntent.RELEASE) == 7


def test_an_isolated_instance_still_contends():
    intent = choose_intent("north/writer", [], data_centre="north", instance_id="a")
    assert intent is LeaseIntent.HOLD
