"""Tests of deadline attainment on either side of a partition."""

from __future__ import annotations

from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.observations import Observation, RequestOutcome
from greengagelatch_lab.outages.sides import FaultWindow, measure_sides

PLACES = {"n-1": "north", "s-1": "south"}


def observe(
    offset: float,
    instance: str,
    outcome: RequestOutcome = RequestOutcome.RESULT,
    **values,
):
    arrival = Arrival(
        index=0,
        offset=offset,
        workspace="member",
        pipeline="booking",
        input={},
        marker="marker",
        deadline_ms=1000,
        **values,
    )
    return Observation(arrival=arrival, outcome=outcome, instance=instance)


def test_requests_count_by_when_and_where_they_were_sent():
    windows = [
        FaultWindow(fault="cut", begin=1.0, end=2.0, data_centre="north"),
        FaultWindow(fault="slow", begin=3.0, end=4.0),
    ]
    observations = [
        observe(0.9, "n-1"),
        observe(1.0, "n-1", RequestOutcome.REFUSAL),
        observe(1.5, "n-1"),
        observe(1.5, "s-1"),
        observe(1.6, "s-1", retry_of=3, idempotency_key="key"),
        observe(2.0, "s-1"),
        observe(3.5, ""),
    ]
    sides = measure_sides(windows, observations, PLACES)
    found = [
        (s.fault, s.name, s.statistics.requests, s.statistics.attainment) for s in sides
    ]
    assert found == [
        ("cut", "north", 2, 0.5),
        ("cut", "the others", 1, 1.0),
        ("slow", "all", 1, 1.0),
    ]
