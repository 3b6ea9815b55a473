"""Tests of the issue of permits."""

from __future__ import annotations

import pytest

from greengagelatch.relay.permit_queue import (
    MAX_KEPT,
    PermitQueue,
    compute_issued_share,
)


def ask(queue: PermitQueue, now: float, **fields):
    request = {"rank": 1.0, "count": 1, "patience": 5.0, "rate": 1.0, **fields}
    return queue.request(now=now, **request)


def test_new_queue_issues_nothing_at_once():
    """Guards against an issuer that repeats what the one before has issued."""
    queue = PermitQueue(10.0)
    ticket = ask(queue, 10.0)
    assert ticket.issued is None
    assert queue.serve(1.0, 10.9) == []
    assert queue.serve(1.0, 11.0) == [ticket]
    assert ticket.issued == 1


def test_permits_are_issued_at_the_rate():
    queue = PermitQueue(0.0)
    tickets = [ask(queue, 0.0, patience=100.0) for _ in range(30)]
    issued = [len(queue.serve(2.0, second)) for second in range(1, 11)]
    assert sum(issued) == 20
    assert max(issued) == 2
    assert [one.issued for one in tickets] == [1] * 20 + [None] * 10


def test_most_urgent_request_is_served_first():
    queue = PermitQueue(0.0)
    later, first = ask(queue, 0.0, rank=2.0), ask(queue, 0.1, rank=1.0)
    assert queue.serve(1.0, 1.1) == [first]
    assert queue.serve(1.0, 2.1) == [later]


def test_request_that_can_not_be_served_in_time_is_refused_at_once():
    queue = PermitQueue(0.0)
    ask(queue, 0.0)
    ticket = ask(queue, 0.0, patience=1.5)
    assert ticket.issued == 0
    assert ticket.wait == pytest.approx(2.0)


def test_request_that_others_have_passed_ends_with_its_patience():
    queue = PermitQueue(0.0)
    ticket = ask(queue, 0.0, rank=2.0, patience=1.2)
    urgent = ask(queue, 0.1, rank=1.0)
    assert queue.serve(1.0, 1.0) == [urgent]
    assert queue.serve(1.0, 1.2) == [ticket]
    assert ticket.issued == 0
    assert ticket.wait > 0


def test_few_permits_are_kept_for_later():
    """Guards against a burst after a time without requests."""
    queue = PermitQueue(0.0)
    tickets = [ask(queue, 1000.0) for _ in range(10)]
    assert sum(one.issued or 0 for one in tickets) == MAX_KEPT


def test_several_permits_are_issued_only_if_nobody_waits_for_them():
    queue = PermitQueue(0.0)
    assert ask(queue, 10.0, count=5, rate=30.0).issued == 3
    queue = PermitQueue(0.0)
    first, second = ask(queue, 0.0, count=5), ask(queue, 0.0, count=5)
    queue.serve(1.0, 2.0)
    assert (first.issued, second.issued) == (1, 1)


@pytest.mark.parametrize("known", [1, 2, 7, 89, 300])
def test_sides_of_a_partition_issue_less_than_one_and_a_half_times_the_rate(known):
    for size in range(known + 1):
        sides = [one for one in (size, known - size) if one]
        assert sum(compute_issued_share(one, known) for one in sides) <= 1.25
    assert compute_issued_share(known, known) == 1.0
