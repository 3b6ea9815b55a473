"""Resolves the active policies for a workspace, pipeline and service, with a cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from .effects import (
    EffectValue,
    Placement,
    PolicySplits,
    Priority,
    Quota,
    TrafficSplit,
    Weights,
    parse_effect,
)
from .objects import Policy, PolicyEffect
from .precedence import order_policies
from .selectors import Selector, parse_selector
from .snapshot import Snapshot

__all__ = (
    "EffectivePolicy",
    "Placement",
    "Quota",
    "TrafficSplit",
    "Weights",
    "resolve_policy",
)

#: snapshots whose parsed policies are cached
MAX_CACHED_SNAPSHOTS = 4

#: cached results per snapshot, bounded because callers choose the names in the keys
MAX_CACHED_RESULTS = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class EffectivePolicy:
    """Effective policy of a workspace's requests to a pipeline and service."""

    #: higher is served first
    priority: int = 0
    #: ``None``: no limit
    quota: Quota | None = None
    weights: Weights = field(default_factory=Weights)
    #: chooses the pipeline by the request's id; ``None``: the one the request names
    pipeline_split: TrafficSplit | None = None
    #: chooses the service of a stage by the request's id; ``None``: the stage's own
    service_split: TrafficSplit | None = None
    placement: Placement = field(default_factory=Placement)


@dataclass(frozen=True, slots=True)
class _ParsedPolicy:
    policy: Policy
    workspaces: Selector
    pipelines: Selector
    services: Selector
    value: EffectValue


def resolve_policy(
    snapshot: Snapshot, workspace: str, pipeline: str = "", service: str = ""
) -> EffectivePolicy:
    """Return the effective policy under ``snapshot``; results are cached.

    If no pipeline or service is given, as before the stage is known, policies that
    select by it don't match.
    """
    key = id(snapshot)
    table = _tables.get(key)
    if table is None:
        table = _PolicyTable(snapshot)
        _tables[key] = table
        if len(_tables) > MAX_CACHED_SNAPSHOTS:
            _tables.popitem(last=False)
    return table.resolve(workspace, pipeline, service)


class _PolicyTable:
    """Parsed policies of one snapshot by precedence, with cached results.

    The table keeps a reference to the snapshot, as the cache is keyed by the
    snapshot's ``id``: Python may reuse the id of a freed object, and a later snapshot
    would then get the results of the freed one.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._policies = _parse_policies(snapshot)
        self._results: dict[tuple[str, str, str], EffectivePolicy] = {}

    def resolve(self, workspace: str, pipeline: str, service: str) -> EffectivePolicy:
        key = (workspace, pipeline, service)
        effective = self._results.get(key)
        if effective is None:
            effective = self._compute(workspace, pipeline, service)
            if len(self._results) >= MAX_CACHED_RESULTS:
                self._results.clear()
            self._results[key] = effective
        return effective

    def _compute(self, workspace: str, pipeline: str, service: str) -> EffectivePolicy:
        snapshot = self._snapshot
        effects: dict[PolicyEffect, EffectValue] = {}
        for parsed_policy in self._policies:
            effect = parsed_policy.policy.effect
            if effect in effects:
                continue
            if not _matches(parsed_policy.workspaces, workspace, snapshot.workspaces):
                continue
            if not _matches(parsed_policy.pipelines, pipeline, snapshot.pipelines):
                continue
            if not _matches(parsed_policy.services, service, snapshot.services):
                continue
            effects[effect] = parsed_policy.value
        return _combine(effects)


_tables: OrderedDict[int, _PolicyTable] = OrderedDict()


def _parse_policies(snapshot: Snapshot) -> tuple[_ParsedPolicy, ...]:
    parsed_policies = []
    for policy in order_policies(snapshot.policies.values()):
        value = parse_effect(policy)
        selectors = [
            parse_selector(text)
            for text in (policy.workspaces, policy.pipelines, policy.services)
        ]
        # accepted policies are valid, but a later release may accept others
        if value.is_err() or any(selector.is_err() for selector in selectors):
            continue
        parsed = [selector.ok_value for selector in selectors]
        parsed_policies.append(_ParsedPolicy(policy, *parsed, value.ok_value))
    return tuple(parsed_policies)


def _matches(selector: Selector, name: str, objects: Mapping) -> bool:
    if not selector.requirements:
        return True
    if not name:
        return False
    item = objects.get(name)
    labels = item.labels if item is not None else {}
    return selector.matches(name, labels)


def _combine(effects: Mapping[PolicyEffect, EffectValue]) -> EffectivePolicy:
    priority = effects.get(PolicyEffect.PRIORITY, Priority(0))
    splits = effects.get(PolicyEffect.SPLIT, PolicySplits())
    return EffectivePolicy(
        priority=priority.priority,
        quota=effects.get(PolicyEffect.QUOTA),
        weights=effects.get(PolicyEffect.WEIGHTS, Weights()),
        pipeline_split=splits.pipelines,
        service_split=splits.services,
        placement=effects.get(PolicyEffect.PLACEMENT, Placement()),
    )
