"""Models of makers and engines in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING

from greengagelatch.relay.pieces import PieceFailure, PieceResult
from greengagelatch.relay.target_notices import NO_NOTICE, TargetNotice
from greengagelatch_entry.relay.codecs import TargetCodec
from greengagelatch_entry.relay.messages import OutboundRequest, ResponseHead
from greengagelatch_entry.relay.target_connections import NotSentError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Piece
    from greengagelatch_entry.relay.target_dialers import Destination

    from .network import ModelHost
    from .shapes import MakerShape, StageShape

__all__ = ("Engine", "Maker", "ModelCodec", "ModelConnections", "ResultTable")

#: bandwidth of a link, in bytes per second
LINK_BYTES_PER_SECOND = 10_000e6 / 8
#: one-way network latency between two processes, in seconds
ONE_WAY_SECONDS = 0.0006
#: seconds until a connection to an unreachable maker fails
CONNECT_TIMEOUT = 0.3
#: bytes of a call's frame, of each requested piece and of each result handle in it
CALL_BYTES = 250
PIECE_BYTES = 78
HANDLE_BYTES = 31
#: CPU seconds of one core to send a call, and the same again to read its response
CALL_CPU_SECONDS = 0.0006
#: relative jitter of a call's duration, in either direction
CALL_JITTER = 0.08
#: prefill rate of an engine, in prompt tokens per second
PREFILL_TOKENS_PER_SECOND = 41_400.0
#: seconds of one decode step of an engine
STEP_SECONDS = 0.006
#: seconds for which an engine caches a prompt part
PART_CACHE_SECONDS = 30.0


@dataclass(slots=True)
class StoredResult:
    """A result held in the memory of the maker that produced it."""

    maker: Maker
    size: int
    expires_at: float


@dataclass(slots=True)
class ResultTable:
    """All results in makers' memory by handle, with counts of their use."""

    held: dict[str, StoredResult] = field(default_factory=dict)
    #: bytes fetched from another data centre
    moved_bytes: float = 0.0
    #: results dropped without having been read
    unread: int = 0
    produced: int = 0
    read_handles: set[str] = field(default_factory=set)
    handle_numbers: count = field(default_factory=count)

    def drop(self, handle: str) -> None:
        """Remove a result and free its memory at the maker."""
        result = self.held.pop(handle, None)
        if result is None:
            return
        result.maker.used_bytes -= result.size
        if handle not in self.read_handles:
            self.unread += 1
        self.read_handles.discard(handle)

    def fetch(self, handles: tuple[str, ...], data_centre: str) -> float | None:
        """Return the seconds to fetch results; ``None`` if one no longer exists."""
        size = 0
        for handle in handles:
            result = self.held.get(handle)
            if result is None:
                return None
            size += result.size
            if result.maker.data_centre != data_centre:
                self.moved_bytes += result.size
        self.read_handles.update(handles)
        return size / LINK_BYTES_PER_SECOND


class Maker:
    """One maker: runs one call at a time and has limited memory for results."""

    def __init__(
        self,
        shape: MakerShape,
        address: str,
        data_centre: str,
        results: ResultTable,
        random_source: random.Random,
    ) -> None:
        self.shape = shape
        self.address = address
        self.data_centre = data_centre
        self.used_bytes = 0.0
        self.lost = False
        self.busy_seconds = 0.0
        self.calls = 0
        self.pieces = 0
        self._results = results
        self._random = random_source
        self._lock = asyncio.Lock()

    async def run(
        self,
        pieces: tuple[Piece, ...],
        remaining: tuple[float, ...],
        sizes: tuple[int, ...],
        duration_factors: tuple[float, ...],
    ) -> tuple[PieceResult, ...]:
        """Run pieces as one batch, after the calls queued before it.

        :param duration_factors: duration of each piece, in item times of its service
        """
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        async with self._lock:
            waited = loop.time() - arrived_at
            outcomes = [
                self._begin(piece, time_left - waited, size)
                for piece, time_left, size in zip(pieces, remaining, sizes, strict=True)
            ]
            fetching = sum(seconds for seconds, _ in outcomes)
            total = sum(
                factor
                for (_, failure), factor in zip(outcomes, duration_factors, strict=True)
                if failure is None
            )
            seconds = self.shape.call_seconds + total * self.shape.item_seconds
            seconds *= self._random.uniform(1 - CALL_JITTER, 1 + CALL_JITTER)
            await asyncio.sleep(fetching + seconds)
        self.busy_seconds += seconds
        self.calls += 1
        self.pieces += len(pieces)
        return tuple(
            self._finish(size) if failure is None else PieceResult(failure=failure)
            for (_, failure), size in zip(outcomes, sizes, strict=True)
        )

    def _begin(
        self, piece: Piece, time_left: float, size: int
    ) -> tuple[float, PieceFailure | None]:
        if time_left <= 0:
            return 0.0, PieceFailure.LATE
        if self.used_bytes + size > self.shape.result_memory_bytes:
            return 0.0, PieceFailure.ROOM
        seconds = self._results.fetch(piece.inputs, self.data_centre)
        if seconds is None:
            return 0.0, PieceFailure.GONE
        self.used_bytes += size
        return seconds, None

    def _finish(self, size: int) -> PieceResult:
        loop = asyncio.get_running_loop()
        handle = f"{self.address}/{next(self._results.handle_numbers)}"
        expires_at = loop.time() + self.shape.retention_seconds
        self._results.held[handle] = StoredResult(self, size, expires_at)
        self._results.produced += 1
        loop.call_at(expires_at, self._results.drop, handle)
        return PieceResult(handle=handle, data_centre=self.data_centre)


