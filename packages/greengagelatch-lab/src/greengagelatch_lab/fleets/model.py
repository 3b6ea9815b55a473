"""Types that describe a fleet and the traffic on it."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import resources

from result import Err

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline, StageKind

__all__ = ("Fleet", "FleetService", "Traffic", "TrafficWorkspace")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetService:
    """One service and how many targets provide it."""

    name: str
    kind: StageKind
    replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficWorkspace:
    """One workspace and its weight in the fleet's traffic."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """How often and in which form one pipeline is called."""

    pipeline: str
    #: requests a second at scale 1
    rate: float
    deadline_ms: int
    #: tokens of the answer, least and most; only where a stage generates
    tokens: tuple[int, int] = (0, 0)
    stream: bool = False
    repeatable: bool = True
    #: share of the requests that carry an idempotency key
    keyed: float = 0.0
    #: share of the keyed requests that are sent again through another instance
    repeated: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """One fleet: where it runs, what it offers and who calls it."""

    name: str
    data_centres: tuple[str, ...]
    services: tuple[FleetService, ...]
    workspaces: tuple[TrafficWorkspace, ...]
    traffic: tuple[Traffic, ...]

    def read_objects(self) -> str:
        """Return the INI text of the objects that the fleet's operators apply."""
        file = resources.files(__package__).joinpath(f"{self.name}.ini")
        return file.read_text(encoding="utf-8")

    def read_pipelines(self) -> dict[str, Pipeline]:
        """Return the pipelines among the objects, by name.

        :raises ValueError: if the objects can't be read
        """
        result = parse_objects(self.read_objects(), f"{self.name}.ini")
        if isinstance(result, Err):
            raise ValueError("; ".join(str(problem) for problem in result.err_value))
        objects = result.ok_value
        return {item.name: item for item in objects if isinstance(item, Pipeline)}
