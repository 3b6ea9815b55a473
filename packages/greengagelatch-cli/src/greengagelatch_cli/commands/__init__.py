"""Commands, grouped into modules, and their base classes."""

from __future__ import annotations

import asyncio
import os
import traceback
from abc import abstractmethod
from typing import TYPE_CHECKING

from cleo.commands.command import Command
from cleo.exceptions import CleoError, CleoValueError
from result import Err

from ..client import CallFailure, Client, Reply, parse_servers
from ..exit_codes import ExitCode
from ..messages import describe_refusal
from ..output import Format, Output

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("OperatorCommand", "ServerCommand", "UsageError")

SERVER_VARIABLE = "GREENGAGELATCH_SERVER"


class UsageError(CleoValueError):
    """An invalid value of an argument or option."""


class OperatorCommand(Command):
    """A command that writes through :class:`Output` and returns an exit code."""

    @property
    def output(self) -> Output:
        """The output in the format of ``--output``; set while the command runs."""
        assert self._output is not None
        return self._output

    def __init__(self) -> None:
        super().__init__()
        self._output: Output | None = None

    def handle(self) -> int:
        """Run the command; called by cleo."""
        self._output = Output(self.io, self._read_format_option())
        try:
            return self.run_command()
        except KeyboardInterrupt:
            return self.handle_abort(ExitCode.INTERRUPTED)
        except CleoError:
            raise
        except Exception:
            self._output.show_error(traceback.format_exc())
            return self.handle_abort(ExitCode.INTERNAL)

    @abstractmethod
    def run_command(self) -> ExitCode:
        """Execute the command and return its exit code."""

    def handle_abort(self, code: ExitCode) -> ExitCode:
        """Report the state after an interrupt or error; return the exit code."""
        return code

    def read_number_option(self, option: str, minimum: float) -> float:
        """Return an option's value as a number.

        :raises UsageError: if it is not a finite number of at least ``minimum``
        """
        text = str(self.option(option))
        try:
            number = float(text)
        except ValueError:
            number = float("nan")
        # the comparison is false for NaN too
        if not minimum <= number < float("inf"):
            msg = f"--{option} = {text!r}: must be a number of at least {minimum:g}"
            raise UsageError(msg)
        return number

    def _read_format_option(self) -> Format:
        text = self.option("output")
        try:
            return Format(text)
        except ValueError as error:
            msg = f"--output = {text!r}: must be text or json"
            raise UsageError(msg) from error


class ServerCommand(OperatorCommand):
    """A command that calls servers."""

    def run_command(self) -> ExitCode:
        """Execute the command with a client for the servers."""
        return asyncio.run(self._connect_and_run())

    @abstractmethod
    async def run_with_client(self, client: Client) -> ExitCode:
        """Execute the command through ``client`` and return its exit code."""

    def show_unreachable(self, failures: Sequence[CallFailure]) -> ExitCode:
        """Report that no server replied to a read."""
        lines = [
            "no server could be reached",
            *(f"  {failure}" for failure in failures),
        ]
        data = {
            "state": "unreachable",
            "failures": [str(failure) for failure in failures],
        }
        self.output.show_error("\n".join(lines), data)
        return ExitCode.UNREACHABLE

    def show_refusal(self, reply: Reply) -> ExitCode:
        """Report an error reply to a read."""
        code = ExitCode.REFUSED if reply.status < 500 else ExitCode.UNREACHABLE
        data = dict(reply.body) or {"state": "refused", "message": reply.text}
        self.output.show_error(describe_refusal(reply), data)
        return code

    async def _connect_and_run(self) -> ExitCode:
        text = self.option("server") or os.environ.get(SERVER_VARIABLE, "")
        if not text:
            msg = f"no server: give --server host:port or set {SERVER_VARIABLE}"
            raise UsageError(msg)
        servers = parse_servers(text)
        if isinstance(servers, Err):
            raise UsageError(servers.err_value)
        async with Client(servers.ok_value) as client:
            return await self.run_with_client(client)
