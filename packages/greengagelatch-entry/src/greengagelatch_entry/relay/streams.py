"""Streaming requests, answered by a stream of events."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from greengagelatch.relay.engine_costs import EngineDemand
from greengagelatch.relay.outcomes import SendOutcome, SilenceDecision
from greengagelatch.relay.regions import is_allowed
from greengagelatch.relay.requests import Prompt

from ..soft_timeout import SoftTimeout, SoftTimeoutScope
from .event_order import EventOrder
from .event_splitter import EventSplitter, EventTooLargeError, has_data
from .input_fetch_timer import InputFetchTimer
from .messages import AttemptContext
from .prefill_tracker import PrefillTracker
from .runners import Runner
from .stage_rerun import StageRerun
from .target_responses import TargetResponseError
from .target_sender import (
    CRASH_BLAME_SECONDS,
    STATUS_CONFLICT,
    FailedSend,
    ReceivedResponse,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from .codecs import TargetCodec
    from .exchange import RelayExchange
    from .messages import ResponseHead
    from .stages import StageResults, StageRun, StageRunner
    from .stream_admission import StreamAdmission
    from .stream_version_exchange import StreamVersionExchange
    from .target_responses import EventHolding

__all__ = ("StreamRunner",)

#: maximum size in bytes of a forwarded error response
MAX_ERROR_BODY_BYTES = 1024 * 1024
#: soft timeout for the first event of a resumable stream, after which it fails over to
#: another target if it may: a fraction of the route's latency objective, and the
#: minimum in seconds
FIRST_EVENT_FACTOR = 0.9
MIN_FIRST_EVENT_TIMEOUT = 1.0
#: soft timeout between events: a multiple of the route's maximum event gap, and the
#: minimum in seconds
EVENT_GAP_FACTOR = 3.0
MIN_EVENT_GAP_TIMEOUT = 0.75
#: the same in seconds where the stages would have to be executed again, which may fail
MIN_RERUN_TIMEOUT = 1.5


class StreamRunner(Runner):
    """Runs the stages, then forwards the events of a target as they arrive.

    If the route allows it, an interrupted stream resumes at another target after the
    last complete event. The caller sees one response, with the head of the first.
    """

    def __init__(
        self,
        *,
        stages: StageRunner,
        codec: TargetCodec,
        admission: StreamAdmission,
        target_table: TargetTable,
        versions: StreamVersionExchange,
        **common,
    ) -> None:
        super().__init__(**common)
        self.target_table = target_table
        self.versions = versions
        self._admission = admission
        self._stages = stages
        self.codec = codec

    async def run(self, exchange: RelayExchange) -> None:
        exchange.software_version = await self.versions.find_version(exchange)
        self.budgets.record_request(exchange.service)
        self._check_targets(exchange)
        await self.versions.wait_for_record(exchange)
        first_seconds, total_seconds = self.times.estimate(exchange)
        run = self._stages.create_run(exchange, first_seconds, total_seconds)
        chain = run.estimate()
        excluded = self.versions.list_excluded(exchange, exchange.software_version)
        self.brittle.check_start(exchange, excluded, chain.total_wait + chain.work)
        self._admission.check_start(exchange, chain, first_seconds)
        try:
            exchange.step = "stages"
            results = await run.execute()
            self._admission.check_target(exchange)
            await self.pass_on(exchange, run, results)
        finally:
            run.free()

    def _check_targets(self, exchange: RelayExchange) -> None:
        """Refuse a request whose stages would be made for no target.

        :raises RefusedError: if the service has none that accepts requests
        """
        listed = self.target_table.list_service(exchange.service)
        if not any(
            is_allowed(one.data_centre, exchange.data_centres) for one in listed
        ):
            raise self.create_refusal(exchange, None)

    async def pass_on(
        self, exchange: RelayExchange, run: StageRun, results: StageResults
    ) -> None:
        """Send a request whose stages are complete, and forward its events."""
        await _Stream(self, exchange, run, results).serve()


class _Stream:
    """State of one stream to a caller."""

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
        self._rerun = StageRerun(run)
        self._prompt = exchange.request.prompt or Prompt()
        self._order = EventOrder(
            exchange.request, codec=runner.codec, decisions=runner.decisions
        )
        self._first_event_seen = False
        self._parts_survived = False
        #: targets to which the request is not sent again
        self._excluded: frozenset[Incarnation] = frozenset()
        #: those of them that were left as they were silent
        self._silent: frozenset[Incarnation] = frozenset()
        #: software version that began the stream; ``None``: it has not begun
        self._software_version = exchange.software_version
        #: whether results were released that another target would have to fetch
        self._inputs_released = False
        self._sent_at = 0.0
        #: monotonic time in seconds of the first event of the current attempt
        self._first_event_at: float | None = None
        #: the same of its last event
        self._last_event_at = 0.0
        #: seconds for which the caller has received events, without silences
        self._streamed_seconds = 0.0

    async def serve(self) -> None:
        """Send until the stream is complete or no further retry is allowed."""
        try:
            await self._serve()
        finally:
            await self._rerun.discard()

    async def _serve(self) -> None:
        exchange, runner = self._exchange, self._runner
        last: FailedSend | None = None
        while True:
            if self._run.is_lost(self._results):
                await self._rerun_stages()
            refusal = await runner.brittle.wait(exchange, self._list_excluded())
            if refusal is not None:
                break
            async with runner.suspects.admit(exchange):
                target = self._choose()
                if target is None and self._silent:
                    # nothing else is left, and they may go on by now
                    self._excluded -= self._silent
                    self._silent = frozenset()
                    target = self._choose()
                if target is None:
                    break
                last = await self._attempt(target)
            if last is None:
                return
            lost = self._run.is_lost(self._results)
            is_at_fault = not lost or last.outcome is not SendOutcome.UNSENT
            if is_at_fault and not last.path_lost:
                self._excluded |= {target.incarnation}
            if last.silent:
                self._silent |= {target.incarnation}
            if not self._order.position.is_known:
                # its caller knows better where to go on
                runner.record_no_retry(exchange, last.outcome, "position")
                break
            if not runner.may_retry(exchange, last.outcome):
                break
            if last.status == STATUS_CONFLICT or self._inputs_released:
                # another target has to fetch the results again
                await self._rerun_stages()
        raise refusal or runner.create_refusal(exchange, last)

    async def _rerun_stages(self) -> None:
        self._exchange.step = "stages"
        self._results = await self._rerun.finish()
        self._inputs_released = False

    def _choose(self) -> ListedTarget | None:
        need = EngineDemand(
            self._prompt,
            self._results.bytes_by_data_centre,
            self._exchange.data_centres,
            self._exchange.route.repeatable,
            self._runner.may_send_again(self._exchange),
        )
        fleet, now = self._runner.load_balancer, self._runner.clock.now()
        excluded = self._list_excluded()
        return fleet.choose_engine(self._exchange.service, need, excluded, now)

    def _list_excluded(self) -> frozenset[Incarnation]:
        """Return the targets that the request is not sent to."""
        return self._excluded | self._runner.versions.list_excluded(
            self._exchange, self._software_version
        )

    async def _attempt(self, target: ListedTarget) -> FailedSend | None:
        """Send once and forward events; return ``None`` if the response is complete."""
        runner, exchange = self._runner, self._exchange
        runner.check_stop(exchange)
        left = runner.find_remaining(exchange)
        if left <= 0:
            return FailedSend(SendOutcome.UNSENT, "deadline exceeded")
        call = AttemptContext(
            incarnation=target.incarnation,
            remaining=left,
            workspace=exchange.workspace,
            resume_after=self._order.position.last_event_id,
            inputs=self._results.inputs,
        )
        now = runner.clock.now()
        tokens = runner.load_balancer.count_tokens(
            target.incarnation, self._prompt, now
        )
        self._sent_at = now
        self._first_event_at = None
        self._order.begin_attempt(target)
        if exchange.route.resumable:
            # its caller may return to another instance
            request_id = exchange.request.request_id
            if not await runner.versions.record_send(request_id, target):
                reason = "an instance that knows a former version was not reached"
                return FailedSend(SendOutcome.UNSENT, reason)
        prefill = PrefillTracker(runner.load_balancer, target.incarnation, tokens, now)
        fetch_timer = InputFetchTimer(lambda: self._release_fetched_inputs(target))
        try:
            result = await runner.sender.send(
                exchange,
                target,
                call,
                timeout=left,
                soft_timeout=self._create_soft_timeout(target),
                fresh=not exchange.route.repeatable,
                may_send=lambda: fetch_timer.start(
                    not self._run.is_lost(self._results)
                ),
            )
            if isinstance(result, FailedSend):
                return result
            return await self._forward_response(target, result, prefill)
        finally:
            fetch_timer.cancel()
            prefill.end()

    def _release_fetched_inputs(self, target: ListedTarget) -> None:
        """Release the inputs that the target has fetched, before its first event.

        An engine fetches the inputs of a request when it schedules it, and responds
        only after the prefill of its prompt and of those ahead. Holding the results
        until then would take memory that their makers need for other requests.
        """
        now = self._runner.clock.now()
        if not self._runner.load_balancer.has_free_slots(target, now):
            return
        self._inputs_released = True
        self._run.free()

    async def _forward_response(
        self, target: ListedTarget, received: ReceivedResponse, prefill: PrefillTracker
    ) -> FailedSend | None:
        response = received.response
        try:
            if not received.head.succeeded:
                return await self._forward_error(target, received)
            await self._forward_events(target, received, prefill)
        except TargetResponseError as error:
            response.abort()
            ran_seconds = self._find_ran_seconds()
            return self._runner.sender.record_lost_response(
                self._exchange, target, error, ran_seconds
            )
        except BaseException:
            response.abort()
            raise
        response.release()
        self._runner.load_balancer.record_success(target.incarnation)
        self._runner.sender.record_survival(self._exchange, target)
        self._record_part_survival()
        self._exchange.outcome = "answered"
        return None

    async def _forward_events(
        self, target: ListedTarget, received: ReceivedResponse, prefill: PrefillTracker
    ) -> None:
        holding = received.response.open_events()
        try:
            await self._forward_ordered(target, received, prefill, holding)
        finally:
            holding.release()

    async def _forward_ordered(
        self,
        target: ListedTarget,
        received: ReceivedResponse,
        prefill: PrefillTracker,
        holding: EventHolding,
    ) -> None:
        splitter = EventSplitter()
        writer = self._exchange.writer
        chunks = received.response.iterate()
        while True:
            data = await self._read_chunk(target, received, chunks)
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLargeError as error:
                raise TargetResponseError(str(error)) from error
            holding.resize(splitter.pending)
            ordered = self._order.select(events)
            if ordered:
                if any(map(has_data, ordered)):
                    self._handle_first_event(target, prefill)
                self._record_progress()
                if not writer.started:
                    self._exchange.status = received.head.status
                    await writer.begin(received.head)
                await writer.write(b"".join(ordered))
            if len(ordered) < len(events):
                raise TargetResponseError("the ids of events don't increase")
        if splitter.pending:
            raise TargetResponseError(
                "stream ended in the middle of an event", broken=True
            )
        if self._first_event_at is None and not received.response.is_framed:
            # a process that is killed closes its connections in good order, too
            raise TargetResponseError(
                "connection closed before the first event", broken=True
            )
        if not writer.started:
            await writer.begin(received.head)
        await writer.finish()
        self._runner.times.record_total(
            self._exchange, self._runner.clock.now() - self._sent_at
        )

    async def _read_chunk(
        self,
        target: ListedTarget,
        received: ReceivedResponse,
        chunks: AsyncIterator[bytes],
    ) -> bytes | None:
        left = self._runner.find_remaining(self._exchange)
        end = asyncio.get_running_loop().time() + max(0.0, left)
        soft_timeout = self._create_soft_timeout(target)
        try:
            async with SoftTimeoutScope(
                end, soft_timeout, received.response.is_path_lost
            ):
                chunk = await anext(chunks, None)
        except TimeoutError:
            raise TargetResponseError(
                "timed out waiting for the next event",
                path_lost=received.response.is_path_lost(),
                silent=True,
                endured=soft_timeout is not None and soft_timeout.endured,
            ) from None
        await self._rerun.discard()
        return chunk

    def _handle_first_event(
        self, target: ListedTarget, prefill: PrefillTracker
    ) -> None:
        runner = self._runner
        now = runner.clock.now()
        if not prefill.record_first_event(now):
            return
        self._first_event_at = self._last_event_at = now
        runner.times.record_first_part(self._exchange, now - self._sent_at)
        runner.load_balancer.record_cached_parts(target.incarnation, self._prompt, now)
        self._first_event_seen = self._inputs_released = True
        if self._software_version is None:
            self._software_version = target.software_version
        # the target has fetched the stage results; release their makers' memory
        self._run.free()

    def _record_part_survival(self) -> None:
        if self._first_event_at is not None and not self._parts_survived:
            self._parts_survived = True
            begun_at = self._first_event_at
            self._runner.sender.record_part_survival(self._exchange, begun_at)

    def _record_progress(self) -> None:
        now = self._exchange.sent_at = self._runner.clock.now()
        if self._first_event_at is None:
            # nothing but comments so far
            return
        if now - self._first_event_at >= CRASH_BLAME_SECONDS:
            self._record_part_survival()
        pause = now - self._last_event_at
        self._streamed_seconds += min(pause, self._exchange.route.longest_pause)
        self._last_event_at = now

    async def _forward_error(
        self, target: ListedTarget, received: ReceivedResponse
    ) -> FailedSend | None:
        head: ResponseHead = received.head
        body = await self._read_error(received)
        received.response.release()
        self._runner.sender.record_survival(self._exchange, target)
        self._runner.load_balancer.record_failure(
            target.incarnation, self._runner.clock.now()
        )
        exchange = self._exchange
        if exchange.writer.started:
            return FailedSend(SendOutcome.FAILED, f"status {head.status} on resumption")
        exchange.status = head.status
        exchange.outcome = "failed"
        await exchange.writer.send(head.status, head.headers, body, reason=head.reason)
        return None

    async def _read_error(self, received: ReceivedResponse) -> bytes:
        left = self._runner.find_remaining(self._exchange)
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await received.response.read(MAX_ERROR_BODY_BYTES)
        except TimeoutError:
            raise TargetResponseError("timed out reading an error response") from None

    def _find_ran_seconds(self) -> float:
        """Return for how many seconds the target has been sending events."""
        if self._first_event_at is None:
            return 0.0
        return self._runner.clock.now() - self._first_event_at

    def _create_soft_timeout(self, target: ListedTarget) -> SoftTimeout | None:
        exchange = self._exchange
        route = exchange.route
        if not route.resumable or not self._order.position.is_known:
            return None
        if self._first_event_seen:
            seconds = max(MIN_EVENT_GAP_TIMEOUT, route.longest_pause * EVENT_GAP_FACTOR)
            if self._needs_rerun():
                seconds = max(seconds, MIN_RERUN_TIMEOUT)
        else:
            seconds = max(MIN_FIRST_EVENT_TIMEOUT, route.objective * FIRST_EVENT_FACTOR)
        return SoftTimeout(
            seconds=seconds,
            may_leave=partial(self._may_leave, target),
        )

    def _may_leave(self, target: ListedTarget, asked: bool, path_lost: bool) -> bool:
        """Return whether to leave a silent target; see :meth:`Runner.may_leave`."""
        if not self._may_rerun_stages():
            decision = SilenceDecision.NO_STAGES
        elif not self._runner.may_leave(
            self._exchange,
            target,
            self._list_excluded(),
            self._estimate_retry(),
            asked,
            path_lost,
        ):
            return False
        elif not self._needs_rerun() or self._rerun.is_ready:
            return True
        else:
            self._rerun.begin()
            decision = SilenceDecision.STAGES_FIRST
        if not asked:
            self._runner.record_silence(self._exchange, target, decision, path_lost)
        return False

    def _may_rerun_stages(self) -> bool:
        """Return whether another target could get the stage results that it needs."""
        if not self._needs_rerun() or self._rerun.is_begun:
            return True
        return self._run.may_execute_again()

    def _estimate_retry(self) -> float:
        """Return the seconds in which another engine would complete the stream."""
        first_seconds, total_seconds = self._runner.times.estimate(self._exchange)
        rest = total_seconds - first_seconds - self._streamed_seconds
        return first_seconds + max(0.0, rest)

    def _needs_rerun(self) -> bool:
        """Return whether another target would need stage results that are released."""
        return self._inputs_released and bool(self._results.inputs)
