"""Tests of greengagelatch.relay.crash_reports."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.relay.crash_reports import decode_reports, encode_reports
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport, SurvivalReport

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
