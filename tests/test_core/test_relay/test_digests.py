"""Tests of greengagelatch.relay.digests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagelatch.relay.digests import compute_digest
from greengagelatch.relay.requests import OpaqueRequest

REQUEST = OpaqueRequest(
    request_id="a-1",
    method="POST",
    host="chat.example",
    target="/brokers/7?x=1",
    headers=(),
    body=b"hello",
    received=3.0,
    timeout=2.0,
)


def test_attempts_of_one_request_share_a_digest():
    again = replace(
        REQUEST,
        request_id="a-2",
        host="CHAT.example",
        received=9.0,
        timeout=1.0,
        resume_after=4,
        headers=((b"X-Attempt-Id", b"a-2"),),
    )
    assert compute_digest(again, "w") == compute_digest(REQUEST, "w")


@pytest.mark.parametrize(
    "other",
    [
        replace(REQUEST, method="PUT"),
        replace(REQUEST, host="other.example"),
        replace(REQUEST, target="/brokers/7?x=2"),
        replace(REQUEST, body=b"hello!"),
        # a moved boundary between host and path
        replace(REQUEST, host="chat.example/", target="brokers/7?x=1"),
    ],
)
def test_different_requests_have_different_digests(other):
    assert compute_digest(other, "w") != compute_digest(REQUEST, "w")


def test_workspaces_do_not_share_digests():
    assert compute_digest(REQUEST, "w") != compute_digest(REQUEST, "v")
