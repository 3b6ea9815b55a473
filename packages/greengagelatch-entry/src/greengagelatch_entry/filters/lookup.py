"""Refuses requests whose workspace or pipeline is not in the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer

from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.config.snapshot import Snapshot

__all__ = ("SNAPSHOT_KEY", "LookupFilter")

#: key of the configuration snapshot that the whole request uses
SNAPSHOT_KEY = "snapshot"
#: milliseconds after which an instance may have loaded its configuration
NOT_READY_RETRY_MS = 1000
#: milliseconds within which a newly created object may reach this instance
UNKNOWN_RETRY_MS = 2000
#: maximum characters of an invalid value that a refusal shows
MAX_SHOWN_CHARS = 64


class LookupFilter(Filter):
    """Looks up pipeline and workspace, and pins the snapshot for later filters.

    A request that read the configuration again while it runs could execute its first
    stages under one generation and its last ones under another, so all later filters
    use the pinned snapshot.

    :param snapshot: returns the active configuration
    """

    def __init__(self, *, snapshot: Callable[[], Snapshot]) -> None:
        self._snapshot = snapshot

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        snapshot = self._snapshot()
        refusal = _find_refusal(exchange, snapshot)
        if refusal is not None:
            return Answer(
                request_id=exchange.request.request_id,
                verdict=exchange.verdict,
                refusal=refusal,
            )
        exchange.context[SNAPSHOT_KEY] = snapshot
        return await proceed(exchange)


def _find_refusal(exchange: Exchange, snapshot: Snapshot) -> Refusal | None:
    request = exchange.request
    if snapshot.generation == 0:
        return Refusal(
            code=RefusalCode.NOT_READY,
            message="this instance has not loaded a configuration yet",
            retry_after_ms=NOT_READY_RETRY_MS,
        )
    if request.workspace not in snapshot.workspaces:
        return Refusal(
            code=RefusalCode.UNKNOWN_WORKSPACE,
            message="unknown workspace",
            field="X-Workspace",
            value=request.workspace[:MAX_SHOWN_CHARS],
            retry_after_ms=UNKNOWN_RETRY_MS,
        )
    if request.pipeline not in snapshot.pipelines:
        return Refusal(
            code=RefusalCode.UNKNOWN_PIPELINE,
            message="unknown pipeline",
            field="pipeline",
            value=request.pipeline[:MAX_SHOWN_CHARS],
            retry_after_ms=UNKNOWN_RETRY_MS,
        )
    return None
