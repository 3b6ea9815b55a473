"""Clients that send a request and retry it where that is safe."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.verdict import Verdict

from .callers_server import ClientAttempt
from .objects import BOOKING, DRAFT, WORKSPACE

if TYPE_CHECKING:
    from .bench import Bench
    from .serving import ServingInstance

__all__ = ("Client", "ClientRequest")

#: seconds after the deadline at which a client stops waiting; a response that
#: arrives later is still recorded
RESPONSE_GRACE_SECONDS = 0.7
#: maximum number of attempts of one request, the first included
MAX_ATTEMPTS = 4
#: seconds until a client retries after its connection was refused or reset
RETRY_DELAY_SECONDS = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientRequest:
    """A request that a client wants answered."""

    marker: str
    pipeline: str = DRAFT
    #: whether an ``Idempotency-Key`` is sent; a request without one is retried only
    #: if it was not run
    keyed: bool = False
    stream: bool = True
    #: seconds from sending to the deadline
    budget: float = 6.0
    key_suffix: str = ""
    #: whether the first attempt carries ``X-First-Attempt``
    marks_first_attempt: bool = True

    @property
    def key(self) -> str:
        """The idempotency key."""
        return f"key-{self.marker}{self.key_suffix}"

    @property
    def repeatable(self) -> bool:
        """Whether its stages are idempotent and may run twice."""
        return self.pipeline != BOOKING


@dataclass(slots=True)
class Client:
    """A client with one request, and its attempts."""

    bench: Bench
    request: ClientRequest
    attempts: list[ClientAttempt] = field(default_factory=list)

    async def run(self, instances: list[ServingInstance]) -> None:
        """Send the request, and retry it at the next instances where that is safe."""
        for number in range(MAX_ATTEMPTS):
            instance = self._choose_instance(instances, number)
            attempt = self._create_attempt(instance, number)
            self.attempts.append(attempt)
            self.bench.attempts.append(attempt)
            self.bench.send(attempt, instance)
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    self.request.budget + RESPONSE_GRACE_SECONDS
                ):
                    await attempt.over.wait()
            pause = self._find_retry_delay(attempt)
            if pause is None:
                return
            await asyncio.sleep(pause)

    def _choose_instance(
        self, instances: list[ServingInstance], number: int
    ) -> ServingInstance:
        for step in range(len(instances)):
            instance = instances[(number + step) % len(instances)]
            if instance.callers_server.listening:
                return instance
        return instances[number % len(instances)]

    def _create_attempt(self, instance: ServingInstance, number: int) -> ClientAttempt:
        request = self.request
        headers = {
            "X-Workspace": WORKSPACE,
            "X-Deadline-Ms": str(int(request.budget * 1000)),
        }
        if not request.repeatable:
            headers["X-Repeatable"] = "no"
        if request.keyed:
            headers["Idempotency-Key"] = request.key
        if request.keyed and request.marks_first_attempt and number == 0:
            headers["X-First-Attempt"] = "yes"
        now = asyncio.get_running_loop().time()
        return ClientAttempt(
            marker=request.marker,
            pipeline=request.pipeline,
            headers=headers,
            stream=request.stream,
            place=instance.data_centre,
            instance=instance.name,
            sent=now,
            deadline=now + request.budget,
        )

    def _find_retry_delay(self, attempt: ClientAttempt) -> float | None:
        """Return the seconds until the next attempt, or ``None`` to stop."""
        if attempt.refused:
            return RETRY_DELAY_SECONDS
        if not attempt.answers:
            return RETRY_DELAY_SECONDS if self.request.keyed else None
        refusal = attempt.answers[0].refusal
        if refusal is None or refusal.retry_after_ms is None:
            return None
        if attempt.answers[0].verdict is Verdict.NOT_RUN or self.request.keyed:
            return refusal.retry_after_ms / 1000
        return None
