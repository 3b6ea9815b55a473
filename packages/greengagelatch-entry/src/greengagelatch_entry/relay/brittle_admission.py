"""Requests that wait until targets have room for them within their limits."""

from __future__ import annotations

import asyncio
from bisect import insort
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode

from .refusals import create_error

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.requests import RefusedError

    from ..metrics import Metrics
    from .exchange import RelayExchange
    from .permit_exchange import PermitExchange

    _Queue = tuple[str, frozenset[str] | None]

__all__ = ("BrittleAdmission",)

#: share of the time left, and most seconds, for which a request waits for room
WAIT_SHARE = 0.3
MAX_WAIT_SECONDS = 1.0
#: seconds between two checks of the requests that wait
CHECK_SECONDS = 0.02
#: most requests of one service that wait
MAX_WAITING = 64
#: bounds of the seconds after which callers of refused requests may retry, drawn at
#: random so that they don't return at once
RETRY_AFTER_SECONDS = (0.3, 1.2)


@dataclass(frozen=True, slots=True, order=True)
class _Waiter:
    """A request that waits, in the order in which requests go on."""

    rank: float
    number: int
    #: targets that have rejected it
    excluded: frozenset[Incarnation] = field(compare=False)


class BrittleAdmission:
    """Holds requests that no target may be sent within its limits, most urgent first.

    Requests of services whose targets have named no limit pass at once.

    :param permits: asked for permits for targets that have named a rate
    """

    def __init__(
        self,
        *,
        load_balancer: LoadBalancer,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        permits: PermitExchange,
    ) -> None:
        self._permits = permits
        self._load_balancer = load_balancer
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._numbers = 0
        #: requests that wait, by service and the data centres that they may be sent to
        self._waiting: defaultdict[_Queue, list[_Waiter]] = defaultdict(list)

    async def wait(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation]
    ) -> RefusedError | None:
        """Wait until a target may be sent the request.

        :param excluded: targets that have rejected it
        :return: the error that refuses it if there is no room in time
        """
        if not self.has_to_wait(exchange, excluded):
            return None
        rest = self.find_rest(exchange, excluded)
        if rest > self._find_patience(exchange):
            return self.create_rest_refusal(exchange, rest)
        queue = exchange.service, exchange.data_centres
        waiting = self._waiting[queue]
        if len(waiting) >= MAX_WAITING:
            return self._create_refusal(exchange)
        self._metrics.count("brittle_targets.held")
        self._numbers += 1
        waiter = _Waiter(exchange.rank, self._numbers, excluded)
        insort(waiting, waiter)
        try:
            return await self._wait_for_room(exchange, waiter, waiting)
        finally:
            waiting.remove(waiter)
            if not waiting:
                self._waiting.pop(queue, None)

    def has_to_wait(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation]
    ) -> bool:
        """Return whether there is no room for a request, or others wait for it."""
        queue = exchange.service, exchange.data_centres
        return queue in self._waiting or self._lacks_room(exchange, excluded)

    def find_rest(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation] = frozenset()
    ) -> float:
        """Return the seconds until the first target ends its rest; 0: one has none."""
        return self._load_balancer.find_rest(
            exchange.service, excluded, self._clock.now(), exchange.data_centres
        )

    def create_rest_refusal(
        self, exchange: RelayExchange, seconds: float
    ) -> RefusedError:
        """Return the error that refuses a request while all targets rest.

        :param seconds: time until the first of them ends its rest
        """
        self._metrics.count("target_rests.refused")
        message = f"all targets of {exchange.service} have asked for rest"
        return self._create_error(exchange, message, seconds)

    def check_start(
        self,
        exchange: RelayExchange,
        excluded: frozenset[Incarnation],
        stage_seconds: float,
    ) -> None:
        """Refuse a request that would find no target when its stages are made.

        :param excluded: targets that it is not sent to
        :param stage_seconds: time that its stages are expected to take
        :raises RefusedError: if all targets have refused a permit just now, or rest for
            longer
        """
        rest = self.find_rest(exchange, excluded)
        if rest > stage_seconds + self._find_patience(exchange):
            raise self.create_rest_refusal(exchange, rest)
        wanted = self._list_limited(exchange, excluded)
        if not wanted or not self._lacks_room(exchange, excluded):
            return
        wait = self._permits.find_wait(wanted, self._find_patience(exchange))
        if wait is not None:
            raise self._create_refusal(exchange, wait)

    async def _wait_for_room(
        self,
        exchange: RelayExchange,
        waiter: _Waiter,
        waiting: list[_Waiter],
    ) -> RefusedError | None:
        end = self._clock.now() + self._find_patience(exchange)
        permit = self._ask_for_permit(exchange, waiter, end)
        try:
            while (left := end - self._clock.now()) > 0:
                await asyncio.wait({permit}, timeout=CHECK_SECONDS)
                if self._is_next(exchange, waiter, waiting):
                    return None
                if not permit.done():
                    continue
                wait = permit.result()
                if wait is not None and wait > left:
                    return self._create_refusal(exchange, wait)
                await asyncio.sleep(CHECK_SECONDS)
                if self._list_limited(exchange, waiter.excluded):
                    permit = self._ask_for_permit(exchange, waiter, end)
        finally:
            permit.cancel()
        return self._create_refusal(exchange)

    def _ask_for_permit(
        self, exchange: RelayExchange, waiter: _Waiter, end: float
    ) -> asyncio.Task[float | None]:
        """Begin to ask for a permit; the task ends with the wait for one, if too long.

        :param end: monotonic time until which the request waits
        """
        return asyncio.create_task(
            self._permits.obtain(
                lambda: self._list_limited(exchange, waiter.excluded),
                exchange.rank,
                max(0.0, end - self._clock.now()),
            )
        )

    def _find_patience(self, exchange: RelayExchange) -> float:
        """Return the seconds for which a request waits for room."""
        left = (exchange.deadline - self._clock.now()) * WAIT_SHARE
        return min(left, MAX_WAIT_SECONDS)

    def _list_limited(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation]
    ) -> list[Incarnation]:
        return self._load_balancer.list_limited(
            exchange.service, excluded, self._clock.now(), exchange.data_centres
        )

    def _is_next(
        self, exchange: RelayExchange, waiter: _Waiter, waiting: list[_Waiter]
    ) -> bool:
        """Return whether there is room for a request, and for no more urgent one."""
        for other in waiting:
            if other is waiter:
                return not self._lacks_room(exchange, waiter.excluded)
            if other.excluded == waiter.excluded:
                return False
            if not self._lacks_room(exchange, other.excluded):
                return False
        return False

    def _lacks_room(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation]
    ) -> bool:
        return self._load_balancer.lacks_room(
            exchange.service, excluded, self._clock.now(), exchange.data_centres
        )

    def _create_refusal(
        self, exchange: RelayExchange, wait: float = 0.0
    ) -> RefusedError:
        """Return the error that refuses a request.

        :param wait: seconds until there is room, as far as known
        """
        self._metrics.count("brittle_targets.refused")
        message = f"no target of {exchange.service} has room within its limits"
        return self._create_error(exchange, message, wait)

    def _create_error(
        self, exchange: RelayExchange, message: str, wait: float
    ) -> RefusedError:
        return create_error(
            exchange,
            RefusalCode.OVERLOADED,
            message,
            retry_after=wait + self._random.uniform(*RETRY_AFTER_SECONDS),
            field="service",
            value=exchange.service,
        )
