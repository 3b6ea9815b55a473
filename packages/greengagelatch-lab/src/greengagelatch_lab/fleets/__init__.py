"""Definitions of the fleets that greengagelatch serves, and their traffic."""

from __future__ import annotations

from .kyushu import KYUSHU
from .luzon import LUZON
from .model import Fleet, FleetService, Traffic, TrafficWorkspace

__all__ = (
    "FLEETS",
    "KYUSHU",
    "LUZON",
    "Fleet",
    "FleetService",
    "Traffic",
    "TrafficWorkspace",
)

#: all fleets by name
FLEETS: dict[str, Fleet] = {fleet.name: fleet for fleet in (LUZON, KYUSHU)}
