"""Validation of references between objects of the whole configuration."""

from __future__ import annotations

from collections.abc import Hashable, Mapping

from .effects import PolicySplits, TrafficSplit, parse_effect
from .names import ConfigObject
from .objects import Pipeline, Policy, PolicyEffect, Service, Stage
from .problems import Problem
from .selectors import parse_selector

__all__ = ("find_new_problems", "find_problems")

#: objects by any unique key
Objects = Mapping[Hashable, ConfigObject]


def find_new_problems(before: Objects, after: Objects, file: str) -> list[Problem]:
    """Return the problems that a change would introduce.

    Existing problems are ignored: objects that a release with less strict checks has
    accepted must not block unrelated changes.
    """
    problems = find_problems(after, file)
    if not problems:
        return []
    known = set(find_problems(before, file))
    return [problem for problem in problems if problem not in known]


def find_problems(objects: Objects, file: str) -> list[Problem]:
    """Return a problem for each invalid reference in ``objects``."""
    checker = _Checker(objects, file)
    for item in objects.values():
        if isinstance(item, Pipeline):
            checker.check_pipeline(item)
        elif isinstance(item, Policy) and item.effect is PolicyEffect.SPLIT:
            checker.check_split_policy(item)
    return checker.problems


class _Checker:
    def __init__(self, objects: Objects, file: str) -> None:
        self.problems: list[Problem] = []
        self._file = file
        self._services: dict[str, Service] = {}
        self._pipelines: set[str] = set()
        for item in objects.values():
            if isinstance(item, Service):
                self._services[item.name] = item
            elif isinstance(item, Pipeline):
                self._pipelines.add(item.name)

    def check_pipeline(self, pipeline: Pipeline) -> None:
        for stage in pipeline.stages:
            self._check_stage(f"stage:{pipeline.name}/{stage.name}", stage)

    def _check_stage(self, section: str, stage: Stage) -> None:
        service = self._services.get(stage.service)
        if service is None:
            self._add(section, "service", stage.service, "there is no such service")
            return
        if service.kind is stage.kind:
            return
        reason = f"service {service.name} is of kind {service.kind.value}"
        self._add(section, "kind", stage.kind.value, reason)

    def check_split_policy(self, policy: Policy) -> None:
        effect = parse_effect(policy)
        if effect.is_err() or not isinstance(effect.ok_value, PolicySplits):
            return
        section = f"policy:{policy.name}"
        if effect.ok_value.pipelines is not None:
            self._check_pipelines(section, effect.ok_value.pipelines)
        if effect.ok_value.services is not None:
            self._check_services(section, policy, effect.ok_value.services)

    def _check_pipelines(self, section: str, split: TrafficSplit) -> None:
        for name, _ in split.shares:
            if name in self._pipelines:
                continue
            self._add(section, "to_pipelines", name, "there is no such pipeline")

    def _check_services(
        self, section: str, policy: Policy, split: TrafficSplit
    ) -> None:
        kinds = set()
        for name, _ in split.shares:
            service = self._services.get(name)
            if service is None:
                self._add(section, "to_services", name, "there is no such service")
                continue
            kinds.add(service.kind)
        # a target can't handle calls of another kind of service
        for service in self._find_matching(policy):
            if kinds <= {service.kind}:
                continue
            reason = (
                f"the selector services matches {service.name} of kind"
                f" {service.kind.value}, but not all services here are of that kind"
            )
            value = policy.values["to_services"]
            self._add(section, "to_services", value, reason)

    def _find_matching(self, policy: Policy) -> list[Service]:
        selector = parse_selector(policy.services)
        if selector.is_err():
            return []
        matching = []
        for service in self._services.values():
            if selector.ok_value.matches(service.name, service.labels):
                matching.append(service)
        return matching

    def _add(self, section: str, key: str, value: str, reason: str) -> None:
        problem = Problem(
            file=self._file, section=section, key=key, value=value, reason=reason
        )
        self.problems.append(problem)
