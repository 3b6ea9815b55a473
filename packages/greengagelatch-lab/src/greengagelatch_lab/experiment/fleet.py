"""Model of a fleet's targets and of each entry instance's view of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from greengagelatch.config.objects import StageKind
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.targets import Target
from greengagelatch.targets.directory import Candidate, TargetDirectory
from greengagelatch.targets.registry import TargetRegistry, TargetRegistryRules

from ..fleets import Fleet
from .events import EventClock
from .models import EngineModel, EngineRule, ModelCall, PoolModel, TargetModel

__all__ = (
    "IMMEDIATE_REPORTS",
    "DELAYED_REPORTS",
    "ModelDirectory",
    "ModelFleet",
    "ReportRule",
)

#: calls that a worker pool runs concurrently
POOL_CAPACITY = 4
#: one-way latency in seconds, within a data centre and between two
LOCAL_LATENCY = 0.0002
REMOTE_LATENCY = 0.001
#: seconds until a refused connection fails, and until an unanswered one times out
REFUSED_SECONDS = 0.002
UNANSWERED_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ReportRule:
    """Interval of a target's load reports and their age on arrival, in seconds."""

    interval: float
    lag: float


DELAYED_REPORTS = ReportRule(1.0, 0.25)
#: nearly continuous reports, as if every instance knew the load of all targets
IMMEDIATE_REPORTS = ReportRule(0.05, 0.0)


class ModelFleet:
    """All targets of a fleet, distributed over its data centres."""

    def __init__(self, fleet: Fleet, clock: EventClock, engine: EngineRule) -> None:
        self.clock = clock
        self.data_centres = fleet.data_centres
        self.models: dict[str, TargetModel] = {}
        for service in fleet.services:
            for index in range(service.replicas):
                centre = fleet.data_centres[index % len(fleet.data_centres)]
                name = f"{service.name}-{index}"
                target = Target(name, service.name, centre, f"127.0.0.1:{index + 1}")
                self.models[name] = self._create(service.kind, target, engine)

    def list_instances(self) -> Listing:
        """Return the targets as the platform would list them."""
        rows = [
            Instance(
                instance_id=model.target.target_id,
                kind=InstanceKind.TARGET,
                data_centre=model.target.data_centre,
                address=model.target.address,
                service=model.target.service,
            )
            for model in self.models.values()
        ]
        return Listing(1, tuple(rows))

    def send(
        self,
        data_centre: str,
        target_id: str,
        call: ModelCall,
        on_failure: Callable[[bool], None],
    ) -> None:
        """Send a call to a target.

        :param on_failure: called if the call is not accepted, with ``True`` if
            the target certainly did not run it.
        """
        model = self.models[target_id]
        local = model.target.data_centre == data_centre
        self.clock.call_later(
            LOCAL_LATENCY if local else REMOTE_LATENCY,
            lambda: self._arrive(model, call, on_failure),
        )

    def _arrive(
        self, model: TargetModel, call: ModelCall, on_failure: Callable[[bool], None]
    ) -> None:
        if call.ended:
            return
        if model.dead:
            self.clock.call_later(REFUSED_SECONDS, lambda: on_failure(True))
        elif model.silent:
            self.clock.call_later(UNANSWERED_SECONDS, lambda: on_failure(False))
        elif not model.submit(call):
            on_failure(True)

    def _create(
        self, kind: StageKind, target: Target, engine: EngineRule
    ) -> TargetModel:
        if kind is StageKind.GENERATE:
            return EngineModel(target, self.clock, engine)
        return PoolModel(target, self.clock, POOL_CAPACITY)


class ModelDirectory(TargetDirectory):
    """The real target registry, fed with delayed load reports."""

    def __init__(
        self,
        instance_id: str,
        fleet: ModelFleet,
        random_source: random.Random,
        reports: ReportRule,
    ) -> None:
        self._clock = fleet.clock
        self._reports = reports
        self._registry = TargetRegistry(
            instance_id=instance_id, rules=TargetRegistryRules()
        )
        self._registry.apply_listing(fleet.list_instances())
        for model in fleet.models.values():
            delay = random_source.random() * reports.interval
            self._clock.call_later(delay, lambda m=model: self._poll_report(m))

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        return self._registry.list_candidates(self._clock.now(), service)

    def accepts(self, target_id: str) -> bool:
        return self._registry.accepts(target_id)

    def mark_leaving(self, target_id: str) -> None:
        self._registry.mark_leaving((target_id,))

    def record_call(self, target_id: str, *, answered: bool) -> None:
        if answered:
            self._registry.record_success(target_id)
        else:
            self._registry.record_failure(target_id)

    def _poll_report(self, model: TargetModel) -> None:
        target_id = model.target.target_id
        self._clock.call_later(self._reports.interval, lambda: self._poll_report(model))
        if not model.reachable:
            self._registry.record_failure(target_id)
            return
        report = model.report()
        self._clock.call_later(
            self._reports.lag, lambda: self._registry.apply_report(target_id, report)
        )
