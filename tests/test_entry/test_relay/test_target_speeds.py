"""Tests of the measured speed of targets through a whole instance."""

from __future__ import annotations

import pytest


def report_load(world, load: str) -> None:
    for target in world.targets.values():
        target.load = load


def list_measured(world) -> list[str]:
    """Return the targets with at least one measured answer."""
    return [
        name
        for name, one in world.describe()["targets"].items()
        if one.get("answers", 0) > 0
    ]


async def test_answers_of_targets_that_report_speed_are_measured(world):
    """Guards against answers whose times reach nobody who chooses."""
    report_load(world, "0,0,4,100")
    for number in range(12):
        await world.ask(f"/look/{number}")
    assert list_measured(world)


async def test_first_events_of_engines_that_report_speed_are_measured(pipeline):
    """Guards against engines of which only unary answers would be measured."""
    report_load(pipeline, "0,0,4,100")
    assert (await pipeline.stream()).status == 200
    assert any("llm" in name for name in list_measured(pipeline))


@pytest.mark.parametrize("load", ["0,0,4", "0,0,4,x", "٣,0,4,100", "0,0,4," + "9" * 50])
async def test_answer_with_another_report_is_delivered_and_not_measured(world, load):
    """Guards against a report that harms the answer with which it came."""
    report_load(world, load)
    for number in range(4):
        assert (await world.ask(f"/look/{number}")).status == 200
    assert list_measured(world) == []
