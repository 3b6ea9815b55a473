"""Tests of greengagelatch.relay.stream_messages."""

from __future__ import annotations

import pytest

from greengagelatch.relay.stream_messages import (
    StreamVersionAnswer,
    StreamVersionsUpdate,
)
from greengagelatch.relay.stream_versions import StreamOrigin

ROWS = [("a", StreamOrigin("llm", "v1")), ("b", StreamOrigin("chat", "v1"))]


def test_update_tells_the_origins_of_streams():
    update = StreamVersionsUpdate.create(ROWS)
    assert update.rows == (("a", "v1"), ("b", "v1"))
    assert update.list_origins() == ROWS


def test_update_of_an_earlier_release_tells_no_services():
    """Guards against streams that are lost while two releases run."""
    update = StreamVersionsUpdate((("a", "v1"), ("b", "v2")))
    assert update.list_origins() == [
        ("a", StreamOrigin("", "v1")),
        ("b", StreamOrigin("", "v2")),
    ]


def test_more_services_than_streams_are_ignored():
    update = StreamVersionsUpdate((("a", "v1"),), False, ("llm", "chat"))
    assert update.list_origins() == ROWS[:1]


@pytest.mark.parametrize("services", [(1,), (None,)])
def test_services_that_are_no_texts_are_rejected(services):
    with pytest.raises(ValueError):
        StreamVersionsUpdate((("a", "v1"),), False, services)
    with pytest.raises(ValueError):
        StreamVersionAnswer("v1", services[0])
