"""The stage work of one request, in the order in which it can be done."""

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

#: share of a maker's room from which a stage's results should not wait for others:
#: those of 1.5 MB fill a seventh each, those of 8 kB hardly any
LARGE_SHARE = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class StageWork:
    """One stage that a request needs; times in seconds."""

    number: int
    service: str
    count: int
    result_bytes: int
    #: stages that it reads and that the request has
    after: tuple[int, ...]
    #: expected time from its start to its end, where no other request shares its call
    seconds: float
    #: share of one maker's room that its results fill
    memory_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetDeadlines:
    """When a target has to begin with a request; monotonic seconds."""

    #: up to which the answer can meet its objective
    soft_deadline: float
    #: after which the answer can't be whole in time
    hard_deadline: float


@dataclass(frozen=True, slots=True, order=True)
class ChainEstimate:
    """What is expected of stages that follow each other; times in seconds."""

    #: until the last one is made, behind those that can still be on time
    urgent_end: float = 0.0
    #: in calls
    work: float = 0.0
    #: in queues, behind those that can still be on time, and behind all
    urgent_wait: float = 0.0
    total_wait: float = 0.0


class StagePlan:
    """Stages of a route that one request needs, and what depends on what."""

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
        #: stages whose results the target itself reads, in order
        self.final = tuple(sorted(set(self.stages) - read))

    def estimate(self, find_queue: Callable[[str], QueueWait]) -> ChainEstimate:
        """Return what is expected of the longest chain of stages.

        :param find_queue: returns what a piece has before it at a service
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
        """Return the seconds from a stage's end until those that read it are made."""
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
        """Return the stages in groups of which none reads another one's results."""
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
        """Return the seconds for which a stage can wait without harm to the request.

        The target begins once all final stages are made. Results of a short chain
        fill their makers' room until the longest one ends: those that are large
        held a third of all room for a second, while other requests waited for it.
        Once the target begins too late for the objective anyway, the longest chain
        may wait for seconds behind requests that can be on time; the short ones are
        then begun after it.

        :param ends: expected moments of the ends of stages that have begun
        :param find_queue: returns what a piece has before it at a service
        :param made: stages whose results are there
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

        :param handles: results of the stages made so far, by stage
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
