"""Tests of the permits that an instance holds."""

from __future__ import annotations

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.permits import PERMIT_SECONDS, SILENT_SECONDS, Permits
from greengagelatch.relay.rate_limits import NamedRate

TARGET, OTHER = Incarnation("t-1", 1), Incarnation("t-2", 1)


def create_permits(wanted: list) -> Permits:
    permits = Permits(on_wanted=lambda *request: wanted.append(request))
    permits.limits.record_answer(TARGET, NamedRate(1.0), 0.0)
    return permits


def test_each_request_to_a_limited_target_takes_a_permit():
    permits = create_permits([])
    assert permits.may_send(OTHER, 0.0)
    assert not permits.may_send(TARGET, 0.0)
    permits.add(TARGET, 2, 0.0)
    for _ in range(2):
        assert permits.may_send(TARGET, 0.1)
        permits.record_send(TARGET, 0.1)
    assert not permits.may_send(TARGET, 0.1)


def test_permits_that_are_not_used_expire():
    """Guards against requests that arrive long after they were permitted."""
    permits = create_permits([])
    permits.add(TARGET, 1, 0.0)
    assert not permits.may_send(TARGET, PERMIT_SECONDS)


def test_permit_is_asked_for_ahead_only_where_it_is_likely_used():
    wanted = []
    permits = create_permits(wanted)
    permits.want([TARGET, OTHER], 0.1)
    assert wanted == []
    permits.want([TARGET, OTHER], 0.2)
    assert wanted == [([TARGET], 0.0)]
    permits.want([TARGET], 0.3 + PERMIT_SECONDS)
    assert len(wanted) == 1


def test_silent_target_is_asked_for_to_learn_of_the_end_of_its_limit():
    wanted = []
    permits = create_permits(wanted)
    permits.want([TARGET], SILENT_SECONDS)
    assert wanted == [([TARGET], 0.0)]


def test_permit_that_work_waits_for_is_asked_for_at_once():
    wanted = []
    permits = create_permits(wanted)
    permits.want([TARGET], 0.1, patience=1.0)
    assert wanted == [([TARGET], 1.0)]
