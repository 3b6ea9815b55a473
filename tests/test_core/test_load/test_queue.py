"""Tests of greengagelatch.load.queue."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagelatch.config.objects import StageKind
from greengagelatch.load import Ticket
from greengagelatch.load.queue import (
    FAIR_PERIOD,
    QUANTUM,
    FairQueue,
    QueuedCall,
    SelectionFilter,
)


class AcceptAll(SelectionFilter):
    def accepts(self, waiting):
        return True

    def prefers(self, waiting):
        return False


class PreferCachedPrefix(AcceptAll):
    def prefers(self, waiting):
        return waiting.ticket.prefix == "held"


def create_queued_call(number, workspace, *, priority=0, urgency=100.0, **values):
    ticket = Ticket(
        request_id=f"r{number}",
        workspace=workspace,
        pipeline="p",
        stage="s",
        service="llm",
        kind=StageKind.GENERATE,
        deadline=1000.0,
        stage_deadline=1000.0,
        priority=priority,
        prefix=values.pop("prefix", ""),
    )
    fields = {"entered": 0.0, "expected": 1.0, "safe_start": 900.0} | values
    return QueuedCall(
        ticket_id=number,
        ticket=ticket,
        start_by=urgency,
        latest_start=1000.0,
        **fields,
    )


@given(
    others=st.integers(1, 6),
    priority=st.integers(1, 100),
    selections=st.integers(FAIR_PERIOD, 200),
)
def test_lowest_priority_is_served_within_the_stated_bound(
    others, priority, selections
):
    """Guards against starvation of a workspace of low priority.

    Others of higher priority have calls queued all the time, so that strict
    priority would never serve it.
    """
    queue = FairQueue(lambda workspace: 1.0)
    number = 0
    served = Counter()
    for name in range(others):
        for _ in range(selections):
            number += 1
            queue.push(create_queued_call(number, f"w{name}", priority=priority))
    for _ in range(selections):
        number += 1
        queue.push(create_queued_call(number, "low"))
    for _ in range(selections):
        served[queue.select(AcceptAll(), 0.0).ticket.workspace] += 1
    assert served["low"] >= selections // (FAIR_PERIOD * (others + 1))


@settings(max_examples=50, deadline=None)
@given(
    weights=st.lists(st.integers(1, 8), min_size=2, max_size=5),
    costs=st.lists(st.sampled_from((0.05, 0.3, 2.0)), min_size=5, max_size=5),
)
def test_service_follows_the_weights_whatever_the_calls_cost(weights, costs):
    """Guards against one workspace's long calls crowding out the others.

    All workspaces have calls of different lengths queued all the time. Fair shares
    by the number of calls, not by their service time, would favour long calls.
    """
    names = [f"w{index}" for index in range(len(weights))]
    by_name = dict(zip(names, weights, strict=True))
    queue = FairQueue(lambda workspace: by_name[workspace])
    received = dict.fromkeys(names, 0.0)
    number = 0
    for name in names:
        number += 1
        queue.push(create_queued_call(number, name, expected=costs[int(name[1:])]))
    for _ in range(2000):
        chosen = queue.select(AcceptAll(), 0.0)
        name = chosen.ticket.workspace
        received[name] += chosen.expected
        number += 1
        queue.push(create_queued_call(number, name, expected=chosen.expected))
    shares = [received[name] / by_name[name] for name in names]
    # a workspace may be ahead by the quantum and one call
    allowed = QUANTUM + max(costs) / min(weights)
    assert max(shares) - min(shares) <= allowed + 1e-6


def test_urgent_call_goes_first_and_idle_time_earns_no_credit():
    queue = FairQueue(lambda workspace: 1.0)
    for number in range(1, 31):
        queue.push(create_queued_call(number, "busy"))
    for _ in range(20):
        queue.select(AcceptAll(), 0.0)
    # a newly active workspace has no credit for the 20 s that the other was served
    for number in range(31, 61):
        queue.push(create_queued_call(number, "new"))
    taken = [queue.select(AcceptAll(), 0.0).ticket.workspace for _ in range(10)]
    assert 3 <= taken.count("busy") <= 7
    queue.push(create_queued_call(99, "busy", urgency=1.0))
    queue.push(create_queued_call(98, "new", urgency=1.0))
    assert queue.select(AcceptAll(), 0.0).ticket_id in (98, 99)


def test_urgent_call_precedes_those_with_cached_prefixes():
    """Guards against missed deadlines because calls with cached prefixes go first.

    A preference for cached prefixes without regard to urgency would delay the
    other calls.
    """
    queue = FairQueue(lambda workspace: 1.0)
    queue.push(create_queued_call(1, "w", urgency=50.0, safe_start=10.0))
    queue.push(create_queued_call(2, "w", urgency=60.0, prefix="held"))
    queue.push(create_queued_call(3, "w", urgency=70.0, prefix="held"))
    assert queue.select(PreferCachedPrefix(), 5.0).ticket_id == 2
    assert queue.select(PreferCachedPrefix(), 9.8).ticket_id == 1


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3)), max_size=60))
def test_pending_work_equals_the_queued_calls(steps):
    queue = FairQueue(lambda workspace: 1.0)
    for number, (push, name) in enumerate(steps):
        if push:
            queue.push(
                create_queued_call(number, f"w{name}", expected=0.1 * name + 0.1)
            )
        else:
            queue.select(AcceptAll(), 0.0)
        expected = Counter()
        for waiting in queue:
            expected[waiting.ticket.workspace] += waiting.expected
        pending = queue.sum_pending(0)
        assert pending.keys() == expected.keys()
        assert all(abs(pending[name] - expected[name]) < 1e-6 for name in expected)
