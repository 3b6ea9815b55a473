"""Base class of commands that submit changes to the configuration."""

from __future__ import annotations

import random
import re
import sys
from abc import abstractmethod
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cleo.helpers import option

from greengagelatch.identity import create_id

from ..exit_codes import ExitCode
from ..messages import describe_failure, describe_success, describe_unknown_outcome
from ..submission import submit
from ..waiting import wait_until_in_force
from . import ServerCommand, UsageError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cleo.io.inputs.option import Option

    from ..client import Client
    from ..submission import SubmissionResult

__all__ = ("SUBMIT_OPTIONS", "SubmitCommand", "parse_base", "read_input")

STDIN = "-"

CHANGE_ID_PATTERN = re.compile(r"[a-zA-Z0-9._-]{1,64}")

#: prefix of the first line printed by ``get``, which names the base generation
GENERATION_PREFIX = "# generation "

SUBMIT_OPTIONS: tuple[Option, ...] = (
    option(
        "change-id",
        None,
        "Id of the change; a change is applied only once per id.",
        flag=False,
    ),
    option(
        "base",
        None,
        "Generation that the edit is based on; later changes of the same objects"
        " are a conflict.",
        flag=False,
    ),
    option("wait", None, "Wait until the change is in force on every entry instance."),
    option("timeout", None, "Seconds to wait.", flag=False, default="30"),
)


class SubmitCommand(ServerCommand):
    """A command that submits changes sequentially."""

    def __init__(self) -> None:
        super().__init__()
        #: id of a change that may have been sent and has no known outcome
        self._pending_change_id = ""

    @abstractmethod
    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        """Return the changes without their ids, or an exit code on failure."""

    async def run_with_client(self, client: Client) -> ExitCode:
        """Submit the changes and wait if requested; stop at the first failure."""
        timeout = self.read_number_option("timeout", 0)
        base = self._read_base()
        changes = await self.prepare(client)
        if isinstance(changes, ExitCode):
            return changes
        for change in changes:
            code = await self._submit(client, {**change, **base}, timeout)
            if code is not ExitCode.OK:
                return code
        return ExitCode.OK

    async def _submit(
        self, client: Client, change: Mapping[str, Any], timeout: float
    ) -> ExitCode:
        # the id is recorded before anything is sent, so that after any interrupt or
        # error the operator is told which change to look up
        given_id = self._read_change_id()
        change_id = given_id or _create_change_id()
        self._pending_change_id = change_id
        change_with_id = {**change, "change_id": change_id}
        submission = await submit(
            client, change_with_id, self.output, new_id=not given_id
        )
        wait_requested = submission.code is ExitCode.OK and self.option("wait")
        # one JSON document per change: the result of the wait has more detail
        if not (wait_requested and self.output.is_json):
            self.report(submission)
        if submission.code is not ExitCode.UNKNOWN:
            self._pending_change_id = ""
        if not wait_requested:
            return submission.code
        return await wait_until_in_force(
            client, change_id, timeout=timeout, output=self.output
        )

    def report(self, submission: SubmissionResult) -> None:
        """Show the outcome of a change."""
        data = submission.as_dict()
        if submission.code is ExitCode.OK:
            self.output.show(describe_success(data), data)
            return
        self.output.show_error(describe_failure(submission), data)

    def handle_abort(self, code: ExitCode) -> ExitCode:
        """Report the id of a change that may have been sent; return the exit code."""
        if not self._pending_change_id:
            return code
        self.output.show_error(describe_unknown_outcome(self._pending_change_id))
        return ExitCode.UNKNOWN

    def _read_change_id(self) -> str:
        change_id = self.option("change-id") or ""
        if change_id and not CHANGE_ID_PATTERN.fullmatch(change_id):
            msg = f"--change-id = {change_id!r}: must be 1 to 64 of a-z A-Z 0-9 . _ -"
            raise UsageError(msg)
        return change_id

    def _read_base(self) -> dict[str, int]:
        if self.option("base") is None:
            return {}
        return {"base": int(self.read_number_option("base", 0))}


def read_input(path: str) -> str:
    """Return the text of a file, or of standard input if ``path`` is ``-``.

    :raises UsageError: if the file can't be read or is not UTF-8
    """
    try:
        if path == STDIN:
            return sys.stdin.read()
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        msg = f"file {path!r}: {error}"
        raise UsageError(msg) from error


def parse_base(text: str) -> dict[str, int]:
    """Return the base generation in the first line of a file printed by ``get``."""
    first_line, _, _ = text.partition("\n")
    number = first_line.removeprefix(GENERATION_PREFIX).strip()
    if first_line.startswith(GENERATION_PREFIX) and number.isdecimal():
        return {"base": int(number)}
    return {}


def _create_change_id() -> str:
    return create_id("c", random.SystemRandom())
