"""Bundles of pieces that the stages of a request send to makers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.pieces import Bundle
from greengagelatch.relay.regions import is_allowed
from greengagelatch.relay.stage_plan import TargetDeadlines

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.queue_waits import QueueWait
    from greengagelatch.relay.stage_plan import StagePlan, StageWork

    from .exchange import RelayExchange
    from .stage_executor import StageExecutor

__all__ = ("BundleFactory", "list_makers")


def list_makers(
    held: Mapping[int, tuple[PieceResult, ...]], numbers: Collection[int]
) -> tuple[Incarnation, ...]:
    """Return the distinct makers of the results of some stages."""
    makers = (result.maker for one in numbers for result in held[one])
    return tuple(dict.fromkeys(makers))


class BundleFactory:
    """Creates the bundles of one request, with the deadline of each.

    :param first_seconds: expected seconds until the target starts to answer
    :param whole_seconds: expected seconds until the target's answer is complete
    """

    def __init__(
        self,
        *,
        exchange: RelayExchange,
        plan: StagePlan,
        executor: StageExecutor,
        load_balancer: LoadBalancer,
        clock: Clock,
        data_centre: str,
        first_seconds: float,
        whole_seconds: float,
    ) -> None:
        self._exchange = exchange
        self._plan = plan
        self._executor = executor
        self._load_balancer = load_balancer
        self._clock = clock
        self._data_centre = data_centre
        self._first_seconds = first_seconds
        self._whole_seconds = whole_seconds

    def find_bounds(self) -> TargetDeadlines:
        """Return the times by which the target has to start on the request."""
        exchange = self._exchange
        objective = exchange.request.received + exchange.route.objective
        return TargetDeadlines(
            soft_deadline=objective - exchange.prior_wait - self._first_seconds,
            hard_deadline=min(
                exchange.event_deadline - self._first_seconds,
                exchange.deadline - self._whole_seconds,
            ),
        )

    def estimate_wait(self, service: str) -> QueueWait:
        """Return the wait of a bundle of this request in the queue of a service."""
        wait = self._executor.estimate_wait(service)
        return wait.find_at_rank(self._exchange.rank)

    def create(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> Bundle:
        """Return the bundle of a stage.

        :param held: results of the stages made so far, by stage
        """
        bounds = self.find_bounds()
        remaining_seconds = self._plan.estimate_rest(work, self.estimate_wait)
        handles = {
            one: tuple(result.handle for result in held[one]) for one in work.after
        }
        return Bundle(
            bundle_id=f"{self._exchange.request.request_id}/{work.number}",
            service=work.service,
            pieces=self._plan.create_pieces(work, handles),
            result_bytes=work.result_bytes,
            soft_deadline=bounds.soft_deadline - remaining_seconds,
            hard_deadline=bounds.hard_deadline - remaining_seconds,
            inputs_expire_at=self._find_input_expiry(work),
            input_makers=list_makers(held, work.after),
            rank=self._exchange.rank,
            data_centre=self._find_data_centre(work, held),
            moved_bytes=self._count_moved_bytes(work, held),
            begun=bool(work.after),
            digest=self._exchange.digest,
            data_centres=self._exchange.data_centres,
        )

    def _find_data_centre(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> str:
        """Return the data centre in which a stage is best executed.

        Each piece reads all results of the stages before it. Results of a first stage
        go to the engine, most likely the one that has the prompt's prefix cached.
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
            home = self._load_balancer.find_affinity_target(
                exchange.service,
                exchange.request.prompt,
                self._clock.now(),
                exchange.data_centres,
            )
            if home is not None:
                return home.data_centre
        if is_allowed(self._data_centre, exchange.data_centres):
            return self._data_centre
        return min(exchange.data_centres, default="")

    def _find_input_expiry(self, work: StageWork) -> float:
        """Return when the first input of a stage expires at its maker."""
        now = self._clock.now()
        services = self._exchange.deployment.services
        expiries = [float("inf")]
        for one in work.after:
            found = services.get(self._plan.stages[one].service)
            if found is not None and found.maker is not None:
                expiries.append(now + found.maker.retention_seconds)
        return min(expiries)

    def _count_moved_bytes(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> int:
        """Return the bytes that cross data centres if a remote maker is chosen.

        First stages count as none: they have the most waiting ahead of them, and
        waiting for a maker near the engine costs more time than it saves.
        """
        return work.count * sum(
            len(held[one]) * self._plan.stages[one].result_bytes for one in work.after
        )
