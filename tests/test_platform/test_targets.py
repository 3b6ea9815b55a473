"""Tests of greengagelatch_platform.targets."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.load_reports import LoadReport
from greengagelatch.relay.pieces import Piece, PieceFailure
from greengagelatch.relay.rate_limits import NO_RATE, NamedRate
from greengagelatch.relay.requests import OpaqueRequest
from greengagelatch.relay.target_notices import NO_NOTICE, TargetNotice
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.messages import AttemptContext
from greengagelatch_platform.targets import PlatformTargetCodec

CODEC = PlatformTargetCodec()
MAKER = ListedTarget(
    incarnation=Incarnation("i-1", 5),
    service="s",
    address="10.0.0.1:80",
    data_centre="north",
)
REQUEST = OpaqueRequest(
    request_id="r-1",
    method="POST",
    host="a.example",
    target="/x/1",
    headers=((b"X-Attempt-Id", b"r-1"),),
    body=b"body",
    received=0.0,
    timeout=1.0,
)


def test_request_has_the_headers_set_by_the_system():
    call = AttemptContext(
        incarnation=Incarnation("i-1", 1_700_000_000_123),
        remaining=0.7504,
        workspace="north",
        resume_after=12,
        inputs=("10.0.0.1:80/a", "10.0.0.2:80/b"),
    )
    outbound = CODEC.encode_request(REQUEST, call)
    assert dict(outbound.headers) == {
        b"X-Attempt-Id": b"r-1",
        b"X-Deadline-Ms": b"750",
        b"X-Expected-Replica": b"i-1",
        b"X-Tenant": b"north",
        b"Last-Event-Id": b"12",
        b"X-Inputs": b"10.0.0.1:80/a,10.0.0.2:80/b",
    }
    assert (outbound.target, outbound.body) == ("/x/1", b"body")


def test_pieces_are_encoded_with_a_key_or_with_inputs():
    pieces = (
        Piece(request_id="r-1", stage=0, segment=2, key="7c1e"),
        Piece(request_id="r-2", stage=2, segment=0, inputs=("10.0.0.1:80/a",)),
    )
    outbound = CODEC.encode_pieces(pieces, (0.9, 2.0), Incarnation("i-1", 5))
    assert json.loads(outbound.body)["items"] == [
        {"id": "r-1", "stage": 0, "segment": 2, "remaining-ms": 900, "key": "7c1e"},
        {
            "id": "r-2",
            "stage": 2,
            "segment": 0,
            "remaining-ms": 2000,
            "inputs": ["10.0.0.1:80/a"],
        },
    ]


def test_results_are_decoded_in_order():
    body = b'{"items":[{"handle":"10.0.0.1:80/a"},{"reason":"gone"},{"reason":"new"}]}'
    results = CODEC.read_pieces(body, 3, MAKER)
    assert results[0].handle == "10.0.0.1:80/a"
    assert (results[0].data_centre, results[0].maker) == ("north", MAKER.incarnation)
    assert [result.failure for result in results] == [
        None,
        PieceFailure.GONE,
        PieceFailure.ERROR,
    ]


def test_malformed_results_are_rejected():
    assert CODEC.read_pieces(b'{"items":[{"handle":"a"}]}', 2, MAKER) is None
    assert CODEC.read_pieces(b"{}", 1, MAKER) is None
    assert CODEC.read_pieces(b"no", 1, MAKER) is None


def test_event_ids_are_decoded():
    assert CODEC.read_event_id(b"id: 12\ndata: x\n\n") == 12
    assert CODEC.read_event_id(b"x-weight-versions: 3\nid:7\r\ndata: x\r\n\r\n") == 7
    assert CODEC.read_event_id(b"data: id: 4\n\n") is None


def test_event_ids_are_decoded_whatever_ends_the_lines():
    """Guards against streams that begin again as the id of no event was found."""
    assert CODEC.read_event_id(b"id: 12\rdata: x\r\r") == 12
    assert CODEC.read_event_id(b"data: x\rid: 12\r\n\n") == 12
    assert CODEC.read_event_id(b"data: id: 4\r\r") is None


def test_last_id_of_an_event_counts():
    """Guards against resuming before an event that the caller has."""
    assert CODEC.read_event_id(b"id: 4\ndata: x\nid: 5\n\n") == 5


def test_handle_contains_the_address_of_the_maker():
    assert CODEC.find_maker_address("10.0.0.1:80/91bd/x") == "10.0.0.1:80"


@pytest.mark.parametrize(
    ("value", "limit"),
    [("12", 12), (" 0 ", 0), ("", None), ("-1", None), ("1.5", None), ("9" * 10, None)],
)
def test_limits_on_rejections_are_decoded(value, limit):
    message = SimpleNamespace(
        code=200, reason="OK", headers=CIMultiDict({"Server-Brittle": value})
    )
    head = CODEC.read_head(SimpleNamespace(message=message))
    assert head.rejection_limit == limit


def read_rate(*values: str) -> NamedRate:
    headers = CIMultiDict([("Server-Limit", value) for value in values])
    message = SimpleNamespace(code=200, reason="OK", headers=headers)
    return CODEC.read_head(SimpleNamespace(message=message)).named_rate


@pytest.mark.parametrize(
    ("value", "rate"),
    [("0", 0.0), ("0.5", 0.5), (" 2.50 ", 2.5), ("1e3", 1000.0), (".5", 0.5)],
)
def test_rates_of_targets_are_decoded(value, rate):
    assert read_rate(value) == NamedRate(rate)


@pytest.mark.parametrize("value", ["", "NaN", "inf", "-1", "many", "1 2", "1_000"])
def test_invalid_rates_tell_nothing(value):
    assert read_rate(value).is_unreadable


def test_rates_without_a_meaning_as_a_limit_are_none():
    assert read_rate() == NO_RATE
    assert read_rate("9" * 400) == NO_RATE
    assert read_rate("1e999") == NO_RATE


def test_lowest_of_several_rates_counts():
    assert read_rate("3", "2.5") == NamedRate(2.5)
    assert read_rate("3, 2.5, x") == NamedRate(2.5)


def read_load(value: str):
    message = SimpleNamespace(
        code=200, reason="OK", headers=CIMultiDict({"X-Replica-Load": value})
    )
    return CODEC.read_head(SimpleNamespace(message=message)).load


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,0,8", LoadReport(3, 0, 8)),
        ("3, 0 ,64,170", LoadReport(3, 0, 64, 1.7)),
        ("3,0,64,170,9,x", LoadReport(3, 0, 64, 1.7)),
    ],
)
def test_load_reports_are_decoded(value, load):
    assert read_load(value) == load


@pytest.mark.parametrize(
    "value",
    [
        "",
        "3,0",
        "3,0,0",
        "3,0,64,0",
        "3,0,64,",
        "3,0,64,x",
        "-3,0,8",
        "1.5,0,8",
        "\u0663,0,8",
        "\u00b3,0,8",
        "3,0," + "9" * 5000,
        "3,0,64," + "9" * 5000,
    ],
)
def test_invalid_load_report_is_ignored(value):
    """Guards against a caller's request that fails by what its target says of load."""
    assert read_load(value) is None


