"""Commands that submit a change to the configuration."""

from __future__ import annotations

import random
import re
import sys
from abc import abstractmethod
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cleo.helpers import option

from greengagelatch.identity import create_id

from ..exits import ExitCode
from ..messages import advise, describe_failure, describe_success
from ..submission import submit
from ..waiting import wait_in_force
from . import ServerCommand, UsageError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cleo.io.inputs.option import Option

    from ..client import Client
    from ..submission import Submission

__all__ = ("SUBMIT_OPTIONS", "SubmitCommand", "read_file", "split_base")

STDIN = "-"

CHANGE_ID = re.compile(r"[a-zA-Z0-9._-]{1,64}")

#: first line of what ``get`` prints: the generation that an edit begins from
GENERATION_PREFIX = "# generation "

SUBMIT_OPTIONS: tuple[Option, ...] = (
    option(
        "change-id",
        None,
        "Id of the change; repeating a command with it changes nothing twice.",
        flag=False,
    ),
    option(
        "base",
        None,
        "Generation that the edit began from; later changes of the same objects"
        " are a conflict.",
        flag=False,
    ),
    option("wait", None, "Wait until every entry instance has the change in force."),
    option("timeout", None, "Seconds to wait.", flag=False, default="30"),
)


class SubmitCommand(ServerCommand):
    """A command that submits changes, one after the other."""

    def __init__(self) -> None:
        super().__init__()
        #: id of a change that may have been sent and isn't settled
        self._open_change = ""

    @abstractmethod
    async def prepare(self, client: Client) -> Sequence[Mapping[str, Any]] | ExitCode:
        """Return the changes without their ids, or the code to end with."""

    async def talk(self, client: Client) -> ExitCode:
        """Prepare, submit and, if asked to, wait; stop at the first failure."""
        timeout = self.read_number("timeout", 0)
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
        # the id is known before anything is sent, so whatever happens on the way
        # the operator can be told what to ask for
        given = self._read_change_id()
        change_id = given or _create_change_id()
        self._open_change = change_id
        sent = {**change, "change_id": change_id}
        submission = await submit(client, sent, self.output, new_id=not given)
        waits = submission.code is ExitCode.OK and self.option("wait")
        # one JSON document for each change: that of the wait says more
        if not (waits and self.output.is_json):
            self.report(submission)
        if submission.code is not ExitCode.UNKNOWN:
            self._open_change = ""
        if not waits:
            return submission.code
        return await wait_in_force(
            client, change_id, timeout=timeout, output=self.output
        )

    def report(self, submission: Submission) -> None:
        """Show what became of the change."""
        data = submission.as_dict()
        if submission.code is ExitCode.OK:
            self.output.show(describe_success(data), data)
            return
        self.output.show_error(describe_failure(submission), data)

    def abandon(self, code: ExitCode) -> ExitCode:
        """Name the change that may have been sent."""
        if not self._open_change:
            return code
        self.output.show_error(advise(self._open_change))
        return ExitCode.UNKNOWN

    def _read_change_id(self) -> str:
        change_id = self.option("change-id") or ""
        if change_id and not CHANGE_ID.fullmatch(change_id):
            msg = f"--change-id = {change_id!r}: must be 1 to 64 of a-z A-Z 0-9 . _ -"
            raise UsageError(msg)
        return change_id

    def _read_base(self) -> dict[str, int]:
        if self.option("base") is None:
            return {}
        return {"base": int(self.read_number("base", 0))}


def read_file(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``.

    :raises UsageError: if it can't be read as UTF-8
    """
    try:
        if path == STDIN:
            return sys.stdin.read()
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        msg = f"file {path!r}: {error}"
        raise UsageError(msg) from error


def split_base(text: str) -> dict[str, int]:
    """Return the base that a file printed by ``get`` names in its first line."""
    first, _, _ = text.partition("\n")
    number = first.removeprefix(GENERATION_PREFIX).strip()
    if first.startswith(GENERATION_PREFIX) and number.isdecimal():
        return {"base": int(number)}
    return {}


def _create_change_id() -> str:
    return create_id("c", random.SystemRandom())
