"""Tests of greengagelatch_platform.callers."""

from __future__ import annotations

import pytest

from greengagelatch.relay.requests import PromptPart, RefusedError
from greengagelatch_platform.callers import PlatformCallerCodec

HEADERS = (
    (b"Host", b"a.example"),
    (b"X-Attempt-Id", b"9c41"),
    (b"X-Deadline-Ms", b"1500"),
    (b"Authorization", b"Bearer secret"),
)


def decode(*extra: tuple[bytes, bytes], headers=HEADERS):
    return PlatformCallerCodec().decode(
        method="POST",
        target="/x/1?y",
        headers=(*headers, *extra),
        body=b"body",
        received=10.0,
    )


def test_request_headers_are_decoded():
    request = decode(
        (b"X-Model", b"m"),
        (b"X-Token-Counts", b"1460,80"),
        (b"X-Prefix-Hash", b"5c1e:800, 91bd:410,e440:250"),
        (b"X-Pieces", b"2,0,6"),
        (b"X-Piece-Key", b"7c1e"),
        (b"Last-Event-Id", b"12"),
    )
    assert (request.request_id, request.host, request.key) == (
        "9c41",
        "a.example",
        "secret",
    )
    assert (request.timeout, request.resume_after) == (1.5, 12)
    assert (request.piece_counts, request.piece_key) == ((2, 0, 6), "7c1e")
    prompt = request.prompt
    assert (prompt.model, prompt.tokens_in, prompt.max_tokens_out) == ("m", 1460, 80)
    assert prompt.shared_parts == (PromptPart("5c1e", 800), PromptPart("91bd", 410))


def test_request_without_optional_headers_has_no_prompt():
    request = decode()
    assert (request.prompt, request.piece_counts, request.resume_after) == (
        None,
        (),
        None,
    )


def test_headers_set_by_the_system_are_not_forwarded():
    names = {name.lower() for name, _ in decode((b"X-Other", b"1")).headers}
    assert names == {b"host", b"x-attempt-id", b"x-other"}


def test_headers_listed_in_connection_are_not_forwarded():
    request = decode((b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"))
    assert b"X-Hop" not in {name for name, _ in request.headers}


def test_connection_header_can_not_remove_the_request_id():
    """Guards against removing the request id as a hop-by-hop header.

    A caller may list the id's header in ``Connection``. Without the id the target
    rejects the request with status 400.
    """
    names = {name for name, _ in decode((b"Connection", b"X-Attempt-Id")).headers}
    assert b"X-Attempt-Id" in names


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Token-Counts", b"many"),
        (b"X-Prefix-Hash", b"5c1e"),
        (b"X-Prefix-Hash", b"5c1e:-3"),
        (b"X-Pieces", b"1,,2"),
        (b"Last-Event-Id", b"-1"),
        (b"Last-Event-Id", b"9" * 5000),
        (b"X-Pieces", b"1," + b"9" * 5000),
        (b"X-Token-Counts", b"9" * 5000),
        (b"X-Prefix-Hash", b"5c1e:" + b"9" * 5000),
    ],
)
def test_refusal_names_the_invalid_header_and_value(name, value):
    with pytest.raises(RefusedError) as caught:
        decode((name, value))
    refusal = caught.value.refusal
    assert refusal.field == name.decode().lower()
    assert refusal.value in value.decode()


def test_request_without_a_deadline_gets_a_default_timeout():
    assert decode(headers=HEADERS[:2]).timeout > 0
