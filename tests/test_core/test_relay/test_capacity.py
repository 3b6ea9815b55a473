"""Tests of greengagelatch.relay.capacity."""

from __future__ import annotations

import pytest

from greengagelatch.relay.capacity import Usage, is_busy

REST = {"work": 0.1, "link": 0.1, "lag": 0.0}


@pytest.mark.parametrize(
    "short", [{"work": 0.85}, {"link": 0.85}, {"lag": 0.15}], ids=str
)
def test_instance_short_of_anything_is_busy(short):
    assert is_busy(Usage(**{**REST, **short}), before=False)


def test_instance_near_the_limit_is_told_of_once():
    usage = Usage(**{**REST, "link": 0.7})
    assert not is_busy(usage, before=False)
    assert is_busy(usage, before=True)
    assert not is_busy(Usage(**REST), before=True)
