"""Desired state of a service's engines by the operators' policies."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..config.objects import StageKind
from ..config.policy_resolution import resolve_policy
from ..orders import EngineState

if TYPE_CHECKING:
    from ..config.effects import Placement
    from ..config.snapshot import Snapshot

__all__ = ("count_loads", "find_placements", "build_desired_state")


def find_placements(snapshot: Snapshot) -> Mapping[str, Placement]:
    """Return the placement of each service whose engines are to receive orders.

    Only policies without a workspace or pipeline selector apply, as an engine
    serves all of them. Only model engines accept orders.
    """
    found = {}
    for name, service in sorted(snapshot.services.items()):
        if service.kind is not StageKind.GENERATE:
            continue
        placement = resolve_policy(snapshot, workspace="", service=name).placement
        if not (placement.models or placement.adapters or placement.role):
            continue
        found[name] = placement
    return found


def build_desired_state(placement: Placement, present: EngineState) -> EngineState:
    """Return an engine's desired state; parts the placement omits stay as they are."""
    return EngineState(
        models=placement.models or present.models,
        adapters=placement.adapters or present.adapters,
        role=placement.role or present.role,
    )


def count_loads(wanted: EngineState, present: EngineState) -> int:
    """Return how many models and adapters have to be loaded from the weight store."""
    models = set(wanted.models) - set(present.models)
    adapters = set(wanted.adapters) - set(present.adapters)
    return len(models) + len(adapters)
