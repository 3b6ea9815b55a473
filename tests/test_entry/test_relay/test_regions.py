"""Tests of requests that are restricted to regions, through a whole instance."""

from __future__ import annotations

import pytest

from greengagelatch_lab.platform_standins.deployment import create_configuration

#: the instance itself is in the north
DATA_CENTRES = ("north", "south", "east")


async def restrict(world, route: list[str], workspace: list[str]) -> None:
    """Restrict all routes, and the workspace, to regions."""
    fields = create_configuration(version=4)
    for one in fields["routes"]:
        one["allowed-regions"] = route
    fields["tenants"][0]["allowed-regions"] = workspace
    revision = world.store.put("op/config", fields)
    await world.wait_for_revision(revision)


def find_reached(world) -> set[str]:
    """Return the data centres whose targets received requests or stage calls."""
    return {
        one.data_centre for one in world.targets.values() if one.received or one.batches
    }


@pytest.fixture
async def regions(pipeline):
    """An instance with targets of all services in three regions."""
    for data_centre in DATA_CENTRES:
        for service in ("desk", "llm", "portal", "ledger"):
            await pipeline.add(
                f"{service}-{data_centre}", service, data_centre=data_centre
            )
    await pipeline.wait_until_synced(18)
    return pipeline


@pytest.mark.parametrize(
    ("route", "workspace", "reached"),
    [
        (["green"], [], {"south"}),
        ([], ["blue"], {"east"}),
        (["green", "blue"], ["blue", "red"], {"east"}),
        (["green", "blue"], [], {"south", "east"}),
    ],
)
async def test_requests_and_pieces_stay_in_their_regions(
    regions, route, workspace, reached
):
    """Guards against data that leaves the regions it may be processed in."""
    await restrict(regions, route, workspace)
    for number in range(8):
        assert (await regions.ask(f"/look/{number}")).status == 200
        assert (await regions.stream()).status == 200
    assert find_reached(regions) <= reached
    assert find_reached(regions)


async def test_request_without_a_common_region_is_refused(regions):
    await restrict(regions, ["green"], ["blue"])
    assert (await regions.ask("/look/1")).status == 503
    assert (await regions.stream()).status == 503
    assert find_reached(regions) == set()


async def test_evacuated_region_leaves_no_target(regions):
    """Guards against an evacuation that moves requests out of their regions."""
    await restrict(regions, ["green"], [])
    regions.evacuate("south")
    await regions.wait_for(lambda: not regions.accepts("desk-south"))
    assert (await regions.ask("/look/1")).status == 503
    assert (await regions.stream()).status == 503
    assert find_reached(regions) == set()
