"""Tests of rates that targets name, through whole instances."""

from __future__ import annotations


async def name_rate(world, target_id: str, value: str | None) -> None:
    """Let a target name a rate, and send requests until it has answered one."""
    target = world.targets[target_id]
    target.more_headers = {} if value is None else {"Server-Limit": value}
    count = sum(target.runs.values())
    while sum(target.runs.values()) == count:
        await world.ask("/look/1")


def list_named(world) -> list[float]:
    """Return the rates that targets have named, as the state dump shows them."""
    return [one["named"] for one in world.describe()["rate_limits"].values()]


async def test_named_rate_is_logged_and_shown_until_it_ends(world):
    await name_rate(world, "desk-1", "2.5")
    assert list_named(world) == [2.5]
    await name_rate(world, "desk-1", "2.5")
    assert world.count("decisions.target-limit") == 1
    await name_rate(world, "desk-1", None)
    await world.wait_for(lambda: not list_named(world))
    assert world.count("decisions.target-limit") == 2


async def test_named_rate_of_a_maker_is_shown(pipeline):
    for name in ("portal-1", "portal-2"):
        pipeline.targets[name].more_headers = {"Server-Limit": "7"}
    assert (await pipeline.stream()).status == 200
    assert 7.0 in list_named(pipeline)


async def test_invalid_rates_harm_no_request(world):
    for value in ("", "NaN", "inf", "-1", "9" * 400):
        for target in world.targets.values():
            target.more_headers = {"Server-Limit": value}
        assert (await world.ask("/look/1")).status == 200
    assert list_named(world) == []
