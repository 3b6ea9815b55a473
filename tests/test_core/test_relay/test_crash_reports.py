"""Tests of greengagelatch.relay.crash_reports."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.relay.crash_reports import (
    MAX_PART_ID_LENGTH,
    decode_reports,
    encode_reports,
    shorten_part_id,
)
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import (
    CrashReport,
    PartSurvivalReport,
    SurvivalReport,
)

REPORT = CrashReport(Incarnation("t1", 7), "llm", ("aa", "bb"))


def test_reports_survive_a_round_trip():
    reports = (
        REPORT,
        SurvivalReport("aa"),
        CrashReport(Incarnation("t2"), "llm", ()),
    )
    assert decode_reports(encode_reports(reports)) == reports


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"target": 3}, "target"),
        ({"target": ""}, "target"),
        ({"born": -1}, "born"),
        ({"service": None}, "service"),
        ({"born": True}, "born"),
        ({"requests": "aa"}, "requests"),
        ({"requests": [1]}, "requests"),
        ({"requests": ["a"] * 1000}, "requests"),
        ({"answered": 3}, "answered"),
        ({"answered": ""}, "answered"),
    ],
)
def test_error_names_the_invalid_field(change, field):
    rows = json.loads(encode_reports((REPORT,)))
    value = json.dumps([rows[0] | change]).encode()
    with pytest.raises(ValueError, match=f"invalid {field}"):
        decode_reports(value)


@given(
    st.binary()
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(lambda value: json.dumps(value).encode())
)
def test_arbitrary_bytes_raise_only_value_errors(value):
    try:
        decode_reports(value)
    except ValueError:
        return


def test_parts_of_prompts_survive_the_encoding():
    reports = (
        CrashReport(Incarnation("t1", 7), "llm", ("aa", "bb"), (("p", "q"), ())),
        PartSurvivalReport("llm", ("p", "q"), (0.5, 0.0)),
    )
    assert decode_reports(encode_reports(reports)) == reports


@pytest.mark.parametrize(
    ("row", "field"),
    [
        ('"parts":[["p"]]', "parts"),
        ('"parts":[["p"],[1]]', "parts"),
        ('"parts-answered":"p","ages":[0]', "parts-answered"),
        ('"parts-answered":["p"],"ages":[]', "ages"),
        ('"parts-answered":["p"],"ages":[-1]', "ages"),
        ('"parts-answered":["p"]', "ages"),
    ],
)
def test_invalid_parts_are_named(row, field):
    value = f'[{{"target":"t","born":1,"service":"s","requests":["a","b"],{row}}}]'
    with pytest.raises(ValueError, match=f"invalid {field}"):
        decode_reports(value.encode())


def test_long_part_ids_are_told_apart_by_a_short_one():
    """Guards against reports that are too large for the store."""
    ids = [shorten_part_id("a" * 10_000 + end) for end in "xy"]
    assert len(set(ids)) == 2
    assert all(len(one) <= MAX_PART_ID_LENGTH for one in ids)
    assert shorten_part_id("5c1e07a2") == "5c1e07a2"
