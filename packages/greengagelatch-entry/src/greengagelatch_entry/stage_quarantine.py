"""Quarantine of requests whose stages crash targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from result import Ok, Result

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import SUSPECT_CRASHES
from greengagelatch.relay.targets import ListedTarget
from greengagelatch.targets import FailureKind

from .request_digests import compute_digest

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.targets import CallFailure, StageAnswer, Target
    from greengagelatch.targets.directory import TargetDirectory

    from .attempt_sender import StageExecution
    from .relay.crash_detector import CrashDetector

__all__ = (
    "DirectoryAvailability",
    "DisabledStageQuarantine",
    "SharedStageQuarantine",
    "StageQuarantine",
)


class StageQuarantine(ABC):
    """Decides whether a stage may be called, and learns from its attempts."""

    @abstractmethod
    async def check(self, execution: StageExecution) -> Refusal | None:
        """Return the refusal of a request that must not be sent now."""

    @abstractmethod
    def is_suspect(self, execution: StageExecution) -> bool:
        """Return whether a stage must not be called twice at a time."""

    @abstractmethod
    def record_result(
        self,
        execution: StageExecution,
        target: Target,
        result: Result[StageAnswer, CallFailure],
    ) -> None:
        """Record the result of an attempt."""


class DisabledStageQuarantine(StageQuarantine):
    """Suspects no request."""

    async def check(self, execution: StageExecution) -> Refusal | None:
        return None

    def is_suspect(self, execution: StageExecution) -> bool:
        return False

    def record_result(
        self,
        execution: StageExecution,
        target: Target,
        result: Result[StageAnswer, CallFailure],
    ) -> None:
        pass


class SharedStageQuarantine(StageQuarantine):
    """Counts the targets that a stage of a request crashed, over all instances.

    A request that comes again is recognised by its workspace, pipeline and input.
    """

    def __init__(
        self, *, quarantine: Quarantine, crash_detector: CrashDetector, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._clock = clock

    async def check(self, execution: StageExecution) -> Refusal | None:
        if not self._quarantine.has_crashes():
            return None
        key = _build_key(execution)
        await self._crash_detector.wait_settled(key)
        now = self._clock.now()
        seconds = self._quarantine.find_quarantine_seconds(key, now)
        return None if seconds is None else _refuse(execution, seconds)

    def is_suspect(self, execution: StageExecution) -> bool:
        if not self._quarantine.has_crashes():
            return False
        return self._quarantine.count_crashed(_build_key(execution)) >= SUSPECT_CRASHES

    def record_result(
        self,
        execution: StageExecution,
        target: Target,
        result: Result[StageAnswer, CallFailure],
    ) -> None:
        listed = _to_listed(target)
        if isinstance(result, Ok):
            if self._quarantine.has_crashes():
                self._crash_detector.record_answer(listed, _build_key(execution))
            return
        if result.err_value.kind is FailureKind.DISCONNECTED:
            self._crash_detector.record_disconnect(listed, _build_key(execution))
        elif self._quarantine.has_crashes():
            self._quarantine.end_trial(_build_key(execution))


class DirectoryAvailability:
    """What the detection of crashes needs to know of the targets."""

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory

    def is_available(self, incarnation: Incarnation) -> bool:
        """Return whether a target is not leaving, so that its end is not planned."""
        return self._directory.accepts(incarnation.target_id)

    def list_service(self, service: str) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that accept new work."""
        candidates = self._directory.candidates(service)
        return tuple(_to_listed(candidate.target) for candidate in candidates)


def _build_key(execution: StageExecution) -> str:
    request = execution.request
    digest = compute_digest(request.workspace, request.pipeline, request.input)
    return f"{digest}/{execution.stage.name}"


def _to_listed(target: Target) -> ListedTarget:
    # a target that is replaced has a new id
    return ListedTarget(
        incarnation=Incarnation(target.target_id),
        service=target.service,
        address=target.address,
        data_centre=target.data_centre,
    )


def _refuse(execution: StageExecution, seconds: float) -> Refusal:
    return Refusal(
        code=RefusalCode.QUARANTINED,
        message=f"stage {execution.stage.name}: targets have crashed on this request",
        verdict=execution.ledger.verdict,
        field="stage",
        value=execution.stage.name,
        retry_after_ms=round(seconds * 1000),
    )
