"""What one stage of a request asks of the makers of its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.pieces import Bundle
from greengagelatch.relay.stage_plan import TargetDeadlines

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.stage_plan import StagePlan, StageWork

    from .exchange import RelayExchange
    from .stage_desk import StageDesk

__all__ = ("BundleFactory", "list_makers")


def list_makers(
    held: Mapping[int, tuple[PieceResult, ...]], numbers: Collection[int]
) -> tuple[Incarnation, ...]:
    """Return the makers of what some stages have made, each once."""
    makers = (result.maker for one in numbers for result in held[one])
    return tuple(dict.fromkeys(makers))


class BundleFactory:
    """Creates the bundles of one request, with the times by which each is wanted.

    :param first_seconds: expected time of the target until its answer begins
    :param whole_seconds: the same until its answer ends
    """

    def __init__(
        self,
        *,
        exchange: RelayExchange,
        plan: StagePlan,
        desk: StageDesk,
        fleet: LoadBalancer,
        clock: Clock,
        data_centre: str,
        first_seconds: float,
        whole_seconds: float,
    ) -> None:
        self._exchange = exchange
        self._plan = plan
        self._desk = desk
        self._fleet = fleet
        self._clock = clock
        self._data_centre = data_centre
        self._first_seconds = first_seconds
        self._whole_seconds = whole_seconds

    def find_bounds(self) -> TargetDeadlines:
        """Return when the target has to begin with the request."""
        exchange = self._exchange
        objective = exchange.request.received + exchange.route.objective
        return TargetDeadlines(
            soft_deadline=objective - exchange.waited - self._first_seconds,
            hard_deadline=min(
                exchange.first_deadline - self._first_seconds,
                exchange.deadline - self._whole_seconds,
            ),
        )

    def create(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> Bundle:
        """Return the bundle of a stage.

        :param held: results of the stages made so far, by stage
        """
        bounds = self.find_bounds()
        rest = self._plan.estimate_rest(work, self._desk.estimate_wait)
        handles = {
            one: tuple(result.handle for result in held[one]) for one in work.after
        }
        return Bundle(
            bundle_id=f"{self._exchange.request.request_id}/{work.number}",
            service=work.service,
            pieces=self._plan.create_pieces(work, handles),
            result_bytes=work.result_bytes,
            soft_deadline=bounds.soft_deadline - rest,
            hard_deadline=bounds.hard_deadline - rest,
            inputs_expire_at=self._find_lapse(work),
            input_makers=list_makers(held, work.after),
            rank=self._exchange.rank,
            data_centre=self._find_data_centre(work, held),
            moved_bytes=self._count_moved_bytes(work, held),
            begun=bool(work.after),
            digest=self._exchange.digest,
        )

    def _find_data_centre(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> str:
        """Return where a stage's results are best made.

        Each piece reads all results of the stages before; those of a first stage go
        to the engine, most likely the one that keeps the prompt's parts.
        """
        sizes: dict[str, int] = {}
        for one in work.after:
            size = self._plan.stages[one].result_bytes
            for result in held[one]:
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        if sizes:
            return max(sizes, key=sizes.get)
        exchange = self._exchange
        if work.number in self._plan.final and exchange.request.prompt is not None:
            home = self._fleet.find_affinity_target(
                exchange.service, exchange.request.prompt, self._clock.now()
            )
            if home is not None:
                return home.data_centre
        return self._data_centre

    def _find_lapse(self, work: StageWork) -> float:
        """Return when the first of the results that a stage reads lapses."""
        now = self._clock.now()
        services = self._exchange.deployment.services
        lapses = [float("inf")]
        for one in work.after:
            found = services.get(self._plan.stages[one].service)
            if found is not None and found.maker is not None:
                lapses.append(now + found.maker.retention_seconds)
        return min(lapses)

    def _count_moved_bytes(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> int:
        """Return the bytes that cross data centres if a far maker is chosen.

        Of first stages it is none: they have the most to wait for, and waiting for a
        maker near the engine cost more than it saved.
        """
        return work.count * sum(
            len(held[one]) * self._plan.stages[one].result_bytes for one in work.after
        )
