"""Models of targets: engines with continuous batching, and worker pools."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from greengagelatch.targets import Target
from greengagelatch.targets.directory import LoadReport

from .events import EventClock

__all__ = ("EngineModel", "EngineRule", "ModelCall", "PoolModel", "TargetModel", "Work")

#: capacity of a target's queue; calls beyond it are refused as not run
QUEUE_BOUND = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """The demand of one stage of a request on its target."""

    #: service time of a worker in seconds, for pools
    seconds: float = 0.0
    #: number of tokens to generate, for engines
    tokens: int = 0
    prefix: str = ""


@dataclass(slots=True, eq=False, kw_only=True)
class ModelCall:
    """A call that a target has received."""

    work: Work
    priority: int
    on_done: Callable[[], None]
    #: called if the target fails with the call queued or running
    on_disconnect: Callable[[], None]
    on_first_token: Callable[[], None] = lambda: None
    ended: bool = False
    #: whether the entry instance used its answer
    answered: bool = False
    generated_tokens: int = 0
    #: seconds of target time consumed so far
    cost: float = 0.0


class TargetModel(ABC):
    """Base of the models of targets; ``slow`` multiplies all service times."""

    def __init__(self, target: Target, clock: EventClock, capacity: int) -> None:
        self.target = target
        self.clock = clock
        self.capacity = capacity
        self.slow = 1.0
        #: refuses connections; its calls were disconnected
        self.dead = False
        #: no longer answers any call, as in a network partition
        self.silent = False
        self.active: list[ModelCall] = []
        self.waiting: list[tuple[int, int, ModelCall]] = []
        self._order = count()

    @property
    def reachable(self) -> bool:
        """Whether the target answers calls."""
        return not (self.dead or self.silent)

    def submit(self, call: ModelCall) -> bool:
        """Enqueue a call; ``False`` if the queue is full."""
        if len(self.waiting) >= QUEUE_BOUND:
            self.waiting = [entry for entry in self.waiting if not entry[2].ended]
            heapq.heapify(self.waiting)
        if len(self.waiting) >= QUEUE_BOUND:
            return False
        entry = (self.rank(call), next(self._order), call)
        heapq.heappush(self.waiting, entry)
        self.start_waiting()
        return True

    def cancel(self, call: ModelCall) -> None:
        """Cancel a call."""
        call.ended = True

    def kill(self) -> None:
        """Fail the target and disconnect all its calls."""
        self.dead = True
        calls = [*self.active, *(call for _, _, call in self.waiting)]
        self.active, self.waiting = [], []
        for call in calls:
            if not call.ended:
                call.ended = True
                call.on_disconnect()

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            in_flight=sum(not call.ended for call in self.active),
            queued=sum(not call.ended for _, _, call in self.waiting),
            capacity=self.capacity,
            taken=self.clock.now(),
            cached_prefixes=self.list_prefixes(),
        )

    def list_prefixes(self) -> frozenset[str]:
        """Return the cached prompt prefixes."""
        return frozenset()

    def rank(self, call: ModelCall) -> int:
        """Return the rank of a queued call; the lowest is started first."""
        return 0

    @abstractmethod
    def start_waiting(self) -> None:
        """Start queued calls while there is free capacity."""


class PoolModel(TargetModel):
    """A pool of workers that run one call each, first come, first served."""

    def start_waiting(self) -> None:
        self.active = [call for call in self.active if not call.ended]
        while self.waiting and len(self.active) < self.capacity and self.reachable:
            call = heapq.heappop(self.waiting)[2]
            if call.ended:
                continue
            self.active.append(call)
            seconds = call.work.seconds * self.slow
            self.clock.call_later(seconds, lambda c=call, s=seconds: self._end(c, s))

    def cancel(self, call: ModelCall) -> None:
        # a worker can't be interrupted: it completes the call and the result is dropped
        if call not in self.active:
            call.ended = True
        call.on_done = lambda: None

    def _end(self, call: ModelCall, seconds: float) -> None:
        if call.ended or not self.reachable:
            return
        call.ended = True
        call.cost += seconds
        call.on_done()
        self.start_waiting()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRule:
    """Performance parameters of an engine."""

    capacity: int = 16
    #: seconds per token at a batch size of one
    token: float = 0.012
    #: relative increase of the step time for each further call in the batch
    growth: float = 0.1
    #: batch size beyond which memory pressure adds time quadratic in the excess
    soft_batch_limit: int = 10
    #: relative increase of the step time by the square of that excess
    memory_penalty: float = 0.05
    #: seconds to prefill a prompt, and the share of it that is left on a cache hit
    prefill: float = 0.06
    cache_hit_factor: float = 0.1
    cache_entries: int = 8

    def measure_step(self, size: int) -> float:
        """Return the decode seconds of one step of a batch, without prefill."""
        excess = max(0, size - self.soft_batch_limit)
        growth = self.growth * (size - 1) + self.memory_penalty * excess * excess
        return self.token * (1 + growth)

    def find_best_batch(self) -> int:
        """Return the batch size with the highest token throughput."""
        sizes = range(1, self.capacity + 1)
        return max(sizes, key=lambda size: size / self.measure_step(size))


class EngineModel(TargetModel):
    """An engine with continuous batching: calls join and leave at each step."""

    def __init__(self, target: Target, clock: EventClock, rule: EngineRule) -> None:
        super().__init__(target, clock, rule.capacity)
        self._rule = rule
        self._stepping = False
        self._cache: OrderedDict[str, None] = OrderedDict()

    def rank(self, call: ModelCall) -> int:
        return -call.priority

    def list_prefixes(self) -> frozenset[str]:
        return frozenset(self._cache)

    def start_waiting(self) -> None:
        if not self._stepping:
            self._step()

    def _step(self) -> None:
        self._stepping = False
        if not self.reachable:
            return
        self.active = [call for call in self.active if not call.ended]
        seconds = self._admit()
        if not self.active:
            return
        seconds += self._rule.measure_step(len(self.active))
        seconds *= self.slow
        self._stepping = True
        self.clock.call_later(seconds, lambda: self._end_step(seconds))

    def _admit(self) -> float:
        seconds = 0.0
        while self.waiting and len(self.active) < self.capacity:
            call = heapq.heappop(self.waiting)[2]
            if call.ended:
                continue
            self.active.append(call)
            hit = self._use(call.work.prefix)
            seconds += self._rule.prefill * (
                self._rule.cache_hit_factor if hit else 1.0
            )
        return seconds

    def _end_step(self, seconds: float) -> None:
        if not self.reachable:
            return
        share = seconds / max(1, len(self.active))
        for call in self.active:
            call.cost += share
            if call.ended:
                continue
            call.generated_tokens += 1
            if call.generated_tokens == 1:
                call.on_first_token()
            if call.generated_tokens >= call.work.tokens:
                call.ended = True
                call.on_done()
        self._step()

    def _use(self, prefix: str) -> bool:
        if not prefix:
            return False
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        while len(self._cache) > self._rule.cache_entries:
            self._cache.popitem(last=False)
        return hit
