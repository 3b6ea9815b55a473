"""A test fleet with one plain service whose stage is not repeatable."""

from __future__ import annotations

from greengagelatch.config.objects import StageKind

from .model import Fleet, FleetService

__all__ = ("BOOKING_OBJECTS", "create_booking_fleet")

BOOKING_OBJECTS = """
[service:desk]
kind = plain

[workspace:member]

[pipeline:booking]
stages = book

[stage:booking/book]
kind = plain
service = desk
repeatable = no
"""


def create_booking_fleet(replicas: int) -> Fleet:
    """Create the fleet with ``replicas`` targets in a single data centre."""
    service = FleetService(name="desk", kind=StageKind.PLAIN, replicas=replicas)
    return Fleet(
        name="desk",
        data_centres=("centre",),
        services=(service,),
        workspaces=(),
        traffic=(),
    )
