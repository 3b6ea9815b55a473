"""Software versions of streams, told to other instances and asked of them."""

from __future__ import annotations

import asyncio
from math import isfinite
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.regions import is_allowed
from greengagelatch.relay.stream_messages import (
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionsUpdate,
)
from greengagelatch.relay.stream_versions import (
    UNDECIDED,
    StreamOrigin,
    StreamVersions,
)

from ..controllers import Controller
from .refusals import create_error
from .stream_keepers import StreamKeepers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.requests import RefusedError
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .version_history import VersionHistory

__all__ = ("StreamVersionExchange",)

#: seconds for which the version of a stream is asked for at the most
QUERY_SECONDS = 0.3
#: seconds after which it is asked for again: longer than its news take
NEWS_SECONDS = 0.05
#: seconds for which instances may take to forget the version of a stream
REPLACE_SECONDS = 0.3
#: seconds for which the store is asked at the most whether the record has changed
CONFIRM_SECONDS = 0.5
#: instances that are asked: those that should remember a stream, and some that should
#: have in another view of the fleet
ASKED = 9
#: seconds after which callers may retry a stream that can't go on, or begin, now
LOST_RETRY_AFTER = 0.5
#: seconds for which a stream waits for a version to be recorded at the most, and the
#: same as a share of the time that is left
MAX_RECORD_WAIT = 1.0
RECORD_WAIT_SHARE = 0.3


