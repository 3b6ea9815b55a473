"""Logs: one action tree for each request, and ``logging`` bridged into it."""

from __future__ import annotations

import logging
import os
import select
import sys
import traceback
from enum import IntEnum
from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagelatch.request import Answer, Request
    from greengagelatch.settings import Settings
    from greengagelatch.verdict import Verdict

__all__ = (
    "LogLevel",
    "LogOutput",
    "RequestLog",
    "RequestTrace",
    "STDOUT",
    "StageTrace",
    "open_output",
    "set_up",
    "truncate",
)

#: longest text of one field, in bytes
MAX_VALUE = 200
#: longest message of a ``logging`` record, in bytes
MAX_MESSAGE = 1000
#: longest traceback, in bytes; its end is kept, as that names the error
MAX_TRACEBACK = 1500
#: longest line in bytes; a pipe that polls as writable takes this much at once
MAX_LINE = 4096
#: stages of one request, and attempts of one stage, that are logged
MAX_STAGES = 16
MAX_ATTEMPTS = 8

STDOUT = "-"

#: libraries that log each connection's start and end: lines that grow with the number
#: of peers, of nothing that was decided or is believed
QUIET_LIBRARIES = ("websockets",)


class LogLevel(IntEnum):
    """What is logged; each level includes the ones before it."""

    ERRORS = 0
    REQUESTS = 1
    STAGES = 2


def truncate(value: Any, limit: int = MAX_VALUE) -> str:
    """Return ``value`` as text of at most ``limit`` bytes, plus an ellipsis.

    Lone surrogates, which JSON input may hold, are replaced: the encoder refuses
    them, and the line would be lost.
    """
    text = value if isinstance(value, str) else str(value)
    if len(text) <= limit and text.isascii():
        return text
    encoded = text[: limit + 1].encode("utf-8", "replace")
    if len(encoded) <= limit:
        return encoded.decode("utf-8")
    return f"{encoded[:limit].decode('utf-8', 'ignore')}…"


class LogOutput:
    """Writes log lines to a file descriptor without ever waiting for it.

    A reader of standard output that has stopped would fill the pipe, and the next
    write would hold up the event loop: the process is alive, yet answers nobody.
    So a line is written only if the descriptor takes it at once, and is otherwise
    dropped and counted.
    """

    def __init__(self, descriptor: int, *, owned: bool) -> None:
        self._descriptor = descriptor
        self._owned = owned
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._bridge = _Bridge()
        self._destination = eliot.FileDestination(file=self)
        self.written = 0
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write ``line`` at once or drop it; return the number of bytes written."""
        if not line:
            return 0
        if len(line) > MAX_LINE or not self._is_writable():
            self.dropped += 1
            return 0
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
            return 0
        self.written += 1
        return len(line)

    def flush(self) -> None:
        """Do nothing, as nothing is buffered."""

    def attach(self, level: LogLevel) -> None:
        """Send eliot's messages and ``logging`` records to this output."""
        eliot.add_destinations(self._destination)
        root = logging.getLogger()
        root.addHandler(self._bridge)
        root.setLevel(logging.WARNING if level is LogLevel.ERRORS else logging.INFO)
        for name in QUIET_LIBRARIES:
            logging.getLogger(name).setLevel(logging.WARNING)

    def close(self) -> None:
        """Detach and close the file, unless it is standard output."""
        eliot.remove_destination(self._destination)
        logging.getLogger().removeHandler(self._bridge)
        if self._owned:
            os.close(self._descriptor)

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


class _Bridge(logging.Handler):
    """Passes ``logging`` records on to eliot, each as one bounded message.

    eliot's own handler writes tracebacks unbounded, in a message of their own.
    """

    def emit(self, record: logging.LogRecord) -> None:
        try:
            fields = _describe_record(record)
        except Exception:
            # arguments that don't fit the format must not stop whoever logs
            self.handleError(record)
            return
        eliot.log_message("greengagelatch:log", **fields)


def _describe_record(record: logging.LogRecord) -> dict[str, str]:
    fields = {
        "log_level": record.levelname,
        "logger": record.name,
        "message": truncate(record.getMessage(), MAX_MESSAGE),
    }
    if record.exc_info and record.exc_info[0] is not None:
        text = "".join(traceback.format_exception(*record.exc_info))
        fields["traceback"] = truncate(text[-MAX_TRACEBACK:], MAX_TRACEBACK)
    return fields


def set_up(settings: Settings) -> LogOutput:
    """Open the output that ``log.file`` names and route all logs to it.

    :raises OSError: if the file can't be opened
    """
    level = LogLevel[settings["log.level"].upper()]
    return open_output(settings["log.file"], level, settings["instance.id"])


