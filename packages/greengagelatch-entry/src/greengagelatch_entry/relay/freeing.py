"""Results that nobody needs any more, given up at their makers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.relay.incarnations import Incarnation

from .links import LinkError, NotSentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..metrics import Metrics
    from .codecs import TargetCodec
    from .decisions import DecisionLog
    from .links import TargetLinks
    from .makers import Maker

__all__ = ("ResultFreeing",)

#: seconds for which results to be freed are gathered
FREE_DELAY = 0.01
FREE_TIMEOUT = 1.0
MAX_ANSWER_BYTES = 64 * 1024


class ResultFreeing:
    """Tells makers of results that are not needed, those of a moment together.

    :param find_maker: returns the maker at an address, if it is one of the service's
    :param note_freed: called once room has become free
    """

    def __init__(
        self,
        service: str,
        *,
        find_maker: Callable[[str], Maker | None],
        note_freed: Callable[[], None],
        links: TargetLinks,
        codec: TargetCodec,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        self._service = service
        self._find_maker = find_maker
        self._note_freed = note_freed
        self._links = links
        self._codec = codec
        self._metrics = metrics
        self._decisions = decisions
        self._waiting: dict[str, list[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def free(self, handles: tuple[str, ...]) -> None:
        """Have makers drop results."""
        for handle in handles:
            address = self._codec.find_maker_address(handle)
            self._waiting.setdefault(address, []).append(handle)
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FREE_DELAY, self._send_all)

    async def close(self) -> None:
        """End what is under way."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _send_all(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, {}
        for address, handles in waiting.items():
            task = asyncio.create_task(self._send(address, tuple(handles)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, handles: tuple[str, ...]) -> None:
        maker = self._find_maker(address)
        incarnation = maker.target.incarnation if maker else None
        try:
            reply = await self._links.send(
                incarnation=incarnation or Incarnation(address),
                address=address,
                outbound=self._codec.encode_freeing(handles, incarnation),
                fresh=incarnation is None,
                timeout=FREE_TIMEOUT,
            )
            await reply.read(MAX_ANSWER_BYTES)
            reply.release()
        except (NotSentError, LinkError) as error:
            # its maker drops them by itself after a while
            self._metrics.count("stages.unfreed", len(handles))
            self._decisions.note(
                "unfreed", service=self._service, address=address, reason=str(error)
            )
            return
        if maker is None:
            return
        # only now: a call that began earlier would still find the room taken
        for handle in handles:
            maker.room.free(handle)
        self._note_freed()
