"""Composition of the path of a request: filters, then runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.admission import DeadlineAdmission

from ..filters import chain
from .brittle_admission import BrittleAdmission
from .explanations import RequestExplainer
from .filters import (
    ObserveFilter,
    QuarantineFilter,
    RouteFilter,
    RunHandler,
    SplitFilter,
    StopFilter,
)
from .route_latencies import RouteLatencies
from .stream_admission import StreamAdmission
from .streams import StreamRunner
from .target_sender import TargetSender
from .unary import UnaryRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.routes import RouteTable

    from ..filters import Handler
    from ..in_flight_requests import InFlightRequests
    from .crash_parts import CrashParts
    from .parts import SharedParts
    from .permit_exchange import PermitExchange
    from .retry_budgets import RetryBudgets
    from .stages import StageRunner
    from .stream_version_exchange import StreamVersionExchange
    from .target_connections import TargetConnectionPool

__all__ = ("compose_explainer", "compose_filters", "compose_runners")


def compose_runners(
    shared: SharedParts,
    *,
    load_balancer: LoadBalancer,
    connections: TargetConnectionPool,
    crashes: CrashParts,
    budgets: RetryBudgets,
    stages: StageRunner,
    permits: PermitExchange,
    versions: StreamVersionExchange,
    find_stop_deadline: Callable[[], float],
    is_closing: Callable[[], bool],
) -> RunHandler:
    """Build the handler that sends requests to targets.

    :param find_stop_deadline: returns the monotonic time at which a stop cancels the
        requests in flight
    :param is_closing: returns whether the listener for callers is closed
    """
    common = {
        "sender": TargetSender(
            connections=connections,
            codec=shared.adapters.targets,
            load_balancer=load_balancer,
            target_table=shared.target_table,
            crash_detector=crashes.detector,
            part_survivals=crashes.part_survivals,
            clock=shared.clock,
            decisions=shared.decisions,
        ),
        "load_balancer": load_balancer,
        "budgets": budgets,
        "suspects": crashes.suspects,
        "brittle": BrittleAdmission(
            load_balancer=load_balancer,
            clock=shared.clock,
            random_source=shared.random_source,
            metrics=shared.metrics,
            permits=permits,
        ),
        "times": RouteLatencies(),
        "find_stop_deadline": find_stop_deadline,
        "is_closing": is_closing,
        "clock": shared.clock,
        "decisions": shared.decisions,
    }
    streams = StreamRunner(
        stages=stages,
        codec=shared.adapters.targets,
        target_table=shared.target_table,
        versions=versions,
        admission=StreamAdmission(
            policy=DeadlineAdmission(),
            clock=shared.clock,
            random_source=shared.random_source,
            decisions=shared.decisions,
        ),
        **common,
    )
    return RunHandler(
        unary=UnaryRunner(memory=shared.memory, **common), streams=streams
    )


def compose_filters(
    shared: SharedParts,
    last: RunHandler,
    *,
    in_flight: InFlightRequests,
    crashes: CrashParts,
    find_table: Callable[[], RouteTable | None],
    find_stop_time: Callable[[], float | None],
    find_stop_deadline: Callable[[], float],
) -> Handler:
    """Return a handler that passes requests through the filters to ``last``.

    :param find_stop_time: returns the monotonic time at which this instance was told
        to stop; ``None``: not yet
    :param find_stop_deadline: returns the monotonic time at which a stop cancels the
        requests in flight
    """
    filters = (
        ObserveFilter(
            find_stop_time=find_stop_time,
            clock=shared.clock,
            metrics=shared.metrics,
            decisions=shared.decisions,
        ),
        StopFilter(in_flight=in_flight, find_stop_deadline=find_stop_deadline),
        RouteFilter(
            find_table=find_table,
            find_stop_deadline=find_stop_deadline,
            regions=shared.settings.regions,
        ),
        SplitFilter(random_source=shared.random_source),
        QuarantineFilter(suspects=crashes.suspects),
    )
    return chain(filters, last)


def compose_explainer(
    shared: SharedParts,
    *,
    load_balancer: LoadBalancer,
    find_table: Callable[[], RouteTable | None],
    list_unrecorded: Callable[[str], frozenset[Incarnation]],
) -> RequestExplainer:
    """Build what explains where requests would be sent."""
    return RequestExplainer(
        instance_id=shared.settings.instance_id,
        route_filter=RouteFilter(
            find_table=find_table,
            find_stop_deadline=lambda: float("inf"),
            regions=shared.settings.regions,
        ),
        load_balancer=load_balancer,
        list_unrecorded=list_unrecorded,
        clock=shared.clock,
    )