def read_notice(status: int, *lines: tuple[str, str]) -> TargetNotice:
    message = SimpleNamespace(code=status, reason="OK", headers=CIMultiDict(lines))
    return CODEC.read_notice(SimpleNamespace(message=message))


@pytest.mark.parametrize("status", [200, 404, 409, 429, 500, 503])
def test_target_that_leaves_says_so_in_any_answer(status):
    assert read_notice(status, ("Server-Leaving", " 1 ")).is_leaving


@pytest.mark.parametrize("value", ["0", "", "2", "-1", "yes", "1.0", "11", "1" * 400])
def test_other_values_do_not_say_that_a_target_leaves(value):
    assert read_notice(200, ("Server-Leaving", value)) == NO_NOTICE


def test_one_of_several_values_says_that_a_target_leaves():
    lines = [("Server-Leaving", "0"), ("Server-Leaving", "1")]
    assert read_notice(200, *lines).is_leaving
    assert read_notice(200, ("Server-Leaving", "0, 1")).is_leaving


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("3", 3.0),
        ("1.75", 1.75),
        (" 2. ", 2.0),
        (".5", 0.5),
        ("86400", 3600.0),
        ("9" * 400, 3600.0),
    ],
)
def test_rests_are_decoded(value, seconds):
    assert read_notice(503, ("Retry-After", value)).rest_seconds == seconds


@pytest.mark.parametrize(
    "value",
    [
        "0",
        "",
        "-3",
        "NaN",
        "inf",
        "1e3",
        "soon",
        "3 s",
        "1_0",
        "Fri, 04 Dec 2026 18:00:00 GMT",
    ],
)
def test_values_that_are_no_seconds_ask_for_no_rest(value):
    assert read_notice(503, ("Retry-After", value)) == NO_NOTICE


def test_longest_of_several_rests_counts():
    lines = [("Retry-After", "2"), ("Retry-After", "3.5"), ("Retry-After", "no")]
    assert read_notice(503, *lines).rest_seconds == 3.5


def test_only_rejections_ask_for_rest():
    asked = ("Retry-After", "3")
    for status in (200, 301, 413, 429, 500):
        assert read_notice(status, asked) == NO_NOTICE
    assert read_notice(429, asked, ("X-Not-Executed", "1")).rest_seconds == 3.0
    assert read_notice(503, asked, ("X-Not-Executed", "1")).rest_seconds == 3.0


def test_target_that_was_not_meant_says_nothing():
    lines = (("Server-Leaving", "1"), ("Retry-After", "3"))
    assert read_notice(421, *lines) == NO_NOTICE
