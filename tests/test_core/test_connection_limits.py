"""Tests of greengagelatch.connection_limits."""

from __future__ import annotations

import pytest

from greengagelatch.connection_limits import (
    MAX_HANDSHAKES,
    MIN_CONNECTIONS,
    MIN_HANDSHAKES,
    MIN_UNREAD_SECONDS,
    ConnectionUse,
    find_largest,
    find_longest_unread,
    find_max_connections,
    find_max_handshakes,
)

MOST = 2400


def create_uses(*sizes: int) -> list[ConnectionUse]:
    return [
        ConnectionUse(number=number, ahead_bytes=size)
        for number, size in enumerate(sizes, start=1)
    ]


def test_connection_that_is_furthest_ahead_is_found():
    assert find_largest(create_uses(0, 10, 30, 20)) == 3


def test_connections_that_are_not_ahead_are_left():
    assert find_largest(create_uses(0, 0)) is None


def test_response_that_is_unread_for_longest_is_found():
    uses = [
        ConnectionUse(number=number, ahead_bytes=0, unread_seconds=seconds)
        for number, seconds in enumerate((0.0, 2.0, 5.0, 3.0), start=1)
    ]
    assert find_longest_unread(uses) == 3


def test_response_that_is_unread_since_recently_is_left():
    """Guards against responses cut off whose clients read at an ordinary pace."""
    use = ConnectionUse(
        number=1, ahead_bytes=0, unread_seconds=MIN_UNREAD_SECONDS * 0.9
    )
    assert find_longest_unread([use]) is None
    assert find_longest_unread([]) is None


@pytest.mark.parametrize("descriptors", [250, 1638, 4100, 8192, 10250])
def test_descriptors_suffice_for_callers_their_targets_and_peers(descriptors):
    """Guards against callers that leave no descriptors for their own requests."""
    callers = find_max_connections(descriptors, MOST)
    assert callers <= MOST
    if callers > MIN_CONNECTIONS:
        assert 2 * callers + MIN_HANDSHAKES < descriptors


def test_connections_stay_under_a_low_limit():
    assert find_max_connections(4100, 3) == 3
    assert find_max_connections(100, 3) == 3


def test_limits_without_known_descriptors_are_the_largest():
    assert find_max_connections(0, MOST) == MOST
    assert find_max_handshakes(0) == MAX_HANDSHAKES


def test_handshakes_stay_within_their_bounds():
    assert find_max_handshakes(400) == MIN_HANDSHAKES
    assert find_max_handshakes(10250) == MAX_HANDSHAKES
