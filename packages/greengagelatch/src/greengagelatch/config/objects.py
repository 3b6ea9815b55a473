"""Objects that operators create: pipelines, stages, services, workspaces, policies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = (
    "Pipeline",
    "Policy",
    "PolicyEffect",
    "Service",
    "Stage",
    "StageKind",
    "Workspace",
)


class StageKind(Enum):
    """What a stage does; it decides which calls a target understands."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of interchangeable targets; the instance list says which they are."""

    name: str
    kind: StageKind
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """One step of a pipeline."""

    name: str
    kind: StageKind
    service: str
    #: whether a call of this stage may be sent again after it may have run
    repeatable: bool = True
    #: share of the request's deadline, above 0, relative to the other stages
    share: float = 1.0
    #: names of earlier stages whose results are input; empty: the request's input
    inputs: tuple[str, ...] = ()
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Pipeline:
    """An ordered list of stages under one deadline."""

    name: str
    stages: tuple[Stage, ...]
    #: deadline in milliseconds for callers that name none; 0: a caller must
    default_deadline_ms: int = 0
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer on whose behalf requests are made."""

    name: str
    labels: Mapping[str, str] = field(default_factory=dict)


class PolicyEffect(Enum):
    """What a policy steers."""

    SPLIT = "split"
    PRIORITY = "priority"
    QUOTA = "quota"
    PLACEMENT = "placement"
    WEIGHTS = "weights"


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Steers whatever its selectors pick.

    Selectors are texts such as ``tier in (gold, silver), !trial``; see
    :mod:`greengagelatch.config.selectors`.
    """

    name: str
    effect: PolicyEffect
    workspaces: str = ""
    pipelines: str = ""
    services: str = ""
    #: higher ranks win; equal ranks are ordered by selector size, then by name
    rank: int = 0
    #: parameters of the effect, such as ``requests_per_second`` of a quota
    values: Mapping[str, str] = field(default_factory=dict)
    labels: Mapping[str, str] = field(default_factory=dict)
