"""One generation of the operator configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .objects import Pipeline, Policy, Service, Workspace

__all__ = ("EMPTY_SNAPSHOT", "Snapshot")


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """All objects of one generation; each change increments the generation."""

    generation: int
    change_id: str = ""
    pipelines: Mapping[str, Pipeline] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    policies: Mapping[str, Policy] = field(default_factory=dict)


#: configuration of an instance before it has received any generation
EMPTY_SNAPSHOT = Snapshot(generation=0)
