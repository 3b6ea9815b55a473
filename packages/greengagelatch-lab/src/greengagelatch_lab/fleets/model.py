"""Types that describe a fleet and its traffic."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import resources

from result import Err

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline, StageKind

__all__ = ("Fleet", "FleetService", "Traffic", "TrafficWorkspace")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetService:
    """One service and the number of targets that provide it."""

    name: str
    kind: StageKind
    replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficWorkspace:
    """One workspace and its share of the fleet's traffic, as a relative weight."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Request rate and request parameters of one pipeline."""

    pipeline: str
    #: requests per second at scale 1
    rate: float
    deadline_ms: int
    #: minimum and maximum tokens generated; ``(0, 0)`` if no stage generates
    token_range: tuple[int, int] = (0, 0)
    stream: bool = False
    repeatable: bool = True
    #: fraction of the requests that carry an idempotency key
    keyed_fraction: float = 0.0
    #: fraction of the keyed requests that are resent through another instance
    retry_fraction: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """One fleet: its data centres, services, workspaces and traffic."""

    name: str
    data_centres: tuple[str, ...]
    services: tuple[FleetService, ...]
    workspaces: tuple[TrafficWorkspace, ...]
    traffic: tuple[Traffic, ...]

    def read_objects(self) -> str:
        """Return the INI text of the fleet's configuration objects."""
        file = resources.files(__package__).joinpath(f"{self.name}.ini")
        return file.read_text(encoding="utf-8")

    def read_pipelines(self) -> dict[str, Pipeline]:
        """Return the pipelines among the configuration objects, by name.

        :raises ValueError: if the objects can't be parsed
        """
        result = parse_objects(self.read_objects(), f"{self.name}.ini")
        if isinstance(result, Err):
            raise ValueError("; ".join(str(problem) for problem in result.err_value))
        objects = result.ok_value
        return {item.name: item for item in objects if isinstance(item, Pipeline)}
