"""Child processes of tests and experiments, with guaranteed cleanup."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType

__all__ = ("Process", "ProcessError", "ProcessGroup")

#: prefix of the line that a process prints once it accepts connections
READY_PREFIX = "ready "
#: time allowed for a start and for a graceful stop, in seconds
START_TIMEOUT = 20.0
STOP_TIMEOUT = 10.0
#: interval between checks of a starting process's output, in seconds
POLL_INTERVAL = 0.02
#: number of characters of output that error messages contain
MAX_TAIL_CHARACTERS = 2000


class ProcessError(RuntimeError):
    """A process did not start, or did not exit in time."""


class Process:
    """A child process whose output is written to files.

    A pipe that is not read while the test is busy would fill up and block the
    process.
    """

    def __init__(
        self,
        name: str,
        *command: str,
        directory: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        #: rest of the ``ready`` line, such as ``host:port``
        self.ready = ""
        self.stdout = directory / f"{name}.out"
        self.stderr = directory / f"{name}.err"
        self._command = command
        self._environment = environment
        self._process: asyncio.subprocess.Process | None = None

    @classmethod
    def run_module(
        cls,
        name: str,
        module: str,
        *arguments: str,
        directory: Path,
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Create a process that runs a Python module, without starting it."""
        command = (sys.executable, "-m", module, *arguments)
        return cls(name, *command, directory=directory, environment=environment)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._get_process().pid

    @property
    def returncode(self) -> int | None:
        """Exit status; ``None`` while the process runs."""
        return self._get_process().returncode

    async def start(self, timeout: float = START_TIMEOUT) -> None:
        """Start the process and wait for its ``ready`` line."""
        with self.stdout.open("wb") as stdout, self.stderr.open("wb") as stderr:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stdout,
                stderr=stderr,
                env=None if self._environment is None else dict(self._environment),
            )
        try:
            async with asyncio.timeout(timeout):
                await self._wait_ready()
        except TimeoutError:
            msg = f"process {self.name} not ready within {timeout} s: {self.tail()}"
            raise ProcessError(msg) from None

    def terminate(self) -> None:
        """Send SIGTERM, as before a planned replacement."""
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL, to simulate a crash."""
        self._send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """Send SIGSTOP; the connections of the process stay open but go silent."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT to a paused process."""
        self._send_signal(signal.SIGCONT)

    async def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Wait until the process exits and return its exit status."""
        try:
            async with asyncio.timeout(timeout):
                return await self._get_process().wait()
        except TimeoutError:
            msg = f"process {self.name} did not exit within {timeout} s: {self.tail()}"
            raise ProcessError(msg) from None

    async def stop(self, timeout: float = STOP_TIMEOUT) -> None:
        """Stop the process, with SIGKILL after ``timeout``, unless it has exited."""
        if self._process is None or self._process.returncode is not None:
            return
        # a paused process does not handle SIGTERM until it is resumed
        self.resume()
        self.terminate()
        try:
            await self.wait(timeout)
        except ProcessError:
            self.kill()
            await self._process.wait()

    def tail(self) -> str:
        """Return the last part of the process's output, for error messages."""
        text = self.stdout.read_text(errors="replace")
        return (text + self.stderr.read_text(errors="replace"))[-MAX_TAIL_CHARACTERS:]

    async def __aenter__(self) -> Process:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    async def _wait_ready(self) -> None:
        process = self._get_process()
        while True:
            has_exited = process.returncode is not None
            self.ready = self._find_ready()
            if self.ready:
                return
            if has_exited:
                msg = (
                    f"process {self.name} exited with status {process.returncode}"
                    f" before it was ready: {self.tail()}"
                )
                raise ProcessError(msg)
            await asyncio.sleep(POLL_INTERVAL)

    def _find_ready(self) -> str:
        text = self.stdout.read_text(errors="replace")
        for line in text.splitlines(keepends=True):
            if line.startswith(READY_PREFIX) and line.endswith("\n"):
                return line[len(READY_PREFIX) :].strip()
        return ""

    def _send_signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._get_process().send_signal(number)

    def _get_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"process {self.name} was not started")
        return self._process


class ProcessGroup:
    """Processes that are stopped together, in reverse order of their start."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.processes: list[Process] = []

    async def run_module(
        self,
        name: str,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start a Python module and wait until it is ready.

        Several processes may be started concurrently.
        """
        process = Process.run_module(
            name,
            module,
            *arguments,
            directory=self.directory,
            environment=environment,
        )
        self.processes.append(process)
        await process.start()
        return process

    async def __aenter__(self) -> ProcessGroup:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        stops = [process.stop() for process in reversed(self.processes)]
        await asyncio.gather(*stops)
