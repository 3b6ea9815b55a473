"""What the policies in force say about one kind of work."""

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
    "resolve",
)

#: snapshots whose policies are kept ready, newest last
MAX_TABLES = 4

#: answers kept for one snapshot; callers choose the names that are asked for
MAX_ANSWERS = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class Steering:
    """How a workspace's work on a pipeline and service is to be treated."""

    #: higher is served first
    priority: int = 0
    #: ``None``: no limit
    quota: Quota | None = None
    weights: Weights = field(default_factory=Weights)
    #: which pipeline serves a request, by its id; ``None``: the one it names
    pipeline_split: Split | None = None
    #: which service serves a stage, by the request's id; ``None``: the stage's own
    service_split: Split | None = None
    placement: Placement = field(default_factory=Placement)


@dataclass(frozen=True, slots=True)
class _Rule:
    policy: Policy
    workspaces: Selector
    pipelines: Selector
    services: Selector
    value: EffectValue


def resolve(
    snapshot: Snapshot, workspace: str, pipeline: str = "", service: str = ""
) -> Steering:
    """Return what the policies of ``snapshot`` say, remembered for each snapshot.

    Without a pipeline or a service, as before a stage is known, only policies that
    don't select by these are looked at.
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
    """The policies of one snapshot in their order, with remembered answers.

    It holds on to the snapshot: an id may be given to another object as soon as the
    first one is gone, and its policies would be taken for the other's.
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
        # accepted policies are sound; one from a later release may not be
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
