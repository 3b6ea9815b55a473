"""Requests that are answered by a stream of events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.admission import RequestEstimate
from greengagelatch.relay.load_balancer import EngineDemand
from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.relay.requests import Prompt

from .event_split import EventSplitter
from .input_fetch import InputFetch
from .links import LinkError
from .messages import RelayCall
from .refusals import create_error
from .runners import Runner
from .sending import STATUS_CONFLICT, Answered, Unanswered

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from greengagelatch.relay.admission import RouteAdmission
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.targets import ListedTarget

    from .codecs import TargetCodec
    from .exchange import RelayExchange
    from .messages import AnswerHead
    from .run_times import RunTimes
    from .stages import StageResults, StageRun, StageRunner

__all__ = ("StreamRunner",)

#: largest failure answer that is passed on whole
MAX_FAILURE_BYTES = 1024 * 1024
#: share of the route's objective without a first event after which a stream that
#: can be resumed is tried elsewhere, and the least such time in seconds
FIRST_EVENT_SHARE = 0.9
LEAST_FIRST_EVENT = 1.0
#: the same between events, as a multiple of the longest pause that is on time
PAUSE_FACTOR = 3.0
LEAST_PAUSE = 0.75


class StreamRunner(Runner):
    """Makes the stages, then passes a target's events on as they arrive.

    A stream that breaks off goes on at another target after the last whole event,
    if its route allows that; the caller sees one answer with the first one's head.
    """

    def __init__(
        self,
        *,
        stages: StageRunner,
        codec: TargetCodec,
        times: RunTimes,
        admission: RouteAdmission,
        **common,
    ) -> None:
        super().__init__(**common)
        self._admission = admission
        self._stages = stages
        self.codec = codec
        self.times = times

    async def run(self, exchange: RelayExchange) -> None:
        self.budgets.note_request(exchange.service)
        first, whole = self.times.estimate(exchange)
        run = self._stages.begin(exchange, first, whole)
        self._check_admission(exchange, run, first)
        try:
            results = await run.make()
            await self.pass_on(exchange, run, results)
        finally:
            run.free()

    async def pass_on(
        self, exchange: RelayExchange, run: StageRun, results: StageResults
    ) -> None:
        """Send a request whose stages are made, and pass its events on."""
        await _Stream(self, exchange, run, results).serve()

    def _check_admission(
        self, exchange: RelayExchange, run: StageRun, first: float
    ) -> None:
        """Refuse at once what should not be begun now."""
        chain = run.estimate()
        work = chain.work + first
        route = exchange.route
        elapsed = self.clock.now() - exchange.request.received
        estimate = RequestEstimate(
            total_wait=chain.total_wait,
            urgent_wait=chain.urgent_wait,
            service_time=work,
            remaining=exchange.first_deadline - self.clock.now(),
            objective_remaining=route.objective - exchange.waited - elapsed,
            elapsed_share=exchange.waited / route.timeout if route.timeout else 0.0,
        )
        decision = self._admission.decide(estimate)
        if decision.admitted:
            return
        raise create_error(
            exchange,
            RefusalCode.OVERLOADED,
            f"{decision.reason}: {estimate.urgent_wait:.1f} of"
            f" {estimate.total_wait:.1f} s"
            f" of queue,"
            f" {work:.1f} s of work, {estimate.remaining:.1f} s left",
            retry_after=decision.retry_after,
        )


class _Stream:
    """One stream on its way to the caller."""

    def __init__(
        self,
        runner: StreamRunner,
        exchange: RelayExchange,
        run: StageRun,
        results: StageResults,
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._run = run
        self._results = results
        self._prompt = exchange.request.prompt or Prompt()
        self._last_id = exchange.request.resume_after
        self._begun = False
        #: whether results were freed that another target would have to read
        self._freed = False
        self._sent_at = 0.0
        #: when the first event of the send under way came
        self._begun_at: float | None = None

    async def serve(self) -> None:
        """Send until the stream is whole, or may not go on."""
        exchange, runner = self._exchange, self._runner
        excluded: frozenset[Incarnation] = frozenset()
        last: Unanswered | None = None
        while True:
            if self._run.is_lost(self._results):
                await self._make_again()
            target = self._choose(excluded)
            if target is None:
                break
            runner.check_hold(exchange)
            last = await self._try(target)
            if last is None:
                return
            lost = self._run.is_lost(self._results)
            if not lost or last.outcome is not SendOutcome.UNSENT:
                excluded |= {target.incarnation}
            if not runner.may_repeat(exchange, last.outcome):
                break
            if last.status == STATUS_CONFLICT or self._freed:
                # another target reads them anew
                await self._make_again()
        raise runner.create_refusal(exchange, last)

    async def _make_again(self) -> None:
        self._run.free()
        self._freed = False
        self._results = await self._run.make()

    def _choose(self, excluded: frozenset[Incarnation]) -> ListedTarget | None:
        need = EngineDemand(self._prompt, self._results.bytes_by_data_centre)
        fleet, now = self._runner.fleet, self._runner.clock.now()
        return fleet.choose_engine(self._exchange.service, need, excluded, now)

    async def _try(self, target: ListedTarget) -> Unanswered | None:
        """Send once and pass events on; ``None`` if the answer is complete."""
        runner, exchange = self._runner, self._exchange
        left = runner.find_left(exchange)
        if left <= 0:
            return Unanswered(SendOutcome.UNSENT, "deadline over")
        call = RelayCall(
            incarnation=target.incarnation,
            remaining=left,
            workspace=exchange.workspace,
            resume_after=self._last_id,
            inputs=self._results.inputs,
        )
        now = runner.clock.now()
        tokens = runner.fleet.count_tokens(target.incarnation, self._prompt, now)
        self._sent_at = now
        self._begun_at = None
        reading = _Reading(runner.fleet, target.incarnation, tokens)
        fetching = InputFetch(lambda: self._note_fetched(target))
        try:
            result = await runner.sender.send(
                exchange,
                target,
                call,
                timeout=self._choose_first_patience(left),
                fresh=not exchange.route.retryable,
                may_send=lambda: fetching.begin(not self._run.is_lost(self._results)),
            )
            if isinstance(result, Unanswered):
                return result
            return await self._pass_on(target, result, reading)
        finally:
            fetching.end()
            reading.end()

    def _note_fetched(self, target: ListedTarget) -> None:
        """Free what the target has fetched by now, although it is still to begin.

        An engine fetches a request's inputs as it takes the request in, and begins to
        answer after its prompt and those before it: for that long results filled the
        room that their makers need for others.
        """
        now = self._runner.clock.now()
        if not self._runner.fleet.has_free_slots(target, now):
            return
        self._freed = True
        self._run.free()

    async def _pass_on(
        self, target: ListedTarget, answered: Answered, reading: _Reading
    ) -> Unanswered | None:
        reply = answered.reply
        try:
            if not answered.head.succeeded:
                return await self._pass_failure(target, answered)
            await self._pass_events(target, answered, reading)
        except LinkError as error:
            reply.abort()
            ran = self._find_ran()
            return self._runner.sender.note_lost(self._exchange, target, error, ran)
        except BaseException:
            reply.abort()
            raise
        reply.release()
        self._runner.fleet.record_success(target.incarnation)
        self._runner.sender.note_survived(self._exchange, target)
        self._exchange.outcome = "answered"
        return None

    async def _pass_events(
        self, target: ListedTarget, answered: Answered, reading: _Reading
    ) -> None:
        splitter = EventSplitter()
        writer = self._exchange.writer
        chunks = answered.reply.iterate()
        while True:
            data = await self._read_chunk(chunks)
            if data is None:
                break
            events = splitter.feed(data)
            if not events:
                continue
            self._note_begun(target, reading)
            if not writer.started:
                self._exchange.status = answered.head.status
                await writer.begin(answered.head)
            for event in events:
                event_id = self._runner.codec.read_event_id(event)
                if event_id is not None:
                    self._last_id = event_id
            await writer.write(b"".join(events))
        if splitter.pending:
            raise LinkError("stream ended within an event", broken=True)
        if not writer.started:
            await writer.begin(answered.head)
        await writer.finish()
        self._runner.times.note_whole(
            self._exchange, self._runner.clock.now() - self._sent_at
        )

    async def _read_chunk(self, chunks: AsyncIterator[bytes]) -> bytes | None:
        left = self._runner.find_left(self._exchange)
        patience = min(left, self._choose_pause())
        try:
            async with asyncio.timeout(max(0.0, patience)):
                return await anext(chunks, None)
        except TimeoutError:
            raise LinkError("no further event in time") from None

    def _note_begun(self, target: ListedTarget, reading: _Reading) -> None:
        if not reading.note_begun():
            return
        runner = self._runner
        now = runner.clock.now()
        self._begun_at = now
        runner.times.note_first(self._exchange, now - self._sent_at)
        runner.fleet.record_cached_parts(target.incarnation, self._prompt, now)
        self._begun = self._freed = True
        # the target has read the stages' results; their makers need the room
        self._run.free()

    async def _pass_failure(
        self, target: ListedTarget, answered: Answered
    ) -> Unanswered | None:
        head: AnswerHead = answered.head
        body = await answered.reply.read(MAX_FAILURE_BYTES)
        answered.reply.release()
        self._runner.sender.note_survived(self._exchange, target)
        self._runner.fleet.record_failure(target.incarnation, self._runner.clock.now())
        exchange = self._exchange
        if exchange.writer.started:
            return Unanswered(SendOutcome.FAILED, f"status {head.status} on resuming")
        exchange.status = head.status
        exchange.outcome = "failed"
        await exchange.writer.send(head.status, head.headers, body, reason=head.reason)
        return None

    def _find_ran(self) -> float:
        """Return for how long the target has been sending events."""
        if self._begun_at is None:
            return 0.0
        return self._runner.clock.now() - self._begun_at

    def _choose_first_patience(self, left: float) -> float:
        if not self._may_go_elsewhere():
            return left
        patience = self._exchange.route.objective * FIRST_EVENT_SHARE
        return min(left, max(LEAST_FIRST_EVENT, patience))

    def _choose_pause(self) -> float:
        left = self._runner.find_left(self._exchange)
        if not self._may_go_elsewhere():
            return left
        if not self._begun:
            return self._choose_first_patience(left)
        return max(LEAST_PAUSE, self._exchange.route.longest_pause * PAUSE_FACTOR)

    def _may_go_elsewhere(self) -> bool:
        route = self._exchange.route
        sent = len(set(self._exchange.targets))
        return route.resumable and sent <= route.max_attempts - 1


class _Reading:
    """Counts a request at its engine: first as a prompt to read, then as running."""

    def __init__(
        self, fleet: LoadBalancer, incarnation: Incarnation, tokens: float
    ) -> None:
        self.fleet = fleet
        self._incarnation = incarnation
        self._tokens = tokens
        self._reading = True
        fleet.start(incarnation, tokens)

    def note_begun(self) -> bool:
        """Take in the first event; whether it was the first."""
        if not self._reading:
            return False
        self._reading = False
        self.fleet.finish_prefill(self._incarnation, self._tokens)
        return True

    def end(self) -> None:
        """Take in the end of the send."""
        self.note_begun()
        self.fleet.finish(self._incarnation)
