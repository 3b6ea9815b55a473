"""Tests of greengagelatch.relay.rank_waits."""

from __future__ import annotations

from greengagelatch.relay.pieces import Bundle, Piece
from greengagelatch.relay.queue_waits import RankWait
from greengagelatch.relay.rank_waits import MAX_RANKS, RankCounts

NOW = 10_000.0
RATE = 10.0
URGENT, LOOSE = 0.45, 0.9
HOUR = 3600.0


def create_bundle(rank: float, aim: float) -> tuple[Bundle, int]:
    pieces = tuple(Piece(request_id="r", stage=0, segment=one) for one in range(5))
    bundle = Bundle(
        bundle_id="r/0",
        service="s",
        pieces=pieces,
        result_bytes=1000,
        soft_deadline=NOW + aim,
        hard_deadline=NOW + 20.0,
        rank=rank,
    )
    return bundle, len(pieces)


def count(urgent=(), late=()) -> tuple[RankWait, ...]:
    counts = RankCounts()
    for rank, aim in ((URGENT, 1.0), (LOOSE, 3.0)):
        counts.record_added(*create_bundle(rank, aim - HOUR), NOW - HOUR)
    counts.count(urgent, late, NOW)
    return counts.estimate(RATE)


def test_urgent_requests_wait_for_none_that_yield():
    """Guards against hints that are refused for a queue of checks."""
    waits = count([create_bundle(LOOSE, 0.5), create_bundle(URGENT, 0.5)])
    assert waits == (RankWait(URGENT, 0.5, 0.5), RankWait(LOOSE, 1.0, 1.0))


def test_requests_do_not_wait_for_later_deadlines():
    urgent_row, loose_row = count([create_bundle(URGENT, 2.0)])
    assert urgent_row == RankWait(URGENT, 0.0, 0.5)
    assert loose_row == RankWait(LOOSE, 0.5, 0.5)


def test_late_urgent_requests_go_before_less_urgent_ones():
    """Guards against checks admitted behind late hints that will go before them."""
    urgent_row, loose_row = count(late=[create_bundle(URGENT, -1.0)])
    assert urgent_row == RankWait(URGENT, 0.0, 0.5)
    assert loose_row == RankWait(LOOSE, 0.5, 0.5)


def test_less_urgent_requests_wait_for_urgent_ones_that_arrive_meanwhile():
    """Guards against checks admitted up to their limit, who make each hint late."""
    counts = RankCounts()
    counts.record_added(*create_bundle(LOOSE, 3.0), NOW)
    alone = counts.estimate(RATE)[0]
    counts.record_added(*create_bundle(URGENT, 1.0), NOW)
    counts.count([create_bundle(LOOSE, 3.0)], (), NOW)
    urgent_row, loose_row = counts.estimate(RATE)
    assert alone == RankWait(LOOSE, 0.5, 0.5)
    assert urgent_row == RankWait(URGENT, 0.0, 0.0)
    assert loose_row.urgent > alone.urgent


def test_added_requests_count_at_once():
    counts = RankCounts()
    counts.record_added(*create_bundle(URGENT, 1.0), NOW)
    assert counts.estimate(RATE) == (RankWait(URGENT, 0.5, 0.5),)


def test_number_of_ranks_is_bounded():
    counts = RankCounts()
    for rank in range(2 * MAX_RANKS):
        counts.record_added(*create_bundle(rank, 1.0), NOW)
    assert len(counts.estimate(RATE)) == MAX_RANKS
