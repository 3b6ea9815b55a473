"""The broker assistant fleet of Kyushu."""

from __future__ import annotations

from greengagelatch.config.objects import StageKind

from .model import Fleet, FleetService, Traffic, TrafficWorkspace

__all__ = ("KYUSHU",)

KYUSHU = Fleet(
    name="kyushu",
    data_centres=("fukuoka-a", "fukuoka-b", "kumamoto"),
    services=(
        FleetService(name="greengage-llm", kind=StageKind.GENERATE, replicas=5),
        FleetService(name="stockdesk", kind=StageKind.PLAIN, replicas=3),
        FleetService(name="pricebook", kind=StageKind.RETRIEVE, replicas=3),
        FleetService(name="crm-ledger", kind=StageKind.ENCODE, replicas=3),
        FleetService(name="notify", kind=StageKind.PLAIN, replicas=3),
    ),
    workspaces=(
        TrafficWorkspace(name="hakata-brokers", weight=8),
        TrafficWorkspace(name="kokura-motors", weight=6),
        TrafficWorkspace(name="oita-robotics", weight=2),
        TrafficWorkspace(name="sasebo-marine", weight=1),
        TrafficWorkspace(name="nagasaki-optics", weight=1),
    ),
    traffic=(
        Traffic(
            pipeline="quote-draft",
            rate=5,
            deadline_ms=6000,
            token_range=(40, 160),
            stream=True,
        ),
        Traffic(
            pipeline="shortage-scan", rate=6, deadline_ms=5000, token_range=(16, 48)
        ),
        Traffic(
            pipeline="broker-chat",
            rate=14,
            deadline_ms=3000,
            token_range=(8, 32),
            stream=True,
        ),
        Traffic(pipeline="stock-lookup", rate=35, deadline_ms=1500),
        Traffic(
            pipeline="order-hold",
            rate=12,
            deadline_ms=2000,
            repeatable=False,
            keyed_fraction=0.7,
            retry_fraction=0.3,
        ),
    ),
)
