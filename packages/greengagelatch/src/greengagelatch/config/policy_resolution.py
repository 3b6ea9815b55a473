"""Resolves the active policies for a workspace, pipeline and service, with a cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from .effects import (
    EffectValue,
    Placement,
    Priority,
    Quota,
    Split,
    Splits,
    Weights,
    read_effect,
)
from .objects import Policy, PolicyEffect
from .precedence import order_policies
from .selectors import Selector, parse_selector
from .snapshot import Snapshot

__all__ = (
    "Placement",
    "Quota",
    "Split",
    "Steering",
    "Weights",
    "resolve_policy",
)

#: snapshots whose parsed policies are cached
MAX_TABLES = 4

#: cached results per snapshot, bounded because callers choose the names in the keys
MAX_ANSWERS = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class Steering:
    """Effective policy of a workspace's requests to a pipeline and service."""

    #: higher is served first
    priority: int = 0
    #: ``None``: no limit
    quota: Quota | None = None
    weights: Weights = field(default_factory=Weights)
    #: chooses the pipeline by the request's id; ``None``: the one the request names
    pipeline_split: Split | None = None
    #: chooses the service of a stage by the request's id; ``None``: the stage's own
    service_split: Split | None = None
    placement: Placement = field(default_factory=Placement)


@dataclass(frozen=True, slots=True)
class _Rule:
    policy: Policy
    workspaces: Selector
    pipelines: Selector
    services: Selector
    value: EffectValue


def resolve_policy(
    snapshot: Snapshot, workspace: str, pipeline: str = "", service: str = ""
) -> Steering:
    """Return the effective policy under ``snapshot``; results are cached.

    If no pipeline or service is given, as before the stage is known, policies that
    select by it don't match.
    """
    key = id(snapshot)
    table = _tables.get(key)
    if table is None:
        table = _Table(snapshot)
        _tables[key] = table
        if len(_tables) > MAX_TABLES:
            _tables.popitem(last=False)
    return table.resolve(workspace, pipeline, service)


class _Table:
    """Parsed policies of one snapshot by precedence, with cached results.

    The table keeps a reference to the snapshot, as the cache is keyed by the
    snapshot's ``id``: Python may reuse the id of a freed object, and a later snapshot
    would then get the results of the freed one.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._rules = _build_rules(snapshot)
        self._answers: dict[tuple[str, str, str], Steering] = {}

    def resolve(self, workspace: str, pipeline: str, service: str) -> Steering:
        key = (workspace, pipeline, service)
        steering = self._answers.get(key)
        if steering is None:
            steering = self._compute(workspace, pipeline, service)
            if len(self._answers) >= MAX_ANSWERS:
                self._answers.clear()
            self._answers[key] = steering
        return steering

    def _compute(self, workspace: str, pipeline: str, service: str) -> Steering:
        snapshot = self._snapshot
        found: dict[PolicyEffect, EffectValue] = {}
        for rule in self._rules:
            effect = rule.policy.effect
            if effect in found:
                continue
            if not _picks(rule.workspaces, workspace, snapshot.workspaces):
                continue
            if not _picks(rule.pipelines, pipeline, snapshot.pipelines):
                continue
            if not _picks(rule.services, service, snapshot.services):
                continue
            found[effect] = rule.value
        return _combine(found)


_tables: OrderedDict[int, _Table] = OrderedDict()


def _build_rules(snapshot: Snapshot) -> tuple[_Rule, ...]:
    rules = []
    for policy in order_policies(snapshot.policies.values()):
        value = read_effect(policy)
        selectors = [
            parse_selector(text)
            for text in (policy.workspaces, policy.pipelines, policy.services)
        ]
        # accepted policies are valid, but a later release may accept others
        if value.is_err() or any(selector.is_err() for selector in selectors):
            continue
        parsed = [selector.ok_value for selector in selectors]
        rules.append(_Rule(policy, *parsed, value.ok_value))
    return tuple(rules)


def _picks(selector: Selector, name: str, objects: Mapping) -> bool:
    if not selector.requirements:
        return True
    if not name:
        return False
    item = objects.get(name)
    labels = item.labels if item is not None else {}
    return selector.matches(name, labels)


def _combine(found: Mapping[PolicyEffect, EffectValue]) -> Steering:
    priority = found.get(PolicyEffect.PRIORITY, Priority(0))
    splits = found.get(PolicyEffect.SPLIT, Splits())
    return Steering(
        priority=priority.priority,
        quota=found.get(PolicyEffect.QUOTA),
        weights=found.get(PolicyEffect.WEIGHTS, Weights()),
        pipeline_split=splits.pipelines,
        service_split=splits.services,
        placement=found.get(PolicyEffect.PLACEMENT, Placement()),
    )