class StreamVersionExchange(Controller):
    """Remembers which software version began each stream, also for other instances.

    Before a request is sent to a target, its version is told to a few instances, chosen
    by the request's id: the first event comes later, and the caller later still. The
    instance that gets a resumed stream asks them.

    :param history: tells which versions may begin streams, and may have begun one
    """

    name = "stream_versions"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        target_table: TargetTable,
        history: VersionHistory,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._target_table = target_table
        self._history = history
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._streams = StreamVersions()
        self._keepers = StreamKeepers(peers=peers, metrics=metrics)
        #: whether others were told what this instance remembers, as it stops
        self._is_handed_over = False
        peers.handle(StreamVersionsUpdate, self._receive)
        peers.handle(StreamVersionQuery, self._answer)

    async def record_send(self, request_id: str, target: ListedTarget) -> bool:
        """Record that a stream is sent to a target, here and at a few instances.

        Those that know it by another version have to forget it first: they would give a
        caller that has returned the former one.

        :return: whether it may be sent. If not, an instance could not be told, and the
            stream is bound to the former version
        """
        origin = StreamOrigin(target.service, target.software_version)
        before = self._streams.find(request_id, self._clock.now())
        is_known = before not in (None, origin)
        if is_known and not await self._withdraw(request_id, origin):
            self._streams.bind(request_id)
            # some may have forgotten it
            self._keepers.tell(request_id, before)
            return False
        told = self._keepers.tell(request_id, origin)
        self._streams.record(request_id, origin, self._clock.now(), told)
        return True

    async def _withdraw(self, request_id: str, origin: StreamOrigin) -> bool:
        """Let all instances that know a stream forget it.

        :param origin: where it is to be sent to
        :return: whether all have
        """
        self._keepers.discard(request_id)
        undecided = StreamOrigin(origin.service, UNDECIDED)
        update = StreamVersionsUpdate.create([(request_id, undecided)])
        told = sorted(self._streams.list_told(request_id))
        answers = await asyncio.gather(
            *(self._peers.ask(one, update, REPLACE_SECONDS) for one in told)
        )
        pairs = zip(told, answers, strict=True)
        untold = [one for one, answer in pairs if isinstance(answer, Err)]
        if not untold:
            return True
        self._metrics.count("stream_versions.bound")
        self._decisions.log_decision(
            "stream-bound",
            request=request_id,
            service=origin.service,
            rejected=origin.software_version,
            untold=untold,
        )
        return False

    async def find_version(self, exchange: RelayExchange) -> str | None:
        """Return the version at which a request has to go on with its stream.

        A route that splits traffic leads it to the service that began the stream.

        :return: ``None`` if any target may be sent the request
        :raises RefusedError: if the version is not known, or no target has it
        """
        if exchange.request.resume_after is None:
            return None
        if not self._target_table.list_service(exchange.service):
            return None
        origin = await self._find(exchange.request.resumes)
        if origin is not None and origin.service:
            self._move(exchange, origin)
        version = None if origin is None else origin.software_version
        if origin is None:
            version = await self._find_lone(exchange)
        self._log_resumed(exchange, version, self._find_source(exchange, origin))
        if version is None:
            raise self._create_refusal(exchange, origin)
        if origin is None:
            return version
        is_here = origin.service in ("", exchange.service)
        if is_here and version in self._list_versions(exchange.service):
            return version
        raise self._create_refusal(exchange, origin)

    async def _find_lone(self, exchange: RelayExchange) -> str | None:
        """Return the only version that can have begun a stream nobody remembers.

        The record is read after the request has come. Without that, an instance that is
        cut off would know neither the stream nor that there is another version.
        """
        service = exchange.service
        if len(exchange.route.split) > 1 or self._find_possible(service) is None:
            return None
        if not await self._history.confirm(CONFIRM_SECONDS):
            return None
        return self._find_possible(service)

    def _find_possible(self, service: str) -> str | None:
        """Return the version that may have begun streams, if it is the only one."""
        possible = self._history.list_possible(service)
        if possible is None or len(possible) != 1:
            return None
        return next(iter(possible))

    def _list_versions(self, service: str) -> frozenset[str]:
        """Return the versions of the listed targets of a service."""
        targets = self._target_table.list_service(service)
        return frozenset(one.software_version for one in targets)

    def _log_resumed(
        self, exchange: RelayExchange, version: str | None, source: str
    ) -> None:
        """Log a stream that is taken up.

        :param version: the one that began it; ``None`` if it is not known
        :param source: who knows it
        """
        service = exchange.service
        possible = self._history.list_possible(service)
        age = self._clock.now() - self._history.confirmed_at
        self._decisions.log_decision(
            "stream-resumed",
            request=exchange.request.request_id,
            resumes=exchange.request.resumes,
            service=service,
            version=version,
            source=source,
            listed=sorted(self._list_versions(service)),
            possible=None if possible is None else sorted(possible),
            confirmed_ms=round(age * 1000) if isfinite(age) else None,
        )

    def _find_source(self, exchange: RelayExchange, origin: StreamOrigin | None) -> str:
        """Return who knows the origin of a stream: ``own``, ``peer``, or nobody."""
        if origin is None:
            return ""
        known = self._streams.find(exchange.request.resumes, self._clock.now())
        return "peer" if known is None else "own"

    def _move(self, exchange: RelayExchange, origin: StreamOrigin) -> None:
        """Lead a request to the service that began its stream, if its route does."""
        if any(origin.service == service for service, _ in exchange.route.split):
            exchange.service = origin.service

    def list_excluded(
        self, exchange: RelayExchange, version: str | None
    ) -> frozenset[Incarnation]:
        """Return the targets that a stream must not be sent to.

        What two software versions write does not fit together, and a version that is
        not recorded begins no streams.

        :param version: the version that began it; ``None``: it has not begun
        """
        excluded: frozenset[Incarnation] = frozenset()
        if version is None:
            version = self._streams.find_bound(exchange.request.request_id)
        if version is not None:
            excluded = self._target_table.list_other_versions(exchange.service, version)
        if not exchange.route.resumable:
            return excluded
        return excluded | self._history.list_unrecorded(exchange.service)

    async def wait_for_record(self, exchange: RelayExchange) -> None:
        """Wait until a stream may begin, or go on, at any of the targets.

        :raises RefusedError: if it may not for now
        """
        if not exchange.route.resumable:
            return
        if self._history.is_any_recorded(self._list_targets(exchange)):
            return
        now = self._clock.now()
        left = exchange.deadline - now
        is_recorded = await self._history.wait_for_any(
            lambda: self._list_targets(exchange),
            min(MAX_RECORD_WAIT, left * RECORD_WAIT_SHARE),
        )
        self._decisions.log_decision(
            "version-awaited",
            request=exchange.request.request_id,
            service=exchange.service,
            recorded=is_recorded,
            ms=round((self._clock.now() - now) * 1000),
        )
        self._metrics.count("stream_versions.awaited")
        if not is_recorded:
            message = "the software versions of all targets are not recorded yet"
            raise create_error(
                exchange,
                RefusalCode.NO_TARGET,
                message,
                retry_after=LOST_RETRY_AFTER,
                field="service",
                value=exchange.service,
            )

    def _list_targets(self, exchange: RelayExchange) -> list[ListedTarget]:
        """Return the targets of the version that began a stream, or of all versions."""
        version = exchange.software_version
        return [
            one
            for one in self._target_table.list_service(exchange.service)
            if is_allowed(one.data_centre, exchange.data_centres)
            and version in (None, one.software_version)
        ]

    def dump(self) -> dict[str, Any]:
        return {"remembered": len(self._streams)}

    async def on_stop(self) -> None:
        """Hand over what is remembered: in a rolling restart, all keepers stop."""
        self._keepers.flush()
        for request_id, origin in self._streams.list_remembered(self._clock.now()):
            self._keepers.tell(request_id, origin)
        self._keepers.flush(handed_over=True)
        self._is_handed_over = True

    def _receive(
        self, sender: str, update: StreamVersionsUpdate
    ) -> StreamVersionAnswer | None:
        now = self._clock.now()
        for request_id, origin in update.list_origins():
            if origin.software_version == UNDECIDED:
                if self._is_handed_over:
                    # other instances know it from this one
                    return None
                if not update.handed_over:
                    self._streams.forget(request_id)
                continue
            known = self._streams.find(request_id, now)
            if known is None or not update.handed_over:
                self._streams.record(request_id, origin, now)
        return StreamVersionAnswer()

    def _answer(self, sender: str, query: StreamVersionQuery) -> StreamVersionAnswer:
        origin = self._streams.find(query.request_id, self._clock.now())
        if origin is None:
            return StreamVersionAnswer()
        return StreamVersionAnswer(origin.software_version, origin.service)

    async def _find(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream has begun, as far as any instance knows."""
        origin = self._streams.find(request_id, self._clock.now())
        if origin is not None or not request_id:
            return origin
        asked = self._keepers.rank(request_id)[:ASKED]
        origin = await self._ask_all(asked, request_id)
        if origin is None and asked:
            # the news may be on their way
            await asyncio.sleep(NEWS_SECONDS)
            origin = await self._ask_all(asked, request_id)
        found = "found" if origin is not None else "unknown"
        self._metrics.count(f"stream_versions.{found}")
        return origin

    async def _ask_all(
        self, asked: Sequence[str], request_id: str
    ) -> StreamOrigin | None:
        """Return the first origin that one of some instances knows."""
        tasks = [asyncio.create_task(self._ask(one, request_id)) for one in asked]
        try:
            for done in asyncio.as_completed(tasks):
                origin = await done
                if origin is not None:
                    return origin
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _ask(self, instance_id: str, request_id: str) -> StreamOrigin | None:
        query = StreamVersionQuery(request_id)
        match await self._peers.ask(instance_id, query, QUERY_SECONDS):
            case Ok(StreamVersionAnswer(str(version), service)):
                return StreamOrigin(service, version)
        return None

    def _create_refusal(
        self, exchange: RelayExchange, origin: StreamOrigin | None
    ) -> RefusedError:
        self._metrics.count("stream_versions.refused")
        if origin is None:
            message = "the software version that began the stream is not known"
        else:
            message = "no target has the software version that began the stream"
        return create_error(
            exchange,
            RefusalCode.NO_TARGET,
            message,
            retry_after=LOST_RETRY_AFTER,
            field="resumes",
            value=exchange.request.resumes[:64],
        )
