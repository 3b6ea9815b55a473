"""Processes inside one event loop that can be paused or killed at any callback."""

from __future__ import annotations

import asyncio
import inspect
import itertools
import logging
from contextvars import Context, ContextVar, copy_context
from enum import Enum
from typing import TYPE_CHECKING, Any, TypeVar

from looptime import LoopTimeEventLoop

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

__all__ = (
    "ProcessLoop",
    "ProcessState",
    "SimulatedProcess",
    "call_outside",
    "close_loop",
    "create_loop",
    "schedule_outside",
    "spawn_outside",
)

T = TypeVar("T")

_numbers = itertools.count()

#: times that all tasks are cancelled at the end, as some make others on the way
CLEARING_ROUNDS = 5

_current: ContextVar[SimulatedProcess | None] = ContextVar("process", default=None)


class ProcessState(Enum):
    """Whether a process gets to run."""

    RUNNING = "running"
    #: stopped as by SIGSTOP; what happens meanwhile waits for it
    PAUSED = "paused"
    #: ended as by SIGKILL; nothing of it ever runs again
    KILLED = "killed"


class SimulatedProcess:
    """Everything that runs in one context and the tasks and timers made there.

    The loop asks it before each callback. A killed process gets no further one: not
    even ``finally`` blocks run, as they would after a cancellation. A paused one gets
    on resuming first what has arrived and then the timers that are due, in the order
    in which an event loop finds them after a stop.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = ProcessState.RUNNING
        self._context = copy_context()
        self._context.run(_current.set, self)
        self._arrived: list[_Gate] = []
        self._due: list[_Gate] = []

    @property
    def running(self) -> bool:
        """Whether it gets to run."""
        return self.state is ProcessState.RUNNING

    @property
    def killed(self) -> bool:
        """Whether it has ended."""
        return self.state is ProcessState.KILLED

    def run(self, function: Callable[..., T], *args: Any) -> T:
        """Call a function as part of the process, which must be running."""
        return self._context.run(function, *args)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task of the process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())

    def deliver(self, callback: Callable[..., Any], *args: Any) -> None:
        """Have something arrive: the process handles it when it gets to run."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, *args, context=self._context)

    def pause(self) -> None:
        """Stop running until :meth:`resume`."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.PAUSED

    def resume(self) -> None:
        """Run again."""
        if self.state is not ProcessState.PAUSED:
            return
        self.state = ProcessState.RUNNING
        waiting = self._arrived + self._due
        self._arrived, self._due = [], []
        for gate in waiting:
            gate.repeat()

    def kill(self) -> None:
        """End without any further step."""
        self.state = ProcessState.KILLED

    def clear(self) -> None:
        """Let what is left be cancelled, once nothing is recorded any more."""
        self.state = ProcessState.RUNNING

    def hold(self, gate: _Gate) -> None:
        """Keep a callback back; also what is never to run.

        Tasks whose last reference went away would be closed, and so run their
        ``finally`` blocks.
        """
        (self._due if gate.timer else self._arrived).append(gate)


class _Gate:
    """A callback of a process; it runs when the process does."""

    __slots__ = ("args", "callback", "context", "handle", "process", "timer")

    def __init__(
        self,
        process: SimulatedProcess,
        callback: Callable[..., Any],
        context: Context | None,
        timer: bool,
    ) -> None:
        self.process = process
        self.callback = callback
        self.context = context
        self.timer = timer
        self.args: tuple[Any, ...] = ()
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args: Any) -> None:
        if self.process.running:
            self.callback(*args)
            return
        self.args = args
        self.process.hold(self)

    def repeat(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_late, context=self.context)

    def _run_late(self) -> None:
        # whoever has the handle may have cancelled it, also just now
        if self.handle is not None and not self.handle.cancelled():
            self.callback(*self.args)


class _Numbered:
    """Has sets put tasks and futures in the order in which these were made.

    By default the order in which a set of them is walked hangs on where they lie in
    memory, and the same seed would give another run each time.
    """

    __slots__ = ()

    def __new__(cls, *_args: Any, **_options: Any) -> _Numbered:
        made = super().__new__(cls)
        made.number = next(_numbers)
        return made

    def __hash__(self) -> int:
        return self.number


class _NumberedTask(_Numbered, asyncio.Task):
    __slots__ = ("number",)


class _NumberedFuture(_Numbered, asyncio.Future):
    __slots__ = ("number",)


class ProcessLoop(LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """An event loop whose time jumps and whose processes can be stopped."""

    def create_future(self) -> asyncio.Future[Any]:
        return _NumberedFuture(loop=self)

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        process = _find_process(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        gate = _Gate(process, callback, context, timer=False)
        gate.handle = super().call_soon(gate, *args, context=context)
        return gate.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        process = _find_process(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        gate = _Gate(process, callback, context, timer=True)
        gate.handle = super().call_at(when, gate, *args, context=context)
        return gate.handle


def create_loop() -> ProcessLoop:
    """Return a loop at time zero that never waits in real time."""
    loop = ProcessLoop(start=0.0, noop_cycles=0)
    loop.set_task_factory(_create_task)
    return loop


def _create_task(
    loop: asyncio.AbstractEventLoop, work: Any, context: Context | None = None
) -> asyncio.Task[Any]:
    return _NumberedTask(work, loop=loop, context=context)


def close_loop(loop: ProcessLoop, processes: Iterable[SimulatedProcess]) -> None:
    """Cancel all tasks of a finished run and close its loop."""
    for process in processes:
        process.clear()
    level = logging.root.manager.disable
    # each part complains of being broken off, which is what is meant here
    logging.disable(logging.CRITICAL)
    loop.set_exception_handler(lambda *_: None)
    try:
        for _ in range(CLEARING_ROUNDS):
            tasks = asyncio.all_tasks(loop)
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
        _close_unstarted(loop)
        loop.close()
    finally:
        logging.disable(level)


def _close_unstarted(loop: ProcessLoop) -> None:
    """Close the coroutines of tasks whose first step a stopped process held back.

    Their cancellation would come with that step. Left open, each warns that it was
    never awaited, in whatever test runs as it is collected.
    """
    for task in asyncio.all_tasks(loop):
        work = task.get_coro()
        if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
            work.close()


def call_outside(function: Callable[..., T], *args: Any) -> T:
    """Call a function as part of no process."""
    return Context().run(function, *args)


def spawn_outside(work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Start a task that goes on whatever becomes of the process that starts it."""
    return asyncio.get_running_loop().create_task(work, context=Context())


def schedule_outside(delay: float, callback: Callable[..., Any], *args: Any) -> None:
    """Have something called after ``delay`` seconds, as part of no process."""
    loop = asyncio.get_running_loop()
    loop.call_later(delay, callback, *args, context=Context())


def _find_process(context: Context | None) -> SimulatedProcess | None:
    if context is None:
        return _current.get()
    return context.get(_current)
