"""Simulated client-facing server of an entry instance, without sockets."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Err

from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict
from greengagelatch_entry.controllers import Controller
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.filters.request_parser import ReceivedRequest

from .network import Pipe
from .steps import Step

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from greengagelatch.clock import Clock
    from greengagelatch_entry.filters import Handler
    from greengagelatch_entry.filters.request_parser import RequestParser

    from .network import Network
    from .processes import SimulatedProcess
    from .steps import Announcer

__all__ = ("ClientAttempt", "SimulatedCallersServer")


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client on its own connection, with all that it received."""

    marker: str
    pipeline: str
    headers: Mapping[str, str]
    stream: bool
    place: str
    instance: str
    sent: float
    deadline: float
    request_id: str = ""
    tokens: list[tuple[int, str]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    answered: float | None = None
    #: whether the connection was refused, or reset before the response was complete
    refused: bool = False
    reset: bool = False
    #: set once the response is complete or the connection is lost
    over: asyncio.Event = field(default_factory=asyncio.Event)
    pipe: Pipe = field(default_factory=Pipe)

    @property
    def body(self) -> bytes:
        """The request body."""
        fields = {"input": {"marker": self.marker}, "stream": self.stream}
        return json.dumps(fields).encode()

    def record_token(self, offset: int, text: str) -> None:
        """Record a received token."""
        self.tokens.append((offset, text))

    def record_answer(self, answer: Answer) -> None:
        """Record the final response."""
        self.answers.append(answer)
        self.answered = asyncio.get_running_loop().time()
        self.over.set()

    def record_reset(self) -> None:
        """Record that the connection was reset."""
        self.reset = True
        self.over.set()


class SimulatedCallersServer(Controller):
    """Serves simulated clients; replaces ``CallersServer``."""

    name = "callers"

    def __init__(
        self,
        *,
        process: SimulatedProcess,
        place: str,
        network: Network,
        announcer: Announcer,
        markers: dict[str, str],
        handler: Handler,
        identifier: RequestParser,
        clock: Clock,
        draining: Callable[[], bool],
        **_adapter: Any,
    ) -> None:
        super().__init__()
        self.port = 0
        self.process = process
        self._place = place
        self._network = network
        self._announcer = announcer
        self._markers = markers
        self._handler = handler
        self._identifier = identifier
        self._clock = clock
        self._draining = draining
        self._listening = False
        self._open: dict[asyncio.Task[None], ClientAttempt] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listening and not self.process.killed

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._open)

    async def on_start(self) -> None:
        self.start_serving()

    def start_serving(self) -> None:
        """Accept connections."""
        self._listening = True

    async def close_listener(self) -> None:
        """Stop accepting connections."""
        self._listening = False

    async def wait_idle(self, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds until no request is in flight."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def on_stop(self) -> None:
        await self.close_listener()
        for task, attempt in list(self._open.items()):
            task.cancel()
            attempt.record_reset()
        await asyncio.gather(*self._open, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return {"in_flight": self.in_flight}

    def reset(self) -> None:
        """Reset all connections, as the operating system does for a dead process."""
        for attempt in self._open.values():
            attempt.pipe.carry(
                self._network.draw_latency(self._place, attempt.place),
                attempt.record_reset,
            )

    def accept(self, attempt: ClientAttempt) -> None:
        """Start serving a request that has arrived."""
        task = asyncio.create_task(self._serve(attempt))
        self._open[task] = attempt
        self._idle.clear()
        task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[None]) -> None:
        del self._open[task]
        if not self._open:
            self._idle.set()

    async def _serve(self, attempt: ClientAttempt) -> None:
        received = self._clock.now()
        request_id = self._identifier.create_request_id()
        attempt.request_id = request_id
        self._markers[request_id] = attempt.marker
        await self._announcer.announce_and_yield(
            Step.RECEIVED, attempt.marker, self.process
        )
        arrival = ReceivedRequest(
            request_id=request_id,
            pipeline=attempt.pipeline,
            headers=attempt.headers,
            body=attempt.body,
            received=received,
        )
        result = self._identifier.parse(arrival)
        if isinstance(result, Err):
            answer = Answer(
                request_id=request_id,
                verdict=Verdict.NOT_RUN,
                refusal=result.err_value,
            )
            self._send_to_client(attempt, attempt.record_answer, answer)
            return
        exchange = Exchange(request=result.ok_value)
        token_count = 0

        def record_token(offset: int, text: str) -> None:
            nonlocal token_count
            token_count += 1
            self._announce_token(attempt.marker, token_count)
            self._send_to_client(attempt, attempt.record_token, offset, text)

        if exchange.request.stream:
            exchange.on_token = record_token
        answer = await self._handler(exchange)
        await self._announcer.announce_and_yield(
            Step.ANSWERING, attempt.marker, self.process
        )
        if attempt.stream and not token_count and isinstance(answer.result, str):
            record_token(0, answer.result)
        self._send_to_client(attempt, attempt.record_answer, answer)
        await self._announcer.announce_and_yield(
            Step.ANSWERED, attempt.marker, self.process
        )

    def _announce_token(self, marker: str, token_count: int) -> None:
        step = {1: Step.FIRST_TOKEN, 3: Step.BETWEEN_TOKENS}.get(token_count)
        if step is not None:
            self._announcer.announce(step, marker, self.process)

    def _send_to_client(
        self, attempt: ClientAttempt, take: Callable[..., None], *arguments: Any
    ) -> None:
        """Send a token or the final response over the client's connection."""
        latency = self._network.draw_latency(self._place, attempt.place)

        def arrive() -> None:
            if not attempt.over.is_set():
                take(*arguments)

        attempt.pipe.carry(latency, arrive)
