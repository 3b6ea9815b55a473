"""Status report of an instance for operators."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

__all__ = ("InstanceStatus", "MemberStatus", "TargetStatus")


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Status of another entry instance, as known to this one."""

    instance_id: str
    data_centre: str
    state: str
    #: configuration generation in force there; ``None`` if unknown
    generation: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """Status of a target, as known to this instance."""

    target_id: str
    service: str
    data_centre: str
    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """Response to ``GET /status``."""

    instance_id: str
    data_centre: str
    #: configuration generation in force here
    generation: int
    ready: bool
    draining: bool
    members: tuple[MemberStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()

    def has_target(self, target_id: str) -> bool:
        """Whether ``target_id`` is a known target."""
        return any(target.target_id == target_id for target in self.targets)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON fields, with members by id and targets by service."""
        services: dict[str, dict[str, Any]] = defaultdict(dict)
        for target in self.targets:
            services[target.service][target.target_id] = {
                "data_centre": target.data_centre,
                "state": target.state,
            }
        return {
            "instance": self.instance_id,
            "data_centre": self.data_centre,
            "generation": self.generation,
            "ready": self.ready,
            "draining": self.draining,
            "members": {
                member.instance_id: {
                    "data_centre": member.data_centre,
                    "state": member.state,
                    "generation": member.generation,
                }
                for member in self.members
            },
            "targets": dict(services),
        }
