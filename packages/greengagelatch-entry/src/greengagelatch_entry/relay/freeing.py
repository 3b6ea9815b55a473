"""Results that nobody needs any more, given up at their makers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .links import LinkError, NotSentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .links import TargetLinks
    from .makers import Maker

__all__ = ("ResultFreeing",)

#: seconds for which results to be freed are gathered
FREE_DELAY = 0.01
FREE_TIMEOUT = 1.0
#: seconds for which a stop waits for these; they take a few milliseconds, and a stop
#: has less than a second left when it comes to them
CLOSE_SECONDS = 0.2
MAX_ANSWER_BYTES = 64 * 1024


class ResultFreeing:
    """Tells makers of results that are not needed, those of a moment together.

    Those of a maker that has started again are gone, and nothing is sent for them.

    :param find_maker: returns what is known of a maker, if it is one of the service's
    :param note_freed: called once room has become free
    """

    def __init__(
        self,
        service: str,
        *,
        find_maker: Callable[[Incarnation], Maker | None],
        note_freed: Callable[[], None],
        book: TargetTable,
        links: TargetLinks,
        codec: TargetCodec,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._service = service
        self._find_maker = find_maker
        self._note_freed = note_freed
        self._book = book
        self._links = links
        self._codec = codec
        self._metrics = metrics
        self._decisions = decisions
        #: handles by their maker and its address
        self._waiting: dict[tuple[Incarnation, str], list[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def free(self, results: tuple[PieceResult, ...]) -> None:
        """Have makers drop results."""
        for result in results:
            if result.maker is None:
                # a row of a peer that stands for a piece which was not made
                continue
            place = (result.maker, self._codec.find_maker_address(result.handle))
            self._waiting.setdefault(place, []).append(result.handle)
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FREE_DELAY, self._send_all)

    async def close(self) -> None:
        """Send what waits, for a moment at the most, and end the rest.

        Results that are not freed at a stop fill their makers' room until they lapse,
        seconds later: calls of the next owner find no room, without any of its own
        results there.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._send_all()
        tasks = tuple(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _send_all(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, {}
        for (incarnation, address), handles in waiting.items():
            if self._book.is_superseded(incarnation):
                self._metrics.count("stages.lost_by_restart", len(handles))
                continue
            sending = self._send(incarnation, address, tuple(handles))
            task = asyncio.create_task(sending)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(
        self, incarnation: Incarnation, address: str, handles: tuple[str, ...]
    ) -> None:
        try:
            reply = await self._links.send(
                incarnation=incarnation,
                address=address,
                outbound=self._codec.encode_freeing(handles, incarnation),
                fresh=False,
                timeout=FREE_TIMEOUT,
                # one that leaves holds its results until it ends
                may_send=lambda: not self._book.is_superseded(incarnation),
            )
            await reply.read(MAX_ANSWER_BYTES)
            if self._book.is_available(incarnation):
                reply.release()
            else:
                reply.abort()
        except (NotSentError, LinkError) as error:
            # its maker drops them by itself after a while
            self._metrics.count("stages.unfreed", len(handles))
            self._decisions.note(
                "unfreed", service=self._service, address=address, reason=str(error)
            )
            return
        maker = self._find_maker(incarnation)
        if maker is None:
            return
        # only now: a call that began earlier would still find the room taken
        for handle in handles:
            maker.room.release(handle)
        self._note_freed()
