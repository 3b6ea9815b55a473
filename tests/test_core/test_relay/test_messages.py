"""Tests of greengagelatch.relay.messages and greengagelatch.relay.target_rows."""

from __future__ import annotations

import pytest
from result import Err, Ok

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.messages import (
    BundleRequest,
    PeerSyncAnswer,
    StageWaits,
    decode_bundle,
    decode_results,
    encode_bundle,
    encode_results,
)
from greengagelatch.relay.pieces import Bundle, Piece, PieceFailure, PieceResult
from greengagelatch.relay.target_rows import decode_target, encode_target
from greengagelatch.relay.targets import ListedTarget

BUNDLE = Bundle(
    bundle_id="r-1/2",
    service="s",
    pieces=tuple(
        Piece(request_id="r-1", stage=2, segment=number, inputs=("10.0.0.1:80/h",))
        for number in range(3)
    ),
    result_bytes=6000,
    soft_deadline=101.5,
    hard_deadline=104.0,
    inputs_expire_at=103.0,
    input_makers=(Incarnation("m-1", 5), Incarnation("m-2")),
    rank=1.45,
    data_centre="north",
    moved_bytes=18000,
    begun=True,
)


ROW = ("h", "north", "m", 5)


def pass_on(message):
    match decode(encode(Envelope(message))):
        case Ok(envelope):
            return envelope.message
        case Err(error):
            raise AssertionError(error)


def test_bundle_times_are_converted_to_the_receivers_clock():
    message = pass_on(encode_bundle(BUNDLE, MakerGroup("ledger", "north"), now=100.0))
    bundle = decode_bundle(message, now=500.0)
    assert bundle.pieces == BUNDLE.pieces
    assert bundle.soft_deadline == pytest.approx(501.5)
    assert bundle.hard_deadline == pytest.approx(504.0)
    assert bundle.inputs_expire_at == pytest.approx(503.0)
    assert (bundle.moved_bytes, bundle.begun) == (18000, True)
    assert bundle.input_makers == BUNDLE.input_makers
    assert message.group == "north"


def test_results_keep_their_order():
    results = (
        PieceResult(
            handle="10.0.0.1:80/a",
            data_centre="north",
            maker=Incarnation("m-1", 1_700_000_000_123),
        ),
        PieceResult(failure=PieceFailure.GONE),
    )
    assert decode_results(encode_results(results), 2) == results


@pytest.mark.parametrize(
    "rows",
    [
        (),
        (ROW,),
        (("h", 1, "m", 5), ROW),
        (("", "no"), ROW),
        (("h", "north"), ROW),
        (("h", "north", "m", -5), ROW),
        (("h", "north", "m", True), ROW),
        (("h", "north", 7, 5), ROW),
        (7, ROW),
    ],
)
def test_invalid_results_are_rejected(rows):
    """Guards against a request that gets fewer results than it has pieces.

    A peer of another release, or a faulty one, answered with different rows, which were
    not checked.
    """
    assert decode_results(rows, 2) is None


@pytest.mark.parametrize(
    "fields",
    [
        {"segments": ()},
        {"segments": (1,), "aim_seconds": "soon"},
        {"segments": (1,), "service": 3},
        {"segments": (1,), "input_makers": (("m",),)},
        {"segments": (1,), "input_makers": (("m", -1),)},
    ],
)
def test_invalid_bundle_is_rejected(fields):
    with pytest.raises(ValueError):
        BundleRequest(**fields)


def test_invalid_waits_are_rejected():
    with pytest.raises(ValueError):
        StageWaits((("s", 0.1),))


def test_targets_survive_a_round_trip():
    target = ListedTarget(
        incarnation=Incarnation("t-1", 1_700_000_000_123),
        service="s",
        address="10.0.0.1:80",
        data_centre="north",
        slots=3,
        leaving=True,
        revision=9,
    )
    news = pass_on(PeerSyncAnswer(listed=True, targets=(encode_target(target),)))
    assert decode_target(news.targets[0]) == target
    assert decode_target(("t-1", "s")) is None
    assert decode_target(("t-1", 5, "s", "a", "d", "3", True, 9)) is None
