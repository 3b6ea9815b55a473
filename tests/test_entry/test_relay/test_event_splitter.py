"""Tests of greengagelatch_entry.relay.event_splitter."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch_entry.relay.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLargeError,
    has_data,
)


@given(st.binary().map(lambda data: data.translate(b"\r\n" * 128)), st.data())
def test_events_do_not_depend_on_how_they_are_cut(stream, data):
    """Guards against an event end that arrives in two parts and is missed."""
    whole = EventSplitter()
    expected = whole.feed(stream)
    cut = EventSplitter()
    events = []
    rest = stream
    while rest:
        size = data.draw(st.integers(1, len(rest)))
        events += cut.feed(rest[:size])
        rest = rest[size:]
    assert b"".join(events) == b"".join(expected)
    assert cut.pending == whole.pending


def test_events_end_whatever_ends_their_lines():
    """Guards against two events that are taken for one, with the id of the first."""
    events = [b"id: 1\n\r\n", b"id: 2\r\n\r\n", b"id: 3\n\n", b"id: 4\r\n\n"]
    events.append(b"id: 5\r\r")
    assert EventSplitter().feed(b"".join(events)) == events


def test_event_without_an_end_is_too_large():
    """Guards against memory taken up by an event that does not end."""
    splitter = EventSplitter()
    splitter.feed(b"data: 1\n\n" + b"a" * MAX_EVENT_BYTES)
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"a")


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_comments_are_told_from_data(end):
    """Guards against comments that are taken for events without an id."""
    assert has_data(b"id: 1" + end + b"data: x" + end + end)
    assert has_data(b"data" + end + end)
    assert not has_data(b": data: x" + end + end)
    assert not has_data(b"id: 1" + end + b"database: x" + end + end)
