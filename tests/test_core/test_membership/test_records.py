"""Tests of updates, the gossip queue and the overlay."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.membership.gossip import GossipQueue
from greengagelatch.membership.overlay import choose_neighbours
from greengagelatch.membership.records import (
    MemberRecord,
    MemberUpdate,
    decode_update,
    encode_update,
)
from greengagelatch.membership.table import MemberTable
from greengagelatch.peers import MemberState

updates = st.builds(
    MemberUpdate,
    instance_id=st.sampled_from(["a", "b"]),
    incarnation=st.integers(1, 3),
    state=st.sampled_from(list(MemberState)),
    data_centre=st.just("kumamoto"),
    address=st.just("10.0.0.1:1"),
)


@given(st.lists(updates, max_size=8), st.randoms())
def test_views_converge_whatever_the_order(received, source):
    """
    Guards against instances with different views after the same updates arrived in
    different orders, which happens if the precedence of updates is not a total order.
    """
    shuffled = list(received)
    source.shuffle(shuffled)
    views = []
    for order in (received, shuffled):
        table = MemberTable()
        for update in order:
            table.merge(update, 0.0)
        views.append({r.instance_id: (r.incarnation, r.state) for r in table})
    assert views[0] == views[1]


@given(updates)
def test_wire_format_keeps_id_incarnation_and_state(update):
    read = decode_update(encode_update(update))
    assert read is not None
    assert (read.instance_id, read.incarnation, read.state) == (
        update.instance_id,
        update.incarnation,
        update.state,
    )


json_like = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.tuples(inner, inner, inner) | st.lists(inner, max_size=5),
    max_leaves=8,
)


@given(json_like)
def test_invalid_updates_are_dropped(item):
    read = decode_update(item)
    assert read is None or 0 < read.incarnation <= 2**53


def test_updates_are_gossiped_a_bounded_number_of_times():
    queue = GossipQueue(factor=2)
    queue.add(MemberUpdate(instance_id="a", incarnation=1, state=MemberState.SUSPECT))
    sent = sum(len(queue.take(8, members=15)) for _ in range(100))
    # twice the logarithm of 16
    assert sent == 8


def make_records(size: int) -> list[MemberRecord]:
    return [
        MemberRecord(
            instance_id=f"entry-{index:05d}",
            data_centre=("fukuoka-a", "fukuoka-b", "kumamoto")[index % 3],
            address=f"10.0.0.1:{index + 1}",
            incarnation=1,
            state=MemberState.ALIVE,
            since=0.0,
        )
        for index in range(size)
    ]


def test_links_join_a_large_fleet_and_each_of_its_data_centres():
    """
    Guards against a partitioned data centre splitting further, which happens if
    neighbours are chosen without regard to data centres and too few links stay inside.
    """
    records = make_records(300)
    links = {
        record.instance_id: choose_neighbours(
            record.instance_id,
            record.data_centre,
            [other for other in records if other is not record],
            8,
        )
        for record in records
    }
    assert all(len(chosen) == 8 for chosen in links.values())
    for centre in ("fukuoka-a", "fukuoka-b", "kumamoto", None):
        inside = {
            record.instance_id
            for record in records
            if centre in (None, record.data_centre)
        }
        assert find_reached(inside, links) == inside


def find_reached(inside: set[str], links: dict[str, frozenset[str]]) -> set[str]:
    reached = {min(inside)}
    while True:
        near = {other for one in reached for other in links[one]}
        near |= {one for one in inside if links[one] & reached}
        if (near & inside) <= reached:
            return reached
        reached |= near & inside


def test_small_fleet_is_fully_linked():
    records = make_records(8)
    chosen = choose_neighbours("entry-99999", "kumamoto", records, 8)
    assert chosen == {record.instance_id for record in records}
