"""Tests of the encoding of server-sent events."""

from __future__ import annotations

import json

import pytest

from greengagelatch_entry.adapters.event_stream import (
    EventParser,
    encode_event,
    encode_token,
)


@pytest.mark.parametrize("text", ["", ' "a"\n\r\n\\', "é\u2028", "\ud800", "data: x"])
def test_a_token_is_encoded_like_any_event(text):
    """Guards against corrupted or split events.

    The text of a token must be escaped as JSON.
    """
    fields = {"offset": 7, "text": text}
    encoded = encode_token(7, text)
    assert encoded == encode_event("token", fields)
    (event,) = EventParser(1000).feed(encoded)
    assert json.loads(event.data) == fields
