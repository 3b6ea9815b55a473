"""Filter chain that every opaque request passes through, in order."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.caller_timeouts import CallerTimeouts
from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.digests import compute_digest
from greengagelatch.relay.regions import find_allowed_data_centres
from greengagelatch.relay.requests import RefusedError
from greengagelatch.relay.urgency import compute_rank

from ..filters.stop import STOPPING_RETRY_MS
from ..in_flight_requests import RequestAbortedError
from .exchange import CallerDisconnectedError, RelayExchange
from .refusals import create_error, find_refusal_status

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.relay.deployment import RoutedWorkspace
    from greengagelatch.relay.routes import RouteTable

    from ..in_flight_requests import InFlightRequests
    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .runners import Runner
    from .suspect_admission import SuspectAdmission

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

#: ``Retry-After`` in seconds while no configuration is loaded; a starting instance
#: usually loads one within this time
NOT_READY_RETRY = 0.5


class RelayFilter(ABC):
    """One filter of the chain."""

    @abstractmethod
    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        """Handle the exchange, usually by calling ``proceed``."""


class ObserveFilter(RelayFilter):
    """Logs and counts each request when it has ended.

    :param find_stop_time: returns the monotonic time at which this instance was told
        to stop; ``None`` if it was not
    """

    def __init__(
        self,
        *,
        find_stop_time: Callable[[], float | None],
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._find_stop_time = find_stop_time
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
        except CallerDisconnectedError:
            exchange.outcome = "caller-gone"
            raise
        except BaseException:
            exchange.outcome = "cancelled"
            raise
        finally:
            self._log(exchange, reason)

    def _log(self, exchange: RelayExchange, reason: str) -> None:
        now = self._clock.now()
        seconds = now - exchange.request.received
        self._metrics.count(f"requests.{exchange.outcome}")
        self._metrics.timing("requests", seconds)
        route, deployment = exchange.route, exchange.deployment
        stop = self._find_stop_time()
        received = exchange.request.received
        # negative if the request arrived before the stop
        since_stop = {} if stop is None else {"since_stop_ms": _to_ms(received - stop)}
        self._decisions.log_decision(
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
            versions=exchange.software_versions[-4:],
            **exchange.describe_resumption(),
            step=exchange.step,
            stages_ms=_to_ms(exchange.stage_seconds),
            ms=_to_ms(seconds),
            left_ms=_to_ms(exchange.deadline - now) if exchange.deadline else None,
            waited_ms=_to_ms(exchange.prior_wait) if route else None,
            connection=exchange.use.connection,
            connection_request=exchange.use.request,
            **exchange.describe_parts(),
            **since_stop,
        )


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


class StopFilter(RelayFilter):
    """Refuses requests that can't complete before a planned stop ends.

    :param find_stop_deadline: returns the monotonic time at which a stop cancels the
        requests in flight
    """

    def __init__(
        self, *, in_flight: InFlightRequests, find_stop_deadline: Callable[[], float]
    ) -> None:
        self._in_flight = in_flight
        self._find_stop_deadline = find_stop_deadline

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        if exchange.use.received_while_closing:
            # a request begun this late may not finish before the process is killed
            raise self._refuse(exchange, "this instance is stopping")
        try:
            await self._in_flight.run(proceed(exchange))
        except RequestAbortedError:
            raise self._refuse(
                exchange, "cancelled by a stop of this instance"
            ) from None
        except RefusedError as error:
            # a request in quarantine is refused by every instance
            is_quarantined = error.refusal.code is RefusalCode.QUARANTINED
            retry_helps = (
                error.refusal.retry_after_ms is not None and not is_quarantined
            )
            if not retry_helps or exchange.deadline < self._find_stop_deadline():
                raise
            # only this instance is short of time: another can serve a retry at once
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
    """Resolves route and workspace by the configuration active on arrival.

    :param find_table: returns the active routes; ``None`` until a configuration has
        been loaded
    :param find_stop_deadline: returns the monotonic time at which a stop cancels the
        requests in flight. It bounds the deadlines of targets and stages, so that a
        request that can't finish in time is refused while its caller can still turn
        to another instance
    :param regions: region of each data centre
    """

    def __init__(
        self,
        *,
        find_table: Callable[[], RouteTable | None],
        find_stop_deadline: Callable[[], float],
        regions: Mapping[str, str],
    ) -> None:
        self._find_table = find_table
        self._regions = regions
        self._caller_timeouts = CallerTimeouts()
        self._find_stop_deadline = find_stop_deadline

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        self.resolve(exchange)
        self._caller_timeouts.record(exchange.request.timeout, exchange.route.timeout)
        exchange.timeout_spread = self._caller_timeouts.find_spread()
        await proceed(exchange)

    def resolve(self, exchange: RelayExchange) -> None:
        """Resolve route and workspace of a request, without a change of state.

        :raises RefusedError: if either is unknown
        """
        table = self._find_table()
        if table is None:
            # without a configuration, neither routes nor keys can be judged
            raise create_error(
                exchange,
                RefusalCode.NOT_READY,
                "no configuration has been loaded yet",
                retry_after=NOT_READY_RETRY,
            )
        request = exchange.request
        exchange.deployment = table.deployment
        route = table.find_route(request.host, request.target)
        if route is None:
            raise create_error(
                exchange,
                RefusalCode.UNKNOWN_PIPELINE,
                "no route of this host matches the path",
                field="path",
                value=request.target[:64],
            )
        exchange.route = route
        exchange.deadline = min(
            request.received + min(request.timeout, route.timeout),
            self._find_stop_deadline(),
        )
        workspace = None
        if table.deployment.requires_key and not route.public:
            workspace = self._authorize(exchange, table)
            exchange.workspace = workspace.name
        exchange.data_centres = find_allowed_data_centres(
            self._regions,
            route.regions,
            frozenset() if workspace is None else workspace.regions,
        )
        exchange.rank = compute_rank(
            route.priority, None if workspace is None else workspace.priority
        )
        exchange.digest = compute_digest(request, exchange.workspace)

    def _authorize(self, exchange: RelayExchange, table: RouteTable) -> RoutedWorkspace:
        workspace = table.find_workspace(exchange.request.key)
        if workspace is None:
            raise create_error(
                exchange,
                RefusalCode.UNAUTHORIZED,
                "unknown API key",
                field="authorization",
            )
        return workspace


class QuarantineFilter(RelayFilter):
    """Refuses quarantined requests, which are suspected of crashing targets."""

    def __init__(self, *, suspects: SuspectAdmission) -> None:
        self._suspects = suspects

    async def apply(self, exchange: RelayExchange, proceed: RelayHandler) -> None:
        try:
            await self._suspects.check(exchange)
            await proceed(exchange)
        finally:
            self._suspects.release(exchange)


class SplitFilter(RelayFilter):
    """Chooses a service at random by weight if the route splits traffic."""

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
    """End of the chain: dispatches the exchange to the runner for its route kind."""

    def __init__(self, *, unary: Runner, streams: Runner) -> None:
        self._unary = unary
        self._streams = streams

    async def __call__(self, exchange: RelayExchange) -> None:
        if exchange.route.kind is RouteKind.STREAMING:
            await self._streams.run(exchange)
        else:
            await self._unary.run(exchange)
