"""Single calls to engines: readings, and orders guarded by their group's lease."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Ok

from greengagelatch.leases.instants import read_instant
from greengagelatch.membership.backoff import compute_backoff
from greengagelatch.orders import OrderOutcome
from greengagelatch.orders.permission import may_send

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.orders import OrderClient
    from greengagelatch.orders.group import EngineCall, EngineGroup
    from greengagelatch.orders.rules import Fencing, OrderRules
    from greengagelatch.targets import Target
    from greengagelatch.targets.directory import TargetDirectory

    from .controllers.leases import LeasesController
    from .metrics import Metrics

__all__ = ("EngineCaller",)

logger = logging.getLogger(__name__)

#: seconds after the first call in a row that an engine did not take
RETRY_BASE = 1.0


class EngineCaller:
    """Makes the calls that an :class:`EngineGroup` plans and takes in their ends.

    :param open: whether orders may be given at all; no longer once a stop has begun
    """

    def __init__(
        self,
        *,
        client: OrderClient,
        leases: LeasesController,
        directory: TargetDirectory,
        rules: OrderRules,
        open: Callable[[], bool],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._leases = leases
        self._directory = directory
        self._rules = rules
        self._open = open
        self._clock = clock
        self._random = random_source
        self._metrics = metrics

    async def read(self, engines: EngineGroup, step: EngineCall, target: Target) -> str:
        """Read an engine's state; return what went wrong, or an empty text."""
        answer = await self._client.read(target)
        now = self._clock.now()
        match answer:
            case Ok(report):
                engines.handle_read(now, step, report, 0.0)
                return ""
        self._metrics.count("orders.read_failures")
        engines.handle_read(now, step, None, self._choose_delay(engines, step))
        return f"{step.target_id} can't be read: {answer.err_value}"

    async def order(
        self,
        group: str,
        fencing: Fencing,
        engines: EngineGroup,
        step: EngineCall,
        target: Target,
    ) -> str:
        """Give an order; return what went wrong, or an empty text."""
        assert step.order is not None

        def guard() -> bool:
            now = read_instant(self._clock)
            # a lease may have lapsed and a target begun to leave while the
            # connection was made; either would be an order that must not be given
            allowed = (
                self._open()
                and self._directory.accepts(target.target_id)
                and may_send(
                    self._leases.find(group),
                    step.order,
                    now,
                    rules=self._rules,
                    fencing=fencing,
                )
            )
            if not allowed:
                self._metrics.count("orders.withheld")
                return False
            engines.record_sending(now.monotonic, step)
            self._metrics.count("orders.sent")
            return True

        answer = await self._client.send(target, step.order, guard)
        now = self._clock.now()
        self._metrics.count(f"orders.outcome.{answer.outcome.value}")
        match answer.outcome:
            case OrderOutcome.DONE:
                engines.handle_order_end(now, step, settled=True)
                return ""
            case OrderOutcome.UNKNOWN:
                engines.handle_order_end(now, step, settled=False)
            case OrderOutcome.OLD_FENCE:
                # there is a newer holder, whatever this instance's clocks say
                engines.handle_order_end(now, step, settled=True)
                self._leases.abandon(group)
            case _:
                delay = self._choose_delay(engines, step)
                engines.handle_failure(now, step, delay)
        logger.info(
            "order to %s: %s %s", step.target_id, answer.outcome.value, answer.message
        )
        return f"{step.target_id}: {answer.outcome.value} {answer.message}"

    def _choose_delay(self, engines: EngineGroup, step: EngineCall) -> float:
        return compute_backoff(
            engines.count_failures(step.target_id) + 1,
            base=RETRY_BASE,
            longest=max(RETRY_BASE, self._rules.interval),
            random_source=self._random,
        )
