"""A naive version of the system, which gives none of its guarantees under faults.

It uses round robin over the listed targets, retries after any error, answers matched
by the order of their arrival, deduplication in the memory of one process, last writer
wins, and a shutdown that does not drain. It is a baseline: keep it small, and don't fix
its faults.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import TYPE_CHECKING, Any

from greengagelatch.config.requests import NotApplied, Settled
from greengagelatch.config.snapshot import EMPTY_SNAPSHOT
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.identity import create_id
from greengagelatch.instances import InstanceState
from greengagelatch.request import Answer
from greengagelatch.store import WriteOutcome
from greengagelatch.verdict import Verdict
from greengagelatch_entry.filters.request_parser import RequestParser

from ..matrix.callers_server import SimulatedCallersServer
from ..matrix.instance import LoopClock
from ..matrix.objects import OBJECTS
from ..matrix.platform import RemoteInstanceList, RemoteStore
from ..matrix.serving import ServingInstance

if TYPE_CHECKING:
    from greengagelatch.config.objects import Stage
    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest
    from greengagelatch_entry.filters import Exchange

    from ..matrix.bench import Bench
    from ..matrix.connections import Connection

__all__ = ("NaiveInstance",)

KEY = "naive/configuration"
#: seconds between two refreshes of the instance list and of the configuration
INTERVAL = 2.0
#: timeout of one call to a target, in seconds
CALL_TIMEOUT = 1.5
PLATFORM_TIMEOUT = 2.0
ATTEMPTS = 4

STAGES = {
    pipeline.name: pipeline.stages
    for pipeline in OBJECTS
    if hasattr(pipeline, "stages")
}


class _FailedError(Exception):
    """A call to a target failed."""


class _Inbox:
    """Queue of the answers of one connection, in the order of their arrival."""

    def __init__(self) -> None:
        self._arrived: asyncio.Queue[tuple[int, str, bytes, bool]] = asyncio.Queue()

    def take(self, *answer: Any) -> None:
        self._arrived.put_nowait(answer)

    async def read(self) -> tuple[int, str, bytes, bool]:
        return await self._arrived.get()


class NaiveInstance(ServingInstance):
    """One entry instance of the naive version."""

    def __init__(self, bench: Bench, **place: Any) -> None:
        super().__init__(bench, **place)
        self._random = random.Random(self.seed)
        self._store = RemoteStore(
            store=bench.store, link=self.link, timeout=PLATFORM_TIMEOUT
        )
        self._list = RemoteInstanceList(
            instance_list=bench.instance_list, link=self.link, timeout=PLATFORM_TIMEOUT
        )
        self._targets: dict[str, list[str]] = {}
        self._turns = itertools.count()
        self._connections: dict[str, tuple[Connection, _Inbox]] = {}
        self._results: dict[str, Answer] = {}
        self._value: dict[str, Any] = {"generation": 0, "changes": []}
        self._tasks: list[asyncio.Task[Any]] = []
        clock = LoopClock()
        self.callers_server = self.process.run(
            lambda: SimulatedCallersServer(
                process=self.process,
                place=self.data_centre,
                network=bench.network,
                announcer=bench.announcer,
                markers=bench.markers,
                handler=self._handle,
                identifier=RequestParser(
                    clock=clock,
                    random_source=self._random,
                    snapshot=lambda: EMPTY_SNAPSHOT,
                ),
                clock=clock,
                draining=lambda: self.stopping,
            )
        )

    @property
    def generation(self) -> int:
        return self._value["generation"]

    @property
    def change_id(self) -> str:
        changes = self._value["changes"]
        return changes[-1] if changes else ""

    def list_changes(self) -> frozenset[str]:
        return frozenset(self._value["changes"])

    def start(self) -> None:
        self._tasks.append(self.process.spawn(self._refresh_forever()))
        self.process.deliver(self.callers_server.start_serving)

    def stop(self) -> None:
        self.stopping = True
        self._tasks.append(self.process.spawn(self._stop()))

    async def _stop(self) -> None:
        busy = self.callers_server.in_flight > 0
        await self.callers_server.on_stop()
        self.exit_code = int(busy)

    async def _refresh_forever(self) -> None:
        while True:
            listing = await self._list.fetch()
            if listing.is_ok():
                targets: dict[str, list[str]] = {}
                for row in listing.ok_value.instances:
                    if row.service and row.state is InstanceState.LIVE:
                        targets.setdefault(row.service, []).append(row.address)
                self._targets = targets
            found = await self._store.get(KEY)
            if found.is_ok() and found.ok_value is not None:
                self._value = json.loads(found.ok_value.value)
            await asyncio.sleep(INTERVAL)

    # changes

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        found = await self._store.get(KEY)
        if found.is_err():
            return NotApplied(message="reading the configuration from the store failed")
        value = {"generation": 0, "changes": []}
        if found.ok_value is not None:
            value = json.loads(found.ok_value.value)
        value["generation"] += 1
        value["changes"].append(request.change_id)
        # last writer wins: a concurrent write is overwritten
        newest = await self._store.get(KEY)
        expected = 0
        if newest.is_ok() and newest.ok_value is not None:
            expected = newest.ok_value.revision
        written = await self._store.swap(KEY, json.dumps(value).encode(), expected)
        if written.outcome is not WriteOutcome.APPLIED:
            return NotApplied(message="writing the configuration to the store failed")
        self._value = value
        return Settled(generation=value["generation"], head=None)

    # requests

    async def _handle(self, exchange: Exchange) -> Answer:
        request = exchange.request
        if request.key in self._results:
            return self._results[request.key]
        results: dict[str, Any] = {}
        for stage in STAGES[request.pipeline]:
            given = request.input
            if stage.inputs:
                given = {name: results[name] for name in stage.inputs}
            try:
                results[stage.name] = await self._run(exchange, stage, given)
            except _FailedError as error:
                return self._refuse(exchange, str(error))
        answer = Answer(
            request_id=request.request_id,
            verdict=Verdict.RAN,
            result=results[stage.name],
        )
        if request.key:
            self._results[request.key] = answer
        return answer

    async def _run(self, exchange: Exchange, stage: Stage, given: Any) -> Any:
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(CALL_TIMEOUT):
                    return await self._call(exchange, stage, given)
            except (TimeoutError, OSError, _FailedError):
                continue
        raise _FailedError(f"stage {stage.name} failed after {ATTEMPTS} attempts")

    async def _call(self, exchange: Exchange, stage: Stage, given: Any) -> Any:
        addresses = self._targets.get(stage.service)
        if not addresses:
            raise _FailedError(f"no target for service {stage.service}")
        address = addresses[next(self._turns) % len(addresses)]
        # removed while in use; put back even if an answer is still outstanding, which
        # the next call then takes for its own
        connection, inbox = self._connections.pop(address, (None, None))
        if connection is None:
            connection, inbox = await self.dialer.open(address), _Inbox()
        try:
            call = self._describe(exchange, stage, given)
            connection.send(lambda target, answer: target.serve(call, answer), inbox)
            return await self._read(exchange, stage, inbox)
        finally:
            self._connections[address] = (connection, inbox)

    def _describe(self, exchange: Exchange, stage: Stage, given: Any) -> dict[str, Any]:
        return {
            "attempt": create_id("attempt", self._random),
            "request": exchange.request.request_id,
            "stage": stage.name,
            "kind": stage.kind.value,
            "input": given,
            "stream": self._streams(exchange, stage),
            "resume_at": 0,
        }

    def _streams(self, exchange: Exchange, stage: Stage) -> bool:
        return stage.kind.value == "generate" and exchange.request.stream

    async def _read(self, exchange: Exchange, stage: Stage, inbox: _Inbox) -> Any:
        texts = []
        while True:
            status, _, data, last = await inbox.read()
            if status != 200:
                raise _FailedError(f"target answered with status {status}")
            if not data.startswith(b"event:"):
                if not data:
                    raise _FailedError("connection closed before the answer")
                return json.loads(data)["output"]
            if last:
                return "".join(texts)
            fields = json.loads(data.decode().split("data: ", 1)[1])
            texts.append(fields["text"])
            if self._streams(exchange, stage) and exchange.on_token is not None:
                exchange.on_token(fields["offset"], fields["text"])

    def _refuse(self, exchange: Exchange, message: str) -> Answer:
        refusal = Refusal(
            code=RefusalCode.STAGE_FAILED, message=message, retry_after_ms=500
        )
        return Answer(
            request_id=exchange.request.request_id,
            verdict=Verdict.NOT_RUN,
            refusal=refusal,
        )