def open_output(path: str, level: LogLevel, instance_id: str) -> LogOutput:
    """Open an output, :data:`STDOUT` or a file, and route all logs to it.

    :raises OSError: if the file can't be opened
    """
    if path == STDOUT:
        output = LogOutput(sys.stdout.fileno(), owned=False)
    else:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        output = LogOutput(os.open(path, flags, 0o644), owned=True)
    output.attach(level)
    eliot.add_global_fields(instance=instance_id)
    return output


class RequestLog:
    """Logs requests as eliot actions whose task is the request's id.

    So all lines of a request, whichever its stage, are found by its id.
    """

    def __init__(self, level: LogLevel) -> None:
        self._level = level

    def start_request(self, request: Request) -> RequestTrace:
        """Begin a request's action; the trace must be finished."""
        return RequestTrace(self._level, request)


class RequestTrace:
    """The log of one request."""

    def __init__(self, level: LogLevel, request: Request) -> None:
        self._level = level
        self._request = request
        self._action: eliot.Action | None = None
        self._stages = 0
        self.attempts = 0
        self.failures = 0
        if level >= LogLevel.REQUESTS:
            self._action = self._start()

    def start_stage(self, stage: str, service: str = "") -> StageTrace:
        """Begin a stage's action; the trace must be finished."""
        self._stages += 1
        action = None
        if self._level >= LogLevel.STAGES and self._stages <= MAX_STAGES:
            with self._action.context():
                action = eliot.start_action(
                    action_type="greengagelatch:stage",
                    stage=truncate(stage),
                    service=truncate(service),
                )
        return StageTrace(self, action)

    def finish(self, answer: Answer) -> None:
        """Log the final answer; on level ``errors`` only a refusal."""
        if self._action is None:
            if answer.refusal is None:
                return
            self._action = self._start()
        self._action.add_success_fields(**self._describe(answer))
        self._action.finish()

    def _start(self) -> eliot.Action:
        request = self._request
        return eliot.Action.continue_task(
            task_id=f"{request.request_id}@/",
            action_type="greengagelatch:request",
            workspace=truncate(request.workspace),
            pipeline=truncate(request.pipeline),
            budget_ms=round((request.deadline - request.received) * 1000),
            repeatable=request.repeatable,
            keyed=bool(request.key),
            stream=request.stream,
        )

    def _describe(self, answer: Answer) -> dict[str, Any]:
        fields = {
            "verdict": answer.verdict.name,
            "replayed": answer.replayed,
            "stages": self._stages,
            "attempts": self.attempts,
            "failed_attempts": self.failures,
        }
        if answer.stage_seconds:
            fields["stage_ms"] = _to_milliseconds(answer.stage_seconds)
        refusal = answer.refusal
        fields["outcome"] = "refused" if refusal else "answered"
        if refusal is not None:
            fields["code"] = refusal.code.value
            fields["message"] = truncate(refusal.message)
            fields["field"] = truncate(refusal.field)
            fields["value"] = truncate(refusal.value)
        return fields


class StageTrace:
    """The log of one stage of one request."""

    def __init__(self, request: RequestTrace, action: eliot.Action | None) -> None:
        self._request = request
        self._action = action
        self._attempts = 0

    def log_attempt(
        self,
        *,
        attempt_id: str,
        target_id: str,
        outcome: str,
        seconds: float,
        verdict: Verdict,
        failed: bool = False,
        message: str = "",
    ) -> None:
        """Log one call to a target; ``outcome`` is ``answered`` or a failure kind."""
        self._attempts += 1
        self._request.attempts += 1
        if failed:
            self._request.failures += 1
        if self._action is None or self._attempts > MAX_ATTEMPTS:
            return
        self._action.log(
            "greengagelatch:attempt",
            attempt=attempt_id,
            target=truncate(target_id),
            outcome=truncate(outcome),
            ms=round(seconds * 1000, 1),
            verdict=verdict.name,
            message=truncate(message),
        )

    def finish(self, *, outcome: str, verdict: Verdict) -> None:
        """Log how the stage ended."""
        if self._action is None:
            return
        self._action.add_success_fields(
            outcome=truncate(outcome), verdict=verdict.name, attempts=self._attempts
        )
        self._action.finish()


def _to_milliseconds(seconds: Mapping[str, float]) -> dict[str, float]:
    shown = list(seconds.items())[:MAX_STAGES]
    return {truncate(name): round(value * 1000, 1) for name, value in shown}
