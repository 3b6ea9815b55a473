"""Dependency graph of the stages that one request needs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .pieces import Piece

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping

    from .deployment import Deployment, Route, RouteStage
    from .queue_waits import QueueWait
    from .requests import OpaqueRequest

__all__ = ("ChainEstimate", "StagePlan", "StageWork", "TargetDeadlines")

#: share of a maker's result memory from which the results of a stage should not be made
#: before they are needed: results of 1.5 MB fill a seventh each, those of 8 kB hardly
#: any
LARGE_SHARE = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class StageWork:
    """One stage that a request needs; times in seconds."""

    number: int
    service: str
    count: int
    result_bytes: int
    #: stages of the request whose results it reads
    after: tuple[int, ...]
    #: expected duration of a call that no other request shares
    seconds: float
    #: share of one maker's result memory that its results occupy
    memory_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetDeadlines:
    """When a target has to start on a request; monotonic seconds."""

    #: latest start with which the answer meets its objective
    soft_deadline: float
    #: latest start with which the answer is complete before the caller's deadline
    hard_deadline: float


@dataclass(frozen=True, slots=True, order=True)
class ChainEstimate:
    """Estimates for a chain of dependent stages; times in seconds."""

    #: until the last stage ends, queued behind requests that can meet their objective
    urgent_end: float = 0.0
    #: spent in calls
    work: float = 0.0
    #: spent in queues, behind requests that can meet their objective and behind all
    urgent_wait: float = 0.0
    total_wait: float = 0.0


class StagePlan:
    """Stages of a route that one request needs, with their dependencies."""

    def __init__(
        self, request: OpaqueRequest, route: Route, deployment: Deployment
    ) -> None:
        self._request = request
        counts = dict(enumerate(request.piece_counts))
        numbers = [
            number for number in range(len(route.stages)) if counts.get(number, 0) > 0
        ]
        seconds = {
            number: _estimate(route.stages[number].service, counts[number], deployment)
            for number in numbers
        }
        self.stages: dict[int, StageWork] = {}
        for number in reversed(numbers):
            stage = route.stages[number]
            self.stages[number] = StageWork(
                number=number,
                service=stage.service,
                count=counts[number],
                result_bytes=stage.result_bytes,
                after=tuple(one for one in stage.after if one in seconds),
                seconds=seconds[number],
                memory_share=_find_room_share(stage, counts[number], deployment),
            )
        read = {one for work in self.stages.values() for one in work.after}
        #: stages whose results the target reads, in order
        self.final = tuple(sorted(set(self.stages) - read))

    def estimate(self, find_queue: Callable[[str], QueueWait]) -> ChainEstimate:
        """Return the estimate for the longest chain of stages.

        :param find_queue: returns the wait in the queue of a service
        """
        chains = [
            _add(
                self._estimate_stage(work, find_queue),
                self._estimate_rest(work, find_queue),
            )
            for work in self.stages.values()
            if not work.after
        ]
        return max(chains, default=ChainEstimate())

    def estimate_rest(
        self, work: StageWork, find_queue: Callable[[str], QueueWait]
    ) -> float:
        """Return the seconds from the end of a stage to the end of its dependents."""
        return self._estimate_rest(work, find_queue).urgent_end

    def _estimate_stage(
        self, work: StageWork, find_queue: Callable[[str], QueueWait]
    ) -> ChainEstimate:
        queue = find_queue(work.service)
        seconds = queue.estimate_stage(work.seconds)
        return ChainEstimate(queue.urgent + seconds, seconds, queue.urgent, queue.total)

    def _estimate_rest(
        self, work: StageWork, find_queue: Callable[[str], QueueWait]
    ) -> ChainEstimate:
        chains = [
            _add(
                self._estimate_stage(one, find_queue),
                self._estimate_rest(one, find_queue),
            )
            for one in self.stages.values()
            if work.number in one.after
        ]
        return max(chains, default=ChainEstimate())

    def list_components(self) -> list[tuple[int, ...]]:
        """Return the connected components of the dependency graph."""
        parts: list[set[int]] = []
        for number, work in self.stages.items():
            joined = {number, *work.after}
            apart = []
            for part in parts:
                if part & joined:
                    joined |= part
                    continue
                apart.append(part)
            parts = [*apart, joined]
        return [tuple(one for one in self.stages if one in part) for part in parts]

    def find_slack(
        self,
        work: StageWork,
        now: float,
        ends: Mapping[int, float],
        find_queue: Callable[[str], QueueWait],
        bounds: TargetDeadlines,
        made: Container[int] = (),
    ) -> float:
        """Return the seconds for which a stage can wait without delay to the request.

        The target starts once all final stages have ended. Results of a short chain
        occupy memory of their makers until the longest chain ends; without slack, large
        results held a third of all memory for a second while other requests waited for
        it. If the target will start too late for the objective anyway, the longest
        chain may queue for seconds behind requests that can meet theirs, and the short
        chains are started after it.

        :param ends: expected end times of stages that have started
        :param find_queue: returns the wait in the queue of a service
        :param made: stages that have ended
        """
        if work.after or work.number not in self.final:
            return 0.0
        if work.memory_share < LARGE_SHARE:
            return 0.0
        others = [
            self._estimate_end(one, now, ends, find_queue)
            for one in self.final
            if one != work.number and one not in made
        ]
        if not others:
            return 0.0
        own = now + self._estimate_stage(work, find_queue).urgent_end
        if max(own, *others) > bounds.soft_deadline:
            return bounds.hard_deadline - own
        return max(others) - own

    def _estimate_end(
        self,
        number: int,
        now: float,
        ends: Mapping[int, float],
        find_queue: Callable[[str], QueueWait],
    ) -> float:
        if number in ends:
            return max(now, ends[number])
        work = self.stages[number]
        begin = now
        for one in work.after:
            begin = max(begin, self._estimate_end(one, now, ends, find_queue))
        return begin + self._estimate_stage(work, find_queue).urgent_end

    def create_pieces(
        self, work: StageWork, handles: Mapping[int, tuple[str, ...]]
    ) -> tuple[Piece, ...]:
        """Return the pieces of a stage.

        :param handles: handles of the results made so far, by stage
        """
        inputs = tuple(handle for one in work.after for handle in handles[one])
        return tuple(
            Piece(
                request_id=self._request.request_id,
                stage=work.number,
                segment=segment,
                key="" if work.after else self._request.piece_key,
                inputs=inputs,
            )
            for segment in range(work.count)
        )


def _estimate(service: str, count: int, deployment: Deployment) -> float:
    found = deployment.services.get(service)
    if found is None or found.maker is None:
        return 0.0
    return found.maker.estimate_seconds(min(count, found.maker.batch))


def _find_room_share(stage: RouteStage, count: int, deployment: Deployment) -> float:
    found = deployment.services.get(stage.service)
    if found is None or found.maker is None or found.maker.result_memory_bytes <= 0:
        return 0.0
    return count * stage.result_bytes / found.maker.result_memory_bytes


def _add(first: ChainEstimate, second: ChainEstimate) -> ChainEstimate:
    return ChainEstimate(
        first.urgent_end + second.urgent_end,
        first.work + second.work,
        first.urgent_wait + second.urgent_wait,
        first.total_wait + second.total_wait,
    )
