"""Tests of greengagelatch.relay.stream_positions."""

from __future__ import annotations

import pytest

from greengagelatch.relay.stream_positions import EventDisorder, StreamPosition


@pytest.mark.parametrize(
    ("after", "event_id", "expected"),
    [
        (None, 0, None),
        (4, 5, None),
        # an event may contain several tokens
        (4, 9, None),
        (4, 4, EventDisorder.BACKWARD),
        (4, 1, EventDisorder.BACKWARD),
    ],
)
def test_ids_have_to_increase(after, event_id, expected):
    """Guards against events that come twice, also right after a resumption."""
    position = StreamPosition(after)
    assert position.find_disorder(event_id, has_data=True) is expected


def test_event_with_data_needs_an_id():
    position = StreamPosition(4)
    disorder = position.find_disorder(None, has_data=True)
    assert disorder is EventDisorder.UNNUMBERED
    assert position.find_disorder(None, has_data=False) is None


def test_comments_do_not_move_a_stream():
    position = StreamPosition()
    position.advance(4, has_data=True)
    position.advance(None, has_data=False)
    assert position.last_event_id == 4
    assert position.is_known


def test_position_is_not_known_until_an_event_with_an_id():
    """Guards against resuming before an event that the caller has."""
    position = StreamPosition()
    position.advance(None, has_data=True)
    assert not position.is_known
    position.advance(7, has_data=True)
    assert position.is_known
    assert position.last_event_id == 7