class Engine:
    """One engine: prefills one prompt at a time and caches prompt parts."""

    def __init__(self, target_id: str, data_centre: str, results: ResultTable) -> None:
        self.target_id = target_id
        self.data_centre = data_centre
        self.prefilled_tokens = 0.0
        self._results = results
        self._parts: dict[str, float] = {}
        self._prefill_lock = asyncio.Lock()

    async def prefill(
        self, inputs: tuple[str, ...], part: str, shared: int, own: int
    ) -> bool:
        """Prefill a prompt up to its first event; ``False`` if an input is missing."""
        seconds = self._results.fetch(inputs, self.data_centre)
        if seconds is None:
            return False
        loop = asyncio.get_running_loop()
        await asyncio.sleep(seconds + ONE_WAY_SECONDS)
        async with self._prefill_lock:
            kept = (
                self._parts.get(part, -PART_CACHE_SECONDS)
                > loop.time() - PART_CACHE_SECONDS
            )
            tokens = own if kept else own + shared
            self.prefilled_tokens += tokens
            await asyncio.sleep(tokens / PREFILL_TOKENS_PER_SECOND + STEP_SECONDS)
            self._parts[part] = loop.time()
        return True


@dataclass(slots=True)
class _Reply:
    """A maker's response, which needs no decoding."""

    results: tuple[PieceResult, ...]
    reused: bool = False

    def record_results(self, handles: Iterable[str]) -> bool:
        return True

    async def read(self, limit: int) -> tuple[PieceResult, ...]:
        return self.results

    def release(self) -> None:
        pass

    def abort(self) -> None:
        pass


class ModelConnections:
    """Connections that deliver calls to modelled makers.

    :param find_stage: returns the shape of the stage that a piece belongs to
    """

    def __init__(
        self,
        makers: dict[str, Maker],
        results: ResultTable,
        find_stage: Callable[[Piece], StageShape],
    ) -> None:
        self._makers = makers
        self._results = results
        self._find_stage = find_stage

    def on_host(self, host: ModelHost) -> ModelConnections:
        """Return these connections charged to the host of one instance."""
        return _HostConnections(self, host)

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close no connection, as none is kept."""

    async def send(
        self, destination: Destination, outbound: OutboundRequest, **_
    ) -> _Reply:
        """Execute a call and return its response."""
        address = destination.address
        maker = self._makers[address]
        if maker.lost:
            await asyncio.sleep(CONNECT_TIMEOUT)
            raise NotSentError(f"no connection to {address} within {CONNECT_TIMEOUT} s")
        await asyncio.sleep(ONE_WAY_SECONDS)
        if outbound.target == "free":
            for handle in outbound.body:
                self._results.drop(handle)
            return _Reply(())
        pieces, remaining = outbound.body
        stages = [self._find_stage(piece) for piece in pieces]
        results = await maker.run(
            pieces,
            remaining,
            tuple(stage.result_bytes for stage in stages),
            tuple(stage.duration_factor for stage in stages),
        )
        await asyncio.sleep(ONE_WAY_SECONDS)
        return _Reply(results)


class _HostConnections:
    """Connections whose calls use the CPU and the link of the sending instance."""

    def __init__(self, connections: ModelConnections, host: ModelHost) -> None:
        self._connections = connections
        self._host = host

    def close_idle(self, incarnation: Incarnation) -> None:
        self._connections.close_idle(incarnation)

    async def send(
        self, destination: Destination, outbound: OutboundRequest, **details
    ) -> _Reply:
        await self._host.work(CALL_CPU_SECONDS)
        await self._host.send(_estimate_size(outbound))
        reply = await self._connections.send(destination, outbound, **details)
        await self._host.work(CALL_CPU_SECONDS)
        return reply


def _estimate_size(outbound: OutboundRequest) -> int:
    """Estimate the encoded size of a call, in bytes."""
    if outbound.target == "free":
        return CALL_BYTES + len(outbound.body) * HANDLE_BYTES
    pieces, _ = outbound.body
    handles = sum(len(piece.inputs) for piece in pieces)
    return CALL_BYTES + len(pieces) * PIECE_BYTES + handles * HANDLE_BYTES


class ModelCodec(TargetCodec):
    """Passes objects through where a real codec encodes and decodes bytes."""

    def encode_request(self, request, call) -> OutboundRequest:
        raise NotImplementedError

    def encode_pieces(self, pieces, remaining, incarnation) -> OutboundRequest:
        return OutboundRequest(method="POST", target="run", body=(pieces, remaining))

    def encode_release(self, handles, incarnation) -> OutboundRequest:
        return OutboundRequest(method="POST", target="free", body=handles)

    def read_head(self, reply) -> ResponseHead:
        return ResponseHead(status=200, reason="OK")

    def read_notice(self, reply) -> TargetNotice:
        return NO_NOTICE

    def read_pieces(self, body, count, maker):
        return tuple(replace(one, maker=maker.incarnation) for one in body)

    def find_maker_address(self, handle: str) -> str:
        return handle.partition("/")[0]

    def read_event_id(self, event: bytes) -> int | None:
        return None
