"""Bundles of pieces that the stages of a request send to makers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from greengagelatch.relay.engine_costs import TOKENS_PER_REMOTE_BYTE
from greengagelatch.relay.pieces import Bundle
from greengagelatch.relay.placement_plan import (
    EngineOutlook,
    PlacementPlan,
    plan_placement,
)
from greengagelatch.relay.regions import is_allowed
from greengagelatch.relay.stage_plan import TargetDeadlines

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.placement_plan import StagePlacement
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
        self._placement: PlacementPlan | None = None

    @property
    def placement(self) -> PlacementPlan:
        """The plan for the data centres, made before the first bundle."""
        if self._placement is None:
            self._placement = self._plan_placement()
        return self._placement

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
        placement = self._find_place(work, held)
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
            data_centre=placement.data_centre,
            moved_bytes=placement.moved_bytes,
            begun=bool(work.after),
            digest=self._exchange.digest,
            data_centres=self._exchange.data_centres,
        )

    def _find_place(
        self, work: StageWork, held: Mapping[int, tuple[PieceResult, ...]]
    ) -> StagePlacement:
        """Return the data centre in which a stage is best executed."""
        sizes: dict[str, int] = {}
        for one in work.after:
            size = self._plan.stages[one].result_bytes
            for result in held[one]:
                sizes[result.data_centre] = sizes.get(result.data_centre, 0) + size
        is_final = work.number in self._plan.final
        placement = self.placement.place_stage(
            count=work.count,
            input_bytes=sizes,
            output_bytes=work.count * work.result_bytes if is_final else 0,
        )
        if placement.data_centre:
            return placement
        data_centres = self._exchange.data_centres
        local = self._data_centre
        if not is_allowed(local, data_centres):
            local = min(data_centres, default="")
        return replace(placement, data_centre=local)

    def _plan_placement(self) -> PlacementPlan:
        """Return the plan for the data centres of the stages and the engine.

        The engine is most likely the one to which the prompt's parts are assigned.
        """
        exchange = self._exchange
        prompt = exchange.request.prompt
        home = None
        if prompt is not None and self._plan.final:
            home = self._load_balancer.find_affinity_target(
                exchange.service, prompt, self._clock.now(), exchange.data_centres
            )
        if home is None:
            return PlacementPlan()
        outlook = EngineOutlook(
            data_centre=home.data_centre,
            shared_tokens=sum(part.tokens for part in prompt.shared_parts),
            tokens_per_byte=TOKENS_PER_REMOTE_BYTE,
        )
        works = [self._plan.stages[one] for one in self._plan.final]
        return plan_placement(
            outlook, sum(one.count * one.result_bytes for one in works)
        )

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
