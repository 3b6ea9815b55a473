"""The steps that every opaque request passes, in order."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.digests import compute_digest
from greengagelatch.relay.requests import RefusedError
from greengagelatch.relay.urgency import compute_rank

from ..filters.stop import STOPPING_RETRY_MS
from ..inflight import BrokenOffError
from .exchange import CallerGoneError, RelayExchange
from .refusals import create_error, create_hold_error, find_refusal_status

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.relay.deployment import RoutedWorkspace
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.routes import RouteTable

    from ..inflight import InFlight
    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .runners import Runner

__all__ = (
    "ObserveFilter",
    "QuarantineFilter",
    "RelayFilter",
    "RelayHandler",
    "RouteFilter",
    "RunHandler",
    "SplitFilter",
    "StopFilter",
)

RelayHandler = Callable[[RelayExchange], Awaitable[None]]

#: seconds after which an instance that has just started should know a configuration
NOT_READY_RETRY = 0.5


class RelayFilter(ABC):
    """One step of the chain."""

    @abstractmethod
    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        """Answer the exchange, usually by ``proceed``."""


class ObserveFilter(RelayFilter):
    """Logs and counts each request once it is settled.

    :param find_stop: returns the moment at which this instance was told to stop
    """

    def __init__(
        self,
        *,
        find_stop: Callable[[], float | None],
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._find_stop = find_stop
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        reason = ""
        try:
            await proceed(exchange)
        except RefusedError as error:
            exchange.outcome = error.refusal.code.value
            if not exchange.writer.started:
                exchange.status = error.status or find_refusal_status(error.refusal)
            reason = error.refusal.message
            raise
        except CallerGoneError:
            exchange.outcome = "caller-gone"
            raise
        except BaseException:
            exchange.outcome = "cancelled"
            raise
        finally:
            self._note(exchange, reason)

    def _note(self, exchange: RelayExchange, reason: str) -> None:
        now = self._clock.now()
        seconds = now - exchange.request.received
        self._metrics.count(f"requests.{exchange.outcome}")
        self._metrics.timing("requests", seconds)
        route, deployment = exchange.route, exchange.deployment
        stop = self._find_stop()
        received = exchange.request.received
        # below 0: it came before the stop
        since_stop = {} if stop is None else {"since_stop_ms": _to_ms(received - stop)}
        self._decisions.note(
            "request",
            request=exchange.request.request_id,
            digest=exchange.digest,
            outcome=exchange.outcome,
            status=exchange.status,
            reason=reason,
            verdict=exchange.verdict.name,
            route=route.name if route else "",
            service=exchange.service,
            workspace=exchange.workspace,
            version=deployment.version if deployment else 0,
            targets=[str(one) for one in exchange.targets[-4:]],
            stages_ms=_to_ms(exchange.stage_seconds),
            ms=_to_ms(seconds),
            left_ms=_to_ms(exchange.deadline - now) if exchange.deadline else None,
            connection=exchange.use.connection,
            connection_request=exchange.use.request,
            **since_stop,
        )


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


class StopFilter(RelayFilter):
    """Answers for this instance where a planned stop leaves no time for a request.

    :param find_end: returns when a stop breaks requests off
    """

    def __init__(self, *, in_flight: InFlight, find_end: Callable[[], float]) -> None:
        self._in_flight = in_flight
        self._find_end = find_end

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        if exchange.use.late:
            # what is begun so late may not be finished before the process is killed
            raise self._refuse(exchange, "this instance is stopping")
        try:
            await self._in_flight.run(proceed(exchange))
        except BrokenOffError:
            raise self._refuse(exchange, "broken off by a stop") from None
        except RefusedError as error:
            # what is held here is held by all instances
            held = error.refusal.code is RefusalCode.QUARANTINED
            helps = error.refusal.retry_after_ms is not None and not held
            if not helps or exchange.deadline < self._find_end():
                raise
            # other instances have the time that this one lacks: come back now
            refusal = replace(error.refusal, retry_after_ms=STOPPING_RETRY_MS)
            raise RefusedError(refusal, error.status) from error

    def _refuse(self, exchange: RelayExchange, message: str) -> RefusedError:
        return create_error(
            exchange,
            RefusalCode.NOT_READY,
            message,
            retry_after=STOPPING_RETRY_MS / 1000,
        )


class RouteFilter(RelayFilter):
    """Finds the route and the workspace, by the configuration in force on arrival.

    :param find_table: returns the routes in force; ``None`` before any is known
    :param find_end: returns when a stop breaks requests off. No more time than that
        is promised to targets and stages, so that what can't be made until then is
        refused while its caller has time to go elsewhere
    """

    def __init__(
        self,
        *,
        find_table: Callable[[], RouteTable | None],
        find_end: Callable[[], float],
    ) -> None:
        self._find_table = find_table
        self._find_end = find_end

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        table = self._find_table()
        if table is None:
            # no answer on routes or keys: only a configuration can give one
            raise create_error(
                exchange,
                RefusalCode.NOT_READY,
                "no configuration is known yet",
                retry_after=NOT_READY_RETRY,
            )
        request = exchange.request
        exchange.deployment = table.deployment
        route = table.find_route(request.host, request.target)
        if route is None:
            raise create_error(
                exchange,
                RefusalCode.UNKNOWN_PIPELINE,
                "no route of this host begins the path",
                field="path",
                value=request.target[:64],
            )
        exchange.route = route
        exchange.deadline = min(
            request.received + min(request.timeout, route.timeout), self._find_end()
        )
        workspace = None
        if table.deployment.requires_key and not route.public:
            workspace = self._authorize(exchange, table)
            exchange.workspace = workspace.name
        exchange.rank = compute_rank(
            route.priority, None if workspace is None else workspace.priority
        )
        exchange.digest = compute_digest(request, exchange.workspace)
        await proceed(exchange)

    def _authorize(self, exchange: RelayExchange, table: RouteTable) -> RoutedWorkspace:
        workspace = table.find_workspace(exchange.request.key)
        if workspace is None:
            raise create_error(
                exchange,
                RefusalCode.UNAUTHORIZED,
                "the key is not known",
                field="authorization",
            )
        return workspace


class QuarantineFilter(RelayFilter):
    """Keeps requests from all targets under which one after the other has ended."""

    def __init__(self, *, quarantine: Quarantine, clock: Clock) -> None:
        self._quarantine = quarantine
        self._clock = clock

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        hold = self._quarantine.find_quarantine_seconds(
            exchange.digest, self._clock.now()
        )
        if hold is not None:
            raise create_hold_error(exchange, hold)
        await proceed(exchange)


class SplitFilter(RelayFilter):
    """Draws the service where a route is split between several."""

    def __init__(self, *, random_source: random.Random) -> None:
        self._random = random_source

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        split = exchange.route.split
        if len(split) == 1:
            exchange.service = split[0][0]
        elif split:
            names = [name for name, _ in split]
            weights = [weight for _, weight in split]
            if not any(weights):
                weights = [1.0] * len(split)
            exchange.service = self._random.choices(names, weights)[0]
        await proceed(exchange)


class RunHandler:
    """Last step: hands the exchange to what runs its kind of request."""

    def __init__(self, *, plain: Runner, streams: Runner) -> None:
        self._plain = plain
        self._streams = streams

    async def __call__(self, exchange: RelayExchange) -> None:
        if exchange.route.kind is RouteKind.STREAMING:
            await self._streams.run(exchange)
        else:
            await self._plain.run(exchange)
