"""The stage work of one request, in the order in which it can be done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .pieces import Piece

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping

    from .deployment import Deployment, Route, RouteStage
    from .requests import OpaqueRequest

__all__ = ("StagePlan", "StageWork", "TargetBounds")

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
    #: expected time from its start to its end
    seconds: float
    #: the same for all that follows it before the target runs the request
    rest: float
    #: share of one maker's room that its results fill
    room_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetBounds:
    """When a target has to begin with a request; monotonic seconds."""

    #: up to which the answer can meet its objective
    aim: float
    #: after which the answer can't be whole in time
    latest: float


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
        self.works: dict[int, StageWork] = {}
        for number in reversed(numbers):
            stage = route.stages[number]
            self.works[number] = StageWork(
                number=number,
                service=stage.service,
                count=counts[number],
                result_bytes=stage.result_bytes,
                after=tuple(one for one in stage.after if one in seconds),
                seconds=seconds[number],
                rest=_find_rest(number, route, seconds),
                room_share=_find_room_share(stage, counts[number], deployment),
            )
        read = {one for work in self.works.values() for one in work.after}
        #: stages whose results the target itself reads, in order
        self.final = tuple(sorted(set(self.works) - read))

    @property
    def seconds(self) -> float:
        """Expected time of the longest chain of stages."""
        return max(
            (work.seconds + work.rest for work in self.works.values()), default=0
        )

    def list_parts(self) -> list[tuple[int, ...]]:
        """Return the stages in groups of which none reads another one's results."""
        parts: list[set[int]] = []
        for number, work in self.works.items():
            joined = {number, *work.after}
            apart = []
            for part in parts:
                if part & joined:
                    joined |= part
                    continue
                apart.append(part)
            parts = [*apart, joined]
        return [tuple(one for one in self.works if one in part) for part in parts]

    def find_slack(
        self,
        work: StageWork,
        now: float,
        ends: Mapping[int, float],
        find_wait: Callable[[str], float],
        bounds: TargetBounds,
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
        :param find_wait: returns the seconds that a service's queue takes
        :param made: stages whose results are there
        """
        if work.after or work.number not in self.final:
            return 0.0
        if work.room_share < LARGE_SHARE:
            return 0.0
        others = [
            self._estimate_end(one, now, ends, find_wait)
            for one in self.final
            if one != work.number and one not in made
        ]
        if not others:
            return 0.0
        own = now + find_wait(work.service) + work.seconds
        if max(own, *others) > bounds.aim:
            return bounds.latest - own
        return max(others) - own

    def _estimate_end(
        self,
        number: int,
        now: float,
        ends: Mapping[int, float],
        find_wait: Callable[[str], float],
    ) -> float:
        if number in ends:
            return max(now, ends[number])
        work = self.works[number]
        begin = now
        for one in work.after:
            begin = max(begin, self._estimate_end(one, now, ends, find_wait))
        return begin + find_wait(work.service) + work.seconds

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
    if found is None or found.maker is None or found.maker.room_bytes <= 0:
        return 0.0
    return count * stage.result_bytes / found.maker.room_bytes


def _find_rest(number: int, route: Route, seconds: Mapping[int, float]) -> float:
    """Return the seconds of the longest chain that follows a stage."""
    rest = 0.0
    for other in seconds:
        if number in route.stages[other].after:
            rest = max(rest, seconds[other] + _find_rest(other, route, seconds))
    return rest
