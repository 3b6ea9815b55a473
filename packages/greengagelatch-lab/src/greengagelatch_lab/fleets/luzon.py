"""The wheel lathe scheduling fleet of Luzon."""

from __future__ import annotations

from greengagelatch.config.objects import StageKind

from .model import Fleet, FleetService, Traffic, TrafficWorkspace

__all__ = ("LUZON",)

LUZON = Fleet(
    name="luzon",
    data_centres=("caloocan-hall", "tutuban-hall", "calamba-hall"),
    services=(
        FleetService(name="planner-llm", kind=StageKind.GENERATE, replicas=5),
        FleetService(name="lathe-desk", kind=StageKind.PLAIN, replicas=3),
        FleetService(name="member-portal", kind=StageKind.RERANK, replicas=3),
        FleetService(name="fleet-ledger", kind=StageKind.RETRIEVE, replicas=3),
        FleetService(name="audit-trail", kind=StageKind.PLAIN, replicas=3),
    ),
    workspaces=(
        TrafficWorkspace(name="north-commuter", weight=8),
        TrafficWorkspace(name="metro-east", weight=6),
        TrafficWorkspace(name="harbor-freight", weight=2),
        TrafficWorkspace(name="bicol-express", weight=1),
        TrafficWorkspace(name="batangas-shuttle", weight=1),
    ),
    traffic=(
        Traffic(
            pipeline="booking",
            rate=12,
            deadline_ms=2000,
            repeatable=False,
            keyed_fraction=0.7,
            retry_fraction=0.3,
        ),
        Traffic(pipeline="status", rate=40, deadline_ms=1500),
        Traffic(
            pipeline="profile-check", rate=10, deadline_ms=3000, token_range=(4, 12)
        ),
        Traffic(
            pipeline="shift-plan",
            rate=5,
            deadline_ms=6000,
            token_range=(40, 160),
            stream=True,
        ),
        Traffic(
            pipeline="audit",
            rate=6,
            deadline_ms=4000,
            keyed_fraction=0.3,
            retry_fraction=0.2,
        ),
    ),
)
