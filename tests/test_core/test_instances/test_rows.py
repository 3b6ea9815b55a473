"""Tests of greengagelatch.instances.rows and its messages."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.instances.messages import ListingPage
from greengagelatch.instances.rows import PAGE_ROWS, build_page, decode_row, encode_row
from greengagelatch.peers.codec import Envelope, decode, encode

TEXTS = st.text(max_size=20)


def make_listing(rows: int) -> Listing:
    instances = tuple(
        Instance(
            instance_id=f"t-{number}",
            kind=InstanceKind.TARGET,
            data_centre="kumamoto",
            address="10.0.0.1:1",
            state=InstanceState.LEAVING if number % 2 else InstanceState.LIVE,
            service="stockdesk",
        )
        for number in range(rows)
    )
    return Listing(7, instances)


def test_pages_hold_all_rows_over_the_wire():
    listing = make_listing(2 * PAGE_ROWS + 1)
    rows = []
    while len(rows) < len(listing.instances):
        page = build_page(listing, len(rows))
        copy = decode(encode(Envelope(page))).unwrap().message
        assert (copy.as_of, copy.total) == (7, len(listing.instances))
        assert len(copy.rows) <= PAGE_ROWS
        rows += [decode_row(row) for row in copy.rows]
    assert tuple(rows) == listing.instances


@given(
    st.one_of(
        st.none(),
        st.integers(),
        st.tuples(TEXTS, TEXTS),
        st.tuples(TEXTS, st.sampled_from(["entry", "target"]), *[TEXTS] * 4),
        st.tuples(*[st.one_of(TEXTS, st.integers(), st.none())] * 6),
    )
)
def test_invalid_rows_are_rejected(row):
    decoded = decode_row(row)
    assert decoded is None or encode_row(decoded) == row


@pytest.mark.parametrize("field", ["as_of", "total", "offset"])
def test_pages_with_invalid_types_are_rejected(field):
    with pytest.raises(ValueError):
        ListingPage(**{field: "1"})
