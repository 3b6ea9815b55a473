"""The initial configuration of every run of the matrix."""

from __future__ import annotations

from greengagelatch.config.objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Service,
    Stage,
    StageKind,
    Workspace,
)

__all__ = (
    "BOOKING",
    "DRAFT",
    "OBJECTS",
    "SERVICES",
    "WORKSPACE",
    "create_engines",
    "create_placement",
)

WORKSPACE = "depot"
BOOKING = "booking"
DRAFT = "draft"

SERVICES = (
    Service(name="profiles", kind=StageKind.RETRIEVE),
    Service(name="desk", kind=StageKind.PLAIN),
    Service(name="llm", kind=StageKind.GENERATE),
)

_CHECK = Stage(name="check", kind=StageKind.RETRIEVE, service="profiles")
_BOOK = Stage(
    name="book",
    kind=StageKind.PLAIN,
    service="desk",
    repeatable=False,
    inputs=("check",),
)

OBJECTS = (
    *SERVICES,
    Pipeline(
        name=BOOKING,
        stages=(
            _CHECK,
            _BOOK,
            Stage(
                name="reply",
                kind=StageKind.GENERATE,
                service="llm",
                inputs=("check", "book"),
            ),
        ),
    ),
    Pipeline(
        name=DRAFT,
        stages=(
            _CHECK,
            Stage(
                name="reply", kind=StageKind.GENERATE, service="llm", inputs=("check",)
            ),
        ),
    ),
    Workspace(name=WORKSPACE),
    # gets no requests: configuration changes of a run modify its labels
    Workspace(name="spare"),
)


def create_engines(*, checks: bool) -> Service:
    """Return the engines' service; ``checks``: whether they check fencing tokens."""
    fencing = "checked" if checks else "ignored"
    return Service(name="llm", kind=StageKind.GENERATE, labels={"fencing": fencing})


def create_placement(model: str) -> Policy:
    """Return the policy that places a model on all engines."""
    return Policy(
        name="place",
        effect=PolicyEffect.PLACEMENT,
        services="",
        values={"models": model},
    )
