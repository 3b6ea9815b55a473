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
    """Type of a stage, which determines the protocol that its targets speak."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of interchangeable targets, which the instance list enumerates."""

    name: str
    kind: StageKind
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """One step of a pipeline."""

    name: str
    kind: StageKind
    service: str
    #: whether a call may be retried although an earlier attempt may have run
    repeatable: bool = True
    #: weight above 0 by which the request's deadline is divided among the stages
    share: float = 1.0
    #: names of earlier stages whose results are the input; empty: the request's input
    inputs: tuple[str, ...] = ()
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Pipeline:
    """An ordered list of stages under one deadline."""

    name: str
    stages: tuple[Stage, ...]
    #: default deadline in milliseconds; 0: each request must state its own
    default_deadline_ms: int = 0
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer whose requests share policies and quotas."""

    name: str
    labels: Mapping[str, str] = field(default_factory=dict)


class PolicyEffect(Enum):
    """What a policy controls."""

    SPLIT = "split"
    PRIORITY = "priority"
    QUOTA = "quota"
    PLACEMENT = "placement"
    WEIGHTS = "weights"


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Applies an effect to the traffic that its selectors match.

    Selectors are texts such as ``tier in (gold, silver), !trial``; see
    :mod:`greengagelatch.config.selectors`.
    """

    name: str
    effect: PolicyEffect
    workspaces: str = ""
    pipelines: str = ""
    services: str = ""
    #: the highest rank wins; ties are broken by selector size, then by name
    rank: int = 0
    #: parameters of the effect, such as ``requests_per_second`` of a quota
    values: Mapping[str, str] = field(default_factory=dict)
    labels: Mapping[str, str] = field(default_factory=dict)
