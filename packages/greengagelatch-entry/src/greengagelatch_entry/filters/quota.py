"""Rate limiting: refuses requests that exceed the quota of their workspace."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from . import Exchange, Filter, Handler
from .lookup import SNAPSHOT_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.config.effects import Quota

    from ..controllers.quotas import QuotasController

__all__ = ("QuotaFilter",)

#: maximum characters of an invalid value that a refusal shows
MAX_SHOWN_CHARS = 64


class QuotaFilter(Filter):
    """Charges each request to its quota once, before or after its key is claimed.

    The chain contains this filter twice, before and after deduplication. A request
    without an idempotency key, or one that the caller declares to be a first attempt,
    is charged before deduplication, so that its refusal costs no write to the store.
    Any other request may be the retry of one that is running or has run, which is
    known only once its key is claimed. It is charged after deduplication, so that a
    retry gets the recorded answer even if the quota is exhausted. If it is refused
    there, its claim is released, as nothing ran.

    A request whose answer was replayed, or which was refused without having run, is
    refunded.

    :param after_claim: whether this filter comes after deduplication
    """

    def __init__(self, *, quotas: QuotasController, after_claim: bool) -> None:
        self._quotas = quotas
        self._after_claim = after_claim

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        request = exchange.request
        known_new = not request.key or request.first_attempt
        if known_new == self._after_claim:
            return await proceed(exchange)
        snapshot = exchange.context[SNAPSHOT_KEY]
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
            exchange.on_token = tokens.forward
        refundable = False
        try:
            answer = await proceed(exchange)
            verdict = exchange.verdict.raise_to(answer.verdict)
            refundable = answer.replayed or verdict is Verdict.NOT_RUN
            return answer
        finally:
            if refundable:
                self._quotas.refund(quota, workspace)
            elif tokens.count:
                self._quotas.charge_tokens(quota, workspace, tokens.count)


class _TokenCounter:
    """Counts the tokens that are sent to a caller."""

    def __init__(self, listener: Callable[[int, str], None] | None) -> None:
        self._listener = listener
        self.count = 0

    def forward(self, offset: int, text: str) -> None:
        self.count += 1
        if self._listener is not None:
            self._listener(offset, text)


def _refuse(exchange: Exchange, retry_after: float) -> Answer:
    request = exchange.request
    refusal = Refusal(
        code=RefusalCode.QUOTA,
        message="quota of the workspace exceeded",
        field="X-Workspace",
        value=request.workspace[:MAX_SHOWN_CHARS],
        retry_after_ms=max(1, math.ceil(retry_after * 1000)),
    )
    return Answer(
        request_id=request.request_id, verdict=exchange.verdict, refusal=refusal
    )
