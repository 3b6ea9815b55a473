"""Controller that claims keyed requests and stores their outcomes for repeats."""

from __future__ import annotations

import asyncio
import logging
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import cbor2
from mode import Service
from result import Ok

from greengagelatch.claims import Token
from greengagelatch.claims.attempt import Action, Attempt
from greengagelatch.claims.operations import (
    Acquire,
    GiveBack,
    OperationResult,
    ResultKind,
)
from greengagelatch.claims.outage import Outage, create_policy
from greengagelatch.claims.outcome import Outcome, decode_outcome, encode_outcome
from greengagelatch.claims.refusals import (
    refuse_attempt,
    refuse_cancelled,
    refuse_expired,
    refuse_large_result,
    refuse_long_deadline,
)
from greengagelatch.claims.registry import AttemptRegistry
from greengagelatch.claims.sharding import create_digest, create_key
from greengagelatch.errors import Refusal
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from ..claims.committer import Committer
from ..claims.holders import OutcomeLookup
from . import Controller

if TYPE_CHECKING:
    import random

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.request import Request
    from greengagelatch.settings import Settings
    from greengagelatch.store import Store

    from ..metrics import Metrics

__all__ = ("ClaimsController", "Permit")

logger = logging.getLogger(__name__)

INCARNATION_BITS = 63
#: share of the retention within which a keyed request must end
MAX_DURATION_SHARE = 0.5
#: actions that still need time before the request can run
UNFINISHED = (Action.CHOOSE_CANDIDATES, Action.ACQUIRE, Action.STORE_UNREACHABLE)
#: concurrent runs whose callers have disconnected; further ones are cancelled
MAX_DETACHED_RUNS = 512
#: seconds between two removals of expired state
SWEEP_INTERVAL = 5.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to run a keyed request once; it must be settled."""

    token: Token
    key: bytes


class ClaimsController(Controller):
    """Ensures that a keyed request runs at most once, on whichever instance."""

    name = "claims"

    def __init__(
        self,
        *,
        store: Store,
        peers: PeerNetwork | None,
        clock: Clock,
        random_source: random.Random,
        settings: Settings,
        metrics: Metrics,
        instance_id: str,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        self._instance_id = instance_id
        # not from the seeded source: a restarted process would reuse the tokens of
        # earlier attempts and treat their claims as its own
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._serial = 0
        self._max_duration = settings["claims.retention"] * MAX_DURATION_SHARE
        self._drain_timeout: float = settings["drain.longest"]
        self._finish_detached: bool = settings["claims.finish"]
        #: runs whose callers have disconnected
        self._detached_runs: set[asyncio.Task[Answer]] = set()
        self._outcome_bytes: int = settings["claims.outcome_bytes"]
        self._policy = create_policy(settings["claims.store_down"])
        self._registry = AttemptRegistry(
            retention=settings["claims.retention"],
            max_records=settings["claims.records"],
            max_bytes=settings["claims.memory_bytes"],
        )
        self._holders = OutcomeLookup(
            registry=self._registry,
            peers=peers,
            clock=clock,
            metrics=metrics,
            instance_id=instance_id,
            incarnation=self._incarnation,
            handover_bytes=settings["claims.handover_bytes"],
        )
        self._committer = Committer(
            store=store,
            peers=peers,
            clock=clock,
            random_source=random_source,
            settings=settings,
            metrics=metrics,
            instance_id=instance_id,
        )

    async def claim(self, request: Request) -> Permit | Answer:
        """Claim the request's key, or return the answer to send without a run."""
        if request.deadline - self._clock.now() > self._max_duration:
            return self._refuse(request, refuse_long_deadline(self._max_duration))
        key = create_key(request.workspace, request.pipeline, request.key)
        digest = create_digest(request.digest)
        self._serial += 1
        token = Token(self._instance_id, self._incarnation, self._serial)
        attempt = self._begin(Acquire(key, digest, token))
        self._registry.open(token, key, digest, self._clock.now())
        try:
            attempt, answer = await self._advance(attempt, request)
        except BaseException:
            # the operation in progress may still be committed
            self._abandon(token, key, maybe_committed=True)
            raise
        now = self._clock.now()
        # after a pause of the process the deadline may have passed, and the caller
        # may have given up
        in_time = answer is None and now < request.deadline
        if in_time and self._registry.start(token, now):
            return Permit(token, key)
        self._abandon(token, key, maybe_committed=attempt.maybe_committed)
        return answer or self._refuse_late(attempt, request)

    def settle(self, permit: Permit, answer: Answer, verdict: Verdict) -> None:
        """Store the outcome of a run, or give its claim back if nothing ran."""
        outcome = Outcome(
            verdict=verdict.raise_to(answer.verdict),
            result=answer.result,
            refusal=answer.refusal,
        )
        self._settle(permit, outcome)

    def settle_cancelled(self, permit: Permit, verdict: Verdict) -> None:
        """Settle a run that was cancelled after its caller had disconnected."""
        self._settle(
            permit, Outcome(verdict=verdict, refusal=refuse_cancelled(verdict))
        )

    def detach(self, run: asyncio.Task[Answer]) -> None:
        """Finish a run whose caller has disconnected; its repeats get the result."""
        if not self._finish_detached or len(self._detached_runs) >= MAX_DETACHED_RUNS:
            run.cancel()
        else:
            self._metrics.count("claims.caller_left")
        self._detached_runs.add(run)
        run.add_done_callback(self._drop_detached)

    async def on_stop(self) -> None:
        """Finish runs, give-backs and writes, and hand over outcomes."""
        if self._detached_runs:
            await asyncio.wait(self._detached_runs, timeout=self._drain_timeout)
        await self._committer.close()
        taken = await self._holders.hand_over()
        logger.info(
            "handed over %d outcomes of keyed requests to other instances", taken
        )

    def dump(self) -> dict[str, Any]:
        open_attempts, closed_attempts = self._registry.counts
        return {
            "incarnation": f"{self._incarnation:016x}",
            "shards": self._committer.shards,
            "writing": list(self._committer.written_shards),
            "giving_back": self._committer.pending_give_backs,
            "runs_without_caller": len(self._detached_runs),
            "attempts_open": open_attempts,
            "attempts_closed": closed_attempts,
            "outcome_bytes": self._registry.size,
            "store_silent_for": self._committer.store_silent_for,
        }

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL)
            self._registry.expire(self._clock.now())
            self._committer.sweep()
            self._metrics.gauge("claims.outcome_bytes", self._registry.size)

    def _begin(self, operation: Acquire) -> Attempt:
        """Begin an attempt; a key that this process holds needs no store call."""
        attempt = Attempt(operation=operation)
        holder = self._registry.find_granted(operation.key)
        if holder is None:
            return attempt
        same = self._registry.find(holder).digest == operation.digest
        kind = ResultKind.HELD if same else ResultKind.KEY_REUSED
        return attempt.handle_result(OperationResult(kind, holder))

    async def _advance(
        self, attempt: Attempt, request: Request
    ) -> tuple[Attempt, Answer | None]:
        """Take the attempt to its last action; without an answer it may run."""
        while True:
            late = self._clock.now() >= request.deadline
            if late and attempt.action in UNFINISHED:
                return attempt, self._refuse_late(attempt, request)
            match attempt.action:
                case Action.CHOOSE_CANDIDATES:
                    candidates = await self._committer.find_candidates(
                        attempt.operation.key, request.deadline
                    )
                    attempt = attempt.handle_candidates(candidates)
                case Action.ACQUIRE:
                    result = await self._committer.commit(
                        attempt.candidate, attempt.operation, request.deadline
                    )
                    attempt = attempt.handle_result(result)
                case Action.ASK_HOLDER:
                    record = await self._holders.find(attempt.holder, request.deadline)
                    attempt = attempt.handle_holder(record)
                case Action.STORE_UNREACHABLE:
                    decision = self._policy.decide(self._describe_outage(request))
                    if isinstance(decision, Refusal):
                        return attempt, self._refuse(request, decision)
                    await asyncio.sleep(decision.delay)
                    attempt = attempt.restart()
                case Action.RUN:
                    return attempt, None
                case Action.REPLAY:
                    return attempt, self._replay(attempt, request)
                case action:
                    refusal = refuse_attempt(action, request.key)
                    return attempt, self._refuse(request, refusal)

    def _describe_outage(self, request: Request) -> Outage:
        now = self._clock.now()
        return Outage(
            first_attempt=request.first_attempt,
            elapsed=now - request.received,
            remaining=request.deadline - now,
            store_silent_for=self._committer.store_silent_for,
        )

    def _drop_detached(self, run: asyncio.Task[Answer]) -> None:
        self._detached_runs.discard(run)
        if not run.cancelled() and run.exception() is not None:
            logger.error(
                "run failed after its caller had disconnected: %r", run.exception()
            )

    def _settle(self, permit: Permit, outcome: Outcome) -> None:
        if outcome.verdict is Verdict.NOT_RUN:
            self._abandon(permit.token, permit.key, maybe_committed=True)
            return
        data = self._encode(outcome)
        self._registry.finish(permit.token, data, self._clock.now())
        self._holders.notify(permit.token)

    def _abandon(self, token: Token, key: bytes, *, maybe_committed: bool) -> None:
        """Close an attempt that never runs, and release its key if it may hold it."""
        self._registry.give_back(token, self._clock.now())
        self._holders.notify(token)
        if maybe_committed:
            self._committer.give_back(GiveBack(key, token))

    def _encode(self, outcome: Outcome) -> bytes:
        try:
            data = encode_outcome(outcome)
        except (cbor2.CBOREncodeError, ValueError) as error:
            logger.warning("outcome of a keyed request can't be encoded: %s", error)
        else:
            if len(data) <= self._outcome_bytes:
                return data
        self._metrics.count("claims.outcome_dropped")
        verdict = outcome.verdict
        return encode_outcome(
            Outcome(verdict=verdict, refusal=refuse_large_result(verdict))
        )

    def _replay(self, attempt: Attempt, request: Request) -> Answer:
        match decode_outcome(attempt.outcome):
            case Ok(outcome):
                self._metrics.count("claims.replayed")
                return outcome.to_answer(request.request_id)
        refusal = refuse_attempt(Action.REFUSE_UNSETTLED, request.key)
        return self._refuse(request, refusal)

    def _refuse_late(self, attempt: Attempt, request: Request) -> Answer:
        # a granted claim proves that no earlier attempt holds the key
        is_first = request.first_attempt or attempt.action is Action.RUN
        return self._refuse(request, refuse_expired(is_first))

    def _refuse(self, request: Request, refusal: Refusal) -> Answer:
        self._metrics.count(f"claims.refused_{refusal.code.value}")
        return Answer(
            request_id=request.request_id, verdict=refusal.verdict, refusal=refusal
        )
