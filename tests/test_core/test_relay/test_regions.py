"""Tests of greengagelatch.relay.regions and of greengagelatch.relay.placed_batches."""

from __future__ import annotations

import dataclasses
import random

import pytest

from greengagelatch.relay.batches import CrossRequestBatching, MakerView
from greengagelatch.relay.deployment import MakerProfile
from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.messages import BundleRequest, decode_bundle, encode_bundle
from greengagelatch.relay.pieces import Bundle, Piece
from greengagelatch.relay.placed_batches import PlacedBatching
from greengagelatch.relay.regions import find_allowed_data_centres, is_allowed

REGIONS = {"north": "red", "south": "green", "east": "blue", "west": "blue"}
PROFILE = MakerProfile(
    slots=1,
    queue=2,
    batch=8,
    call_seconds=0.2,
    item_seconds=0.01,
    result_memory_bytes=10_000_000,
    retention_seconds=4.0,
)
NOW = 100.0


@pytest.mark.parametrize(
    ("restrictions", "allowed"),
    [
        ([], None),
        ([set(), set()], None),
        ([{"blue"}], {"east", "west"}),
        ([{"red", "blue"}, set()], {"north", "east", "west"}),
        ([{"red", "blue"}, {"blue", "green"}], {"east", "west"}),
        ([{"red"}, {"green"}], set()),
        ([{"elsewhere"}], set()),
    ],
)
def test_all_restrictions_bind(restrictions, allowed):
    found = find_allowed_data_centres(REGIONS, *map(frozenset, restrictions))
    assert found == allowed


def test_unknown_data_centre_is_in_no_region():
    assert is_allowed("unknown", None)
    assert not is_allowed("unknown", frozenset(REGIONS))


def create_bundle(number: int, allowed: frozenset[str] | None) -> Bundle:
    pieces = tuple(
        Piece(request_id=f"r-{number}", stage=0, segment=segment, key="k")
        for segment in range(1 + number % 5)
    )
    return Bundle(
        bundle_id=f"r-{number}/0",
        service="s",
        pieces=pieces,
        result_bytes=1000,
        soft_deadline=NOW + number % 3,
        hard_deadline=NOW + 5.0,
        data_centre="north",
        data_centres=allowed,
    )


@pytest.mark.parametrize("seed", range(100))
def test_pieces_stay_in_the_allowed_data_centres(seed):
    """Guards against pieces that share a call with those of other regions."""
    rng = random.Random(seed)
    choices = [
        None,
        *(frozenset({one}) for one in REGIONS),
        frozenset({"east", "west"}),
    ]
    bundles = [create_bundle(number, rng.choice(choices)) for number in range(20)]
    makers = [
        MakerView(
            incarnation=Incarnation(f"m-{number}"),
            data_centre=rng.choice(list(REGIONS)),
            free_at=NOW - 1.0,
            free_bytes=10_000_000.0,
        )
        for number in range(6)
    ]
    places = {maker.incarnation: maker.data_centre for maker in makers}
    rows = [(bundle, list(bundle.pieces)) for bundle in bundles]
    calls = PlacedBatching(CrossRequestBatching()).plan(rows, makers, PROFILE, NOW)
    assert len({call.incarnation for call in calls}) == len(calls)
    made = [piece for call in calls for _, piece in call.pieces]
    assert made
    assert len(set(made)) == len(made)
    for call in calls:
        for bundle, _ in call.pieces:
            assert is_allowed(places[call.incarnation], bundle.data_centres)


@pytest.mark.parametrize("allowed", [None, frozenset(), frozenset({"north", "east"})])
def test_owner_receives_the_allowed_data_centres(allowed):
    bundle = create_bundle(3, allowed)
    message = encode_bundle(bundle, MakerGroup("s"), NOW)
    assert decode_bundle(message, NOW).data_centres == allowed


@pytest.mark.parametrize("allowed", ["north", ("north", 3), 5])
def test_invalid_data_centres_of_a_peer_are_rejected(allowed):
    message = encode_bundle(create_bundle(3, None), MakerGroup("s"), NOW)
    with pytest.raises(ValueError):
        dataclasses.replace(message, allowed=allowed)
    assert isinstance(message, BundleRequest)
