"""Calls to engines: reading state, and orders fenced by their group's lease."""

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

#: base of the exponential backoff after failed calls to an engine, in seconds
RETRY_BASE_SECONDS = 1.0


class EngineCaller:
    """Makes the calls that an :class:`EngineGroup` plans and reports their results.

    :param may_order: whether orders may be sent; false once a stop has begun
    """

    def __init__(
        self,
        *,
        client: OrderClient,
        leases: LeasesController,
        directory: TargetDirectory,
        rules: OrderRules,
        may_order: Callable[[], bool],
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._leases = leases
        self._directory = directory
        self._rules = rules
        self._may_order = may_order
        self._clock = clock
        self._random = random_source
        self._metrics = metrics

    async def read_state(
        self, engines: EngineGroup, step: EngineCall, target: Target
    ) -> str:
        """Read an engine's state; return an error message, or an empty string."""
        answer = await self._client.read(target)
        now = self._clock.now()
        match answer:
            case Ok(report):
                engines.handle_read(now, step, report, 0.0)
                return ""
        self._metrics.count("orders.read_failures")
        engines.handle_read(now, step, None, self._choose_delay(engines, step))
        return f"reading the state of {step.target_id} failed: {answer.err_value}"

    async def send_order(
        self,
        group: str,
        fencing: Fencing,
        engines: EngineGroup,
        step: EngineCall,
        target: Target,
    ) -> str:
        """Send an order; return an error message, or an empty string."""
        assert step.order is not None

        def check_permission() -> bool:
            now = read_instant(self._clock)
            # checked once connected: meanwhile the lease may have expired or the
            # target begun to leave, and then the order must not be sent
            allowed = (
                self._may_order()
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

        answer = await self._client.send(target, step.order, check_permission)
        now = self._clock.now()
        self._metrics.count(f"orders.outcome.{answer.outcome.value}")
        match answer.outcome:
            case OrderOutcome.DONE:
                engines.handle_order_end(now, step, settled=True)
                return ""
            case OrderOutcome.UNKNOWN:
                engines.handle_order_end(now, step, settled=False)
            case OrderOutcome.OLD_FENCE:
                # a newer holder has the lease, even if it has not expired by this clock
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
            base=RETRY_BASE_SECONDS,
            longest=max(RETRY_BASE_SECONDS, self._rules.interval),
            random_source=self._random,
        )
