"""Refuses requests for what the configuration does not hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer

from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.config.snapshot import Snapshot

__all__ = ("SNAPSHOT_NOTE", "CheckFilter")

#: note that holds the configuration for the whole of the request
SNAPSHOT_NOTE = "snapshot"
#: milliseconds after which an instance may have learnt its configuration
NOT_READY_RETRY_MS = 1000
#: milliseconds after which an object just created may be known here
UNKNOWN_RETRY_MS = 2000
#: characters of an offending value that are shown
MAX_SHOWN = 64


class CheckFilter(Filter):
    """Looks up pipeline and workspace in one snapshot and notes that snapshot.

    A request that read the configuration again half way could run the first stages
    of one generation and the last ones of another; so all later steps use the note.

    :param snapshot: returns the configuration in force
    """

    def __init__(self, *, snapshot: Callable[[], Snapshot]) -> None:
        self._snapshot = snapshot

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        snapshot = self._snapshot()
        refusal = _find_fault(exchange, snapshot)
        if refusal is not None:
            return Answer(
                request_id=exchange.request.request_id,
                verdict=exchange.verdict,
                refusal=refusal,
            )
        exchange.notes[SNAPSHOT_NOTE] = snapshot
        return await proceed(exchange)


def _find_fault(exchange: Exchange, snapshot: Snapshot) -> Refusal | None:
    request = exchange.request
    if snapshot.generation == 0:
        return Refusal(
            code=RefusalCode.NOT_READY,
            message="no configuration is known here yet",
            retry_after_ms=NOT_READY_RETRY_MS,
        )
    if request.workspace not in snapshot.workspaces:
        return Refusal(
            code=RefusalCode.UNKNOWN_WORKSPACE,
            message="no such workspace",
            field="X-Workspace",
            value=request.workspace[:MAX_SHOWN],
            retry_after_ms=UNKNOWN_RETRY_MS,
        )
    if request.pipeline not in snapshot.pipelines:
        return Refusal(
            code=RefusalCode.UNKNOWN_PIPELINE,
            message="no such pipeline",
            field="pipeline",
            value=request.pipeline[:MAX_SHOWN],
            retry_after_ms=UNKNOWN_RETRY_MS,
        )
    return None
