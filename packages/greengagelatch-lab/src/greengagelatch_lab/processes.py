"""Processes that tests and experiments start, and always end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType

__all__ = ("Process", "ProcessError", "ProcessGroup")

#: first word of the line that a process prints once it takes connections
READY = "ready "
#: seconds allowed for a start, and for a planned stop
START_TIMEOUT = 20.0
STOP_TIMEOUT = 10.0
#: seconds between two looks at the output of a starting process
POLL_INTERVAL = 0.02
#: characters of output shown in errors
TAIL = 2000


class ProcessError(RuntimeError):
    """A process did not start, or did not stop in time."""


class Process:
    """One process, with its output in files.

    The output goes to files and not to pipes: a pipe that nobody reads while the
    test is busy would fill up and stop the process.
    """

    def __init__(
        self,
        name: str,
        *command: str,
        directory: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        #: rest of the ``ready`` line, ``host:port`` of stand-ins
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
        """Return a process, not yet started, that runs a Python module."""
        command = (sys.executable, "-m", module, *arguments)
        return cls(name, *command, directory=directory, environment=environment)

    @property
    def pid(self) -> int:
        """Id of the running process."""
        return self._get().pid

    @property
    def returncode(self) -> int | None:
        """Exit status; ``None`` while the process runs."""
        return self._get().returncode

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
            msg = f"{self.name} not ready in {timeout} s: {self.tail()}"
            raise ProcessError(msg) from None

    def terminate(self) -> None:
        """Ask the process to stop, as before a planned replacement."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self._send(signal.SIGKILL)

    def pause(self) -> None:
        """Halt the process; its connections stay open and go silent."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a halted process go on."""
        self._send(signal.SIGCONT)

    async def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Wait for the process's end and return its exit status."""
        try:
            async with asyncio.timeout(timeout):
                return await self._get().wait()
        except TimeoutError:
            msg = f"{self.name} did not end in {timeout} s: {self.tail()}"
            raise ProcessError(msg) from None

    async def stop(self, timeout: float = STOP_TIMEOUT) -> None:
        """End the process, by force if need be; does nothing once it has ended."""
        if self._process is None or self._process.returncode is not None:
            return
        # a halted process would not see the request to stop
        self.resume()
        self.terminate()
        try:
            await self.wait(timeout)
        except ProcessError:
            self.kill()
            await self._process.wait()

    def tail(self) -> str:
        """Return the end of the process's output."""
        text = self.stdout.read_text(errors="replace")
        return (text + self.stderr.read_text(errors="replace"))[-TAIL:]

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
        process = self._get()
        while True:
            ended = process.returncode is not None
            self.ready = self._find_ready()
            if self.ready:
                return
            if ended:
                msg = f"{self.name} ended with {process.returncode}: {self.tail()}"
                raise ProcessError(msg)
            await asyncio.sleep(POLL_INTERVAL)

    def _find_ready(self) -> str:
        text = self.stdout.read_text(errors="replace")
        for line in text.splitlines(keepends=True):
            if line.startswith(READY) and line.endswith("\n"):
                return line[len(READY) :].strip()
        return ""

    def _send(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._get().send_signal(number)

    def _get(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self.name} was not started")
        return self._process


class ProcessGroup:
    """Processes that are ended together, in reverse order of their start."""

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

        Several starts may be awaited side by side.
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
