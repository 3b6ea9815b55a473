"""Refuses requests beyond the quota of their workspace."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from . import Exchange, Filter, Handler
from .check import SNAPSHOT_NOTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.config.effects import Quota

    from ..controllers.quotas import QuotasController

__all__ = ("AdmissionFilter",)

#: characters of an offending value that are shown
MAX_SHOWN = 64


class AdmissionFilter(Filter):
    """Charges each request once, before or after its key is claimed.

    It stands in the chain twice, around deduplication. A request without a key, or
    with one that the caller says it has not sent before, is charged before: its
    refusal costs no write to the store. Any other one may be the repeat of a request
    that runs or has run, which only its claim can tell; it is charged after it,
    so that a repeat gets its answer also when the quota is used up. Refused then,
    it gives its claim back, as nothing ran.

    What used nothing, as it was found under its key or refused without having run,
    is given back.

    :param claimed: whether this is the place after deduplication
    """

    def __init__(self, *, quotas: QuotasController, claimed: bool) -> None:
        self._quotas = quotas
        self._claimed = claimed

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        request = exchange.request
        known_new = not request.key or request.first_attempt
        if known_new == self._claimed:
            return await proceed(exchange)
        snapshot = exchange.notes[SNAPSHOT_NOTE]
        quota = resolve_policy(snapshot, request.workspace, request.pipeline).quota
        if quota is None:
            return await proceed(exchange)
        admission = self._quotas.admit(quota, request.workspace)
        if not admission.admitted:
            return _refuse(exchange, admission.retry_after)
        return await self._run(exchange, proceed, quota)

    async def _run(self, exchange: Exchange, proceed: Handler, quota: Quota) -> Answer:
        workspace = exchange.request.workspace
        tokens = _TokenCounter(exchange.on_token)
        if exchange.on_token is not None and quota.tokens_per_second is not None:
            exchange.on_token = tokens.take
        unused = False
        try:
            answer = await proceed(exchange)
            verdict = exchange.verdict.raise_to(answer.verdict)
            unused = answer.replayed or verdict is Verdict.NOT_RUN
            return answer
        finally:
            if unused:
                self._quotas.refund(quota, workspace)
            elif tokens.count:
                self._quotas.charge_tokens(quota, workspace, tokens.count)


class _TokenCounter:
    """Counts the tokens that are passed on to a caller."""

    def __init__(self, listener: Callable[[int, str], None] | None) -> None:
        self._listener = listener
        self.count = 0

    def take(self, offset: int, text: str) -> None:
        self.count += 1
        if self._listener is not None:
            self._listener(offset, text)


def _refuse(exchange: Exchange, retry_after: float) -> Answer:
    request = exchange.request
    refusal = Refusal(
        code=RefusalCode.QUOTA,
        message="the workspace's quota is used up",
        field="X-Workspace",
        value=request.workspace[:MAX_SHOWN],
        retry_after_ms=max(1, math.ceil(retry_after * 1000)),
    )
    return Answer(
        request_id=request.request_id, verdict=exchange.verdict, refusal=refusal
    )
