"""Simulated processes in one event loop that can be paused or killed."""

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

#: rounds of cancellation on closing, as cancelled tasks may start further ones
MAX_CANCEL_ROUNDS = 5

_current: ContextVar[SimulatedProcess | None] = ContextVar("process", default=None)


class ProcessState(Enum):
    """The state of a process."""

    RUNNING = "running"
    #: stopped as by SIGSTOP; callbacks wait until it resumes
    PAUSED = "paused"
    #: ended as by SIGKILL; none of its callbacks runs again
    KILLED = "killed"


class SimulatedProcess:
    """A context with all tasks and timers created in it.

    The loop checks its state before each callback. A killed process runs no further
    callback, not even the ``finally`` blocks that a cancellation would run. A paused
    one, when it resumes, first handles what has arrived and then the timers that are
    due, which is the order in which an event loop finds them after SIGCONT.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = ProcessState.RUNNING
        self._context = copy_context()
        self._context.run(_current.set, self)
        self._deferred_calls: list[_DeferrableCallback] = []
        self._deferred_timers: list[_DeferrableCallback] = []

    @property
    def running(self) -> bool:
        """Whether its callbacks run."""
        return self.state is ProcessState.RUNNING

    @property
    def killed(self) -> bool:
        """Whether it was killed."""
        return self.state is ProcessState.KILLED

    def run(self, function: Callable[..., T], *args: Any) -> T:
        """Call a function in the context of the process, which must be running."""
        return self._context.run(function, *args)

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task of the process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())

    def deliver(self, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback in the process, such as the receipt of a message."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, *args, context=self._context)

    def pause(self) -> None:
        """Suspend the process until :meth:`resume`."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.PAUSED

    def resume(self) -> None:
        """Resume a paused process and reschedule its deferred callbacks."""
        if self.state is not ProcessState.PAUSED:
            return
        self.state = ProcessState.RUNNING
        deferred = self._deferred_calls + self._deferred_timers
        self._deferred_calls, self._deferred_timers = [], []
        for deferrable in deferred:
            deferrable.reschedule()

    def kill(self) -> None:
        """End the process; none of its callbacks runs any more."""
        self.state = ProcessState.KILLED

    def allow_cleanup(self) -> None:
        """Allow the remaining tasks to be cancelled after the end of a run."""
        self.state = ProcessState.RUNNING

    def defer(self, deferrable: _DeferrableCallback) -> None:
        """Defer a callback; those of a killed process are kept as well.

        A task is closed when its last reference is dropped, which would run its
        ``finally`` blocks.
        """
        (self._deferred_timers if deferrable.timer else self._deferred_calls).append(
            deferrable
        )


class _DeferrableCallback:
    """A callback that is deferred while its process does not run."""

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
        self.process.defer(self)

    def reschedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_deferred, context=self.context)

    def _run_deferred(self) -> None:
        # the owner of the handle may have cancelled it in the meantime
        if self.handle is not None and not self.handle.cancelled():
            self.callback(*self.args)


class _OrderedHash:
    """Hashes tasks and futures by their order of creation.

    The default hash is derived from the memory address, so that the iteration order
    of sets, and with it the run of a seed, would differ each time.
    """

    __slots__ = ()

    def __new__(cls, *_args: Any, **_options: Any) -> _OrderedHash:
        instance = super().__new__(cls)
        instance.number = next(_numbers)
        return instance

    def __hash__(self) -> int:
        return self.number


class _OrderedTask(_OrderedHash, asyncio.Task):
    __slots__ = ("number",)


class _OrderedFuture(_OrderedHash, asyncio.Future):
    __slots__ = ("number",)


class ProcessLoop(LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """An event loop with virtual time whose processes can be stopped."""

    def create_future(self) -> asyncio.Future[Any]:
        return _OrderedFuture(loop=self)

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        process = _find_process(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        deferrable = _DeferrableCallback(process, callback, context, timer=False)
        deferrable.handle = super().call_soon(deferrable, *args, context=context)
        return deferrable.handle

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
        deferrable = _DeferrableCallback(process, callback, context, timer=True)
        deferrable.handle = super().call_at(when, deferrable, *args, context=context)
        return deferrable.handle


def create_loop() -> ProcessLoop:
    """Return a loop with virtual time that starts at zero."""
    loop = ProcessLoop(start=0.0, noop_cycles=0)
    loop.set_task_factory(_create_task)
    return loop


def _create_task(
    loop: asyncio.AbstractEventLoop, work: Any, context: Context | None = None
) -> asyncio.Task[Any]:
    return _OrderedTask(work, loop=loop, context=context)


def close_loop(loop: ProcessLoop, processes: Iterable[SimulatedProcess]) -> None:
    """Cancel all tasks of a finished run and close its loop."""
    for process in processes:
        process.allow_cleanup()
    level = logging.root.manager.disable
    # errors that components log about their cancellation are expected
    logging.disable(logging.CRITICAL)
    loop.set_exception_handler(lambda *_: None)
    try:
        for _ in range(MAX_CANCEL_ROUNDS):
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
    """Close the coroutines of tasks whose first step was deferred.

    A task is cancelled in its first step. A coroutine left open warns that it was
    never awaited, in whichever test runs when it is garbage-collected.
    """
    for task in asyncio.all_tasks(loop):
        work = task.get_coro()
        if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
            work.close()


def call_outside(function: Callable[..., T], *args: Any) -> T:
    """Call a function outside any simulated process."""
    return Context().run(function, *args)


def spawn_outside(work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Start a task that is independent of the simulated process that starts it."""
    return asyncio.get_running_loop().create_task(work, context=Context())


def schedule_outside(delay: float, callback: Callable[..., Any], *args: Any) -> None:
    """Call ``callback`` after ``delay`` seconds, outside any simulated process."""
    loop = asyncio.get_running_loop()
    loop.call_later(delay, callback, *args, context=Context())


def _find_process(context: Context | None) -> SimulatedProcess | None:
    if context is None:
        return _current.get()
    return context.get(_current)
