"""Tests of greengagelatch.relay.rank_order.

The load of most: requests with a loose objective queue for seconds at makers that they
share with more urgent ones, whose objective is half as long.
"""

from __future__ import annotations

from greengagelatch.relay.bundle_orders import BundleOrder, DeadlineOrder
from greengagelatch.relay.deployment import MakerProfile
from greengagelatch.relay.pieces import Bundle, Piece
from greengagelatch.relay.rank_order import RankOrder, count_overtaken

PROFILE = MakerProfile(
    slots=1,
    queue=2,
    batch=10,
    call_seconds=0.2,
    item_seconds=0.02,
    result_memory_bytes=10_000_000,
    retention_seconds=4.0,
)
NOW = 100.0
#: pieces per second of the makers
RATE = 10.0
URGENT, LOOSE = 0.45, 0.9


def create_bundle(
    name: str, rank: float, aim: float, *, count: int = 5, latest: float = 20.0
) -> tuple[Bundle, list[Piece]]:
    """Create a bundle with deadlines in seconds from now."""
    pieces = tuple(
        Piece(request_id=name, stage=0, segment=number) for number in range(count)
    )
    bundle = Bundle(
        bundle_id=name,
        service="s",
        pieces=pieces,
        result_bytes=1000,
        soft_deadline=NOW + aim,
        hard_deadline=NOW + latest,
        rank=rank,
    )
    return bundle, list(pieces)


def sort(
    *rows: tuple[Bundle, list[Piece]], order: BundleOrder | None = None
) -> list[str]:
    found = (order or RankOrder()).sort(rows, PROFILE, NOW, rate=RATE)
    assert found == sorted(found, key=lambda one: (one.tier, one.urgency))
    return [one.bundle.bundle_id for one in found]


def test_late_urgent_bundle_goes_before_one_with_time_to_spare():
    """Guards against seconds of wait for a request that just missed its objective."""
    rows = create_bundle("hint", URGENT, 0.1), create_bundle("check", LOOSE, 3.0)
    assert sort(*rows, order=DeadlineOrder()) == ["check", "hint"]
    assert sort(*rows) == ["hint", "check"]


def test_late_urgent_bundle_makes_no_other_late():
    rows = create_bundle("hint", URGENT, 0.1), create_bundle("check", LOOSE, 1.0)
    assert sort(*rows) == ["check", "hint"]


def test_late_bundle_yields_to_those_of_its_rank():
    rows = create_bundle("late", URGENT, 0.1), create_bundle("new", URGENT, 5.0)
    assert sort(*rows) == ["new", "late"]


def test_late_bundle_yields_to_more_urgent_ones_that_follow():
    rows = (
        create_bundle("late", URGENT, 0.1),
        create_bundle("check", LOOSE, 4.0),
        create_bundle("review", 0.0, 5.0),
    )
    assert sort(*rows) == ["check", "review", "late"]


def test_late_less_urgent_bundle_goes_last():
    rows = create_bundle("check", LOOSE, 0.1), create_bundle("hint", URGENT, 3.0)
    assert sort(*rows) == ["hint", "check"]


def test_less_urgent_bundles_yield_before_an_urgent_one_is_late():
    """Guards against an old backlog before urgent requests that have just arrived."""
    checks = [create_bundle(f"check-{number}", LOOSE, 0.6) for number in range(4)]
    hint = create_bundle("hint", URGENT, 1.1)
    names = [bundle.bundle_id for bundle, _ in checks]
    assert sort(*checks, hint, order=DeadlineOrder()) == [*names, "hint"]
    assert sort(*checks, hint) == ["check-0", "hint", *names[1:]]


def test_no_more_bundles_yield_than_need_to():
    checks = [create_bundle(f"check-{number}", LOOSE, 0.6) for number in range(2)]
    hint = create_bundle("hint", URGENT, 1.4)
    assert sort(*checks, hint) == ["check-0", "check-1", "hint"]


def test_no_bundle_yields_in_vain():
    """An urgent bundle that its own rank makes late is not helped by others."""
    rows = (
        create_bundle("check", LOOSE, 0.4),
        create_bundle("first", URGENT, 1.0, count=30),
        create_bundle("hint", URGENT, 1.2),
    )
    assert sort(*rows) == ["check", "first", "hint"]


def test_bundles_that_yielded_go_before_later_ones_of_their_rank():
    """Guards against requests that are overtaken by all that come after them."""
    rows = (
        create_bundle("old-1", LOOSE, 0.6),
        create_bundle("old-2", LOOSE, 0.7),
        create_bundle("hint", URGENT, 1.0),
        create_bundle("new", LOOSE, 3.0),
    )
    assert sort(*rows) == ["old-1", "hint", "old-2", "new"]


def test_less_urgent_bundle_near_its_deadline_goes_before_those_with_time():
    """Guards against starvation: a request that waited long is not dropped."""
    rows = (
        create_bundle("hint", URGENT, 1.0),
        create_bundle("late", URGENT, 0.1),
        create_bundle("check", LOOSE, -2.0, latest=0.25),
    )
    assert sort(*rows) == ["check", "hint", "late"]


def test_late_less_urgent_bundle_makes_no_urgent_one_late():
    """Guards against a backlog of late checks before hints that are still on time."""
    rows = (
        create_bundle("hint", URGENT, 0.4),
        create_bundle("check", LOOSE, -2.0, latest=0.25),
    )
    assert sort(*rows) == ["hint", "check"]


def test_order_is_that_by_deadline_while_all_are_on_time():
    rows = [
        create_bundle(f"{number}", (0.0, URGENT, LOOSE)[number % 3], 2 + number % 7)
        for number in range(12)
    ]
    order = RankOrder().sort(rows, PROFILE, NOW, rate=1000.0)
    assert order == DeadlineOrder().sort(rows, PROFILE, NOW, rate=1000.0)


def test_overtaken_bundles_are_counted():
    started = [create_bundle("hint", URGENT, 2.0)[0]]
    waiting = [
        create_bundle("older", LOOSE, 1.0)[0],
        create_bundle("newer", LOOSE, 3.0)[0],
        create_bundle("late", URGENT, 1.0)[0],
    ]
    assert count_overtaken(started, waiting) == 1
