"""Release of stage results that are no longer needed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .target_connections import NotSentError
from .target_dialers import Destination
from .target_responses import TargetResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.target_rests import TargetRests
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .makers import Maker
    from .target_connections import TargetConnectionPool

__all__ = ("ResultReleaser",)

#: seconds for which results to be freed are batched
FREE_BATCH_SECONDS = 0.01
#: seconds after which makers that rest are looked at again
REST_CHECK_SECONDS = 0.1
#: seconds until a request to free results times out
FREE_TIMEOUT = 1.0
#: seconds for which a stop waits for these requests; they take a few milliseconds, and
#: less than a second of the stop's time is left at this point
CLOSE_TIMEOUT = 0.2
MAX_ANSWER_BYTES = 64 * 1024


class ResultReleaser:
    """Frees results at their makers, in batches.

    A maker that has restarted has lost its results, so that nothing is sent for them.
    One that rests is asked afterwards.

    :param find_maker: returns the local state of a maker, if it belongs to the service
    :param on_freed: called after a maker has freed results
    """

    def __init__(
        self,
        service: str,
        *,
        find_maker: Callable[[Incarnation], Maker | None],
        rests: TargetRests,
        on_freed: Callable[[], None],
        target_table: TargetTable,
        connections: TargetConnectionPool,
        codec: TargetCodec,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._service = service
        self._find_maker = find_maker
        self._rests = rests
        self._clock = clock
        self._on_freed = on_freed
        self._target_table = target_table
        self._connections = connections
        self._codec = codec
        self._metrics = metrics
        self._decisions = decisions
        #: handles to be freed, by maker and its address
        self._pending: dict[tuple[Incarnation, str], list[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def free(self, results: tuple[PieceResult, ...]) -> None:
        """Queue results to be freed at their makers."""
        for result in results:
            if result.maker is None:
                # a peer sends such a row for a piece that was not made
                continue
            maker_key = (result.maker, self._codec.find_maker_address(result.handle))
            self._pending.setdefault(maker_key, []).append(result.handle)
        if self._pending:
            self._schedule(FREE_BATCH_SECONDS)

    async def close(self) -> None:
        """Flush the queue within :data:`CLOSE_SECONDS` and cancel what remains.

        Results that are not freed before a stop occupy their makers' memory until they
        expire seconds later, and the calls of the next owner find no memory there.
        """
        self._cancel_timer()
        self._flush()
        self._cancel_timer()
        tasks = tuple(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _flush(self) -> None:
        self._timer = None
        now = self._clock.now()
        pending, self._pending = self._pending, {}
        for (incarnation, address), handles in pending.items():
            if self._rests.find_seconds(incarnation, now):
                self._pending[incarnation, address] = handles
                continue
            if self._target_table.is_superseded(incarnation):
                self._metrics.count("stages.lost_by_restart", len(handles))
                continue
            if not self._may_send(incarnation):
                self._metrics.count("stages.unfreed", len(handles))
                continue
            sending = self._send(incarnation, address, tuple(handles))
            task = asyncio.create_task(sending)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._pending:
            self._schedule(REST_CHECK_SECONDS)

    def _schedule(self, seconds: float) -> None:
        """Flush after some seconds, unless that is due sooner."""
        loop = asyncio.get_running_loop()
        if self._timer is not None and self._timer.when() <= loop.time() + seconds:
            return
        self._cancel_timer()
        self._timer = loop.call_later(seconds, self._flush)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _may_send(self, incarnation: Incarnation) -> bool:
        if self._target_table.is_superseded(incarnation):
            return False
        target = self._target_table.find_listed(incarnation.target_id)
        # results in an evacuated data centre expire by themselves
        return target is None or not self._target_table.is_evacuated(target.data_centre)

    async def _send(
        self, incarnation: Incarnation, address: str, handles: tuple[str, ...]
    ) -> None:
        try:
            reply = await self._connections.send(
                Destination(
                    incarnation=incarnation, address=address, service=self._service
                ),
                self._codec.encode_release(handles, incarnation),
                fresh=False,
                timeout=FREE_TIMEOUT,
                # a draining maker holds its results until it stops
                may_send=lambda: self._may_send(incarnation),
            )
            await reply.read(MAX_ANSWER_BYTES)
            if self._target_table.is_available(incarnation):
                reply.release()
            else:
                reply.abort()
        except (NotSentError, TargetResponseError) as error:
            # the maker drops them by itself once they expire
            self._metrics.count("stages.unfreed", len(handles))
            self._decisions.log_decision(
                "unfreed", service=self._service, address=address, reason=str(error)
            )
            return
        maker = self._find_maker(incarnation)
        if maker is None:
            return
        # not before the answer: a call sent earlier would still find the memory in use
        for handle in handles:
            maker.result_memory.release(handle)
        self._on_freed()
