"""Fleets whose less urgent requests have the looser latency objective."""

from __future__ import annotations

from dataclasses import replace

from .shapes import (
    MEGABIT,
    Burst,
    CallerClass,
    FleetShape,
    InstanceShape,
    Outage,
    Scenario,
    StageShape,
    create_chain,
    create_makers,
)

__all__ = ("RANKED_SCENARIOS", "RANKED_SHAPES")

_SERVICES = ("archive", "school", "library")
_LARGE = StageShape(service="archive", result_bytes=1_500_000, pieces=2.5, share=0.7)
_SMALL = StageShape(service="archive", result_bytes=1_500_000, pieces=1.5, share=0.4)

_ANKARA = FleetShape(
    name="ankara-grown",
    data_centres=4,
    engines=45,
    workspace_priorities=(1, 0, 1, 0, 1),
    makers=create_makers(
        ("archive", 9, 12, 0.014, 27.0),
        ("school", 8, 45, 0.00384, 5.906),
        ("library", 9, 66, 0.0026, 0.88),
    ),
    classes=(
        CallerClass(
            name="review",
            per_second=26.9,
            objective=1.035,
            deadline=6.2,
            utility=6.3,
            late_utility=0.38,
            priority=0,
            shared_tokens=6300,
            own_tokens=2890,
            shared_part_count=300,
            generation_seconds=0.3,
            stages=(_LARGE,),
        ),
        CallerClass(
            name="check",
            per_second=62.3,
            objective=4.019,
            deadline=6.03,
            utility=0.83,
            late_utility=0.18,
            priority=2,
            shared_tokens=568,
            own_tokens=1800,
            shared_part_count=200,
            generation_seconds=0.15,
            stages=create_chain(_SERVICES, 6),
        ),
        CallerClass(
            name="hint",
            per_second=24.6,
            objective=2.015,
            deadline=20.1,
            utility=0.54,
            late_utility=0.08,
            priority=1,
            shared_tokens=172,
            own_tokens=543,
            shared_part_count=130,
            generation_seconds=1.5,
            stages=(_SMALL, *create_chain(_SERVICES, 6, first=1)),
        ),
    ),
)

#: by the name given on the command line, with one instance and with all of them
RANKED_SHAPES = {
    "ankara-grown": _ANKARA,
    "ankara-grown-linked": replace(
        _ANKARA,
        name="ankara-grown-linked",
        instances=(
            InstanceShape(count=2, cores=2.15, link_bytes=100 * MEGABIT),
            InstanceShape(count=15, cores=0.516, link_bytes=10 * MEGABIT),
        ),
    ),
}

#: load of these fleets: bursts of one class after the other
RANKED_SCENARIOS = {
    "ranked": Scenario(
        name="ranked",
        bursts=(
            Burst("review", 2.5, 6.8, 2.6),
            Burst("check", 4.1, 6.8, 2.3),
            Burst("check", 15.0, 6.1, 2.2),
            Burst("", 25.0, 4.0, 1.8),
        ),
        outages=(Outage(":0", 11.0, 4.6),),
    ),
    "ranked-heavy": Scenario(
        name="ranked-heavy",
        bursts=(
            Burst("review", 2.5, 6.8, 3.0),
            Burst("check", 4.0, 8.0, 3.4),
            Burst("hint", 17.0, 5.0, 3.0),
            Burst("", 25.0, 4.0, 2.5),
        ),
    ),
}
