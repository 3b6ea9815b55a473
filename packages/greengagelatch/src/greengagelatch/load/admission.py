"""Admission control: refuses requests that can't finish within their deadline."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from ..config.objects import Pipeline, Stage
from ..config.policy_resolution import Weights
from ..errors import Refusal, RefusalCode
from .deadlines import measure_downstream
from .refusals import create_refusal
from .service import ServiceLoad
from .weights import scale_margin

__all__ = ("Admission", "AdmissionRule", "Arrival", "EstimateAdmission")


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that has arrived and awaits admission."""

    workspace: str
    pipeline: Pipeline
    priority: int
    #: monotonic seconds
    deadline: float
    weights: Weights = field(default_factory=Weights)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRule:
    """Parameters of admission control."""

    #: percentile of each stage's duration that must fit while its targets are idle
    idle_percentile: float = 10


class Admission(ABC):
    """Decides on a request's arrival whether to start it."""

    @abstractmethod
    def check(self, arrival: Arrival, now: float) -> Refusal | None:
        """Return the refusal of the request, ``None`` if it is admitted."""


class EstimateAdmission(Admission):
    """Admits by the estimated queueing and service time of all stages.

    A request that starts and then exceeds its deadline costs the targets as much
    as an answered one, so under overload most of the work would be wasted. A
    caller that is refused at once still has time to retry.

    :param find_service: returns the load of a service by its name.
    """

    def __init__(
        self, *, rule: AdmissionRule, find_service: Callable[[str], ServiceLoad]
    ) -> None:
        self._rule = rule
        self._find_service = find_service

    def check(self, arrival: Arrival, now: float) -> Refusal | None:
        pipeline = arrival.pipeline
        waits: dict[str, float] = {}
        totals: dict[str, float] = {}
        remaining = arrival.deadline - now
        shares = sum(stage.share for stage in pipeline.stages)
        for stage in pipeline.stages:
            allotted = remaining * stage.share / shares
            wait, seconds = self._estimate(arrival, stage, allotted, now)
            waits[stage.name] = wait
            totals[stage.name] = wait + seconds
        longest = max(
            totals[stage.name] + measure_downstream(pipeline, stage.name, totals)
            for stage in pipeline.stages
        )
        if longest <= remaining:
            return None
        message = (
            f"pipeline {pipeline.name} needs about {longest * 1000:.0f} ms now but"
            f" only {remaining * 1000:.0f} ms remain until the deadline"
        )
        waiting = max(waits.values())
        code = RefusalCode.OVERLOADED if waiting > 0 else RefusalCode.DEADLINE
        return create_refusal(code, message, max(waiting, longest - remaining))

    def _estimate(
        self, arrival: Arrival, stage: Stage, allotted: float, now: float
    ) -> tuple[float, float]:
        """Return the seconds a stage waits in the queue, and those it runs."""
        service = self._find_service(stage.service)
        kind = (arrival.pipeline.name, stage.name)
        if not service.is_busy(now):
            percentile = self._rule.idle_percentile
            return 0.0, service.estimate_duration(kind, allotted, percentile, now)
        usual = service.estimate_duration(kind, allotted, 50, now)
        wait = service.estimate_wait(arrival.workspace, arrival.priority, usual, now)
        safe = service.estimate_safe_duration(kind, allotted, now)
        return wait, safe * scale_margin(arrival.weights)
