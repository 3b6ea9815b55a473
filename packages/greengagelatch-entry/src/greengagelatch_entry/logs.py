"""Structured logs: one eliot action tree per request, and a ``logging`` bridge."""

from __future__ import annotations

import logging
import os
import select
import sys
import time
import traceback
from collections import deque
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
    "open_log_output",
    "configure_logging",
    "truncate",
)

#: maximum bytes of the text of one field
MAX_VALUE_BYTES = 200
#: maximum bytes of the message of a ``logging`` record
MAX_MESSAGE_BYTES = 1000
#: maximum bytes of a traceback; its end is kept, as it names the error
MAX_TRACEBACK_BYTES = 1500
#: maximum bytes of a line; a pipe that polls as writable accepts this many at once
MAX_LINE_BYTES = 4096
#: maximum bytes of lines that wait for a slow reader; the requests of a stop that end
#: together write several times what a pipe takes
MAX_PENDING_BYTES = 256 * 1024
#: seconds for which an output that is closed waits for its reader
CLOSE_SECONDS = 0.1
#: maximum stages per request, and attempts per stage, that are logged
MAX_LOGGED_STAGES = 16
MAX_LOGGED_ATTEMPTS = 8

STDOUT = "-"

#: libraries that log each connection's start and end: the volume grows with the number
#: of peers, and the lines contain no decision and no state of this instance
QUIET_LIBRARIES = ("websockets",)


class LogLevel(IntEnum):
    """Log verbosity; each level includes those before it."""

    ERRORS = 0
    REQUESTS = 1
    STAGES = 2


def truncate(value: Any, limit: int = MAX_VALUE_BYTES) -> str:
    """Return ``value`` as text of at most ``limit`` bytes, plus an ellipsis.

    Lone surrogates, which JSON input may contain, are replaced: the encoder rejects
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
    """Writes log lines to a file descriptor without blocking.

    If the reader of standard output stalls, the pipe fills up and a blocking write
    would stop the event loop: the process would be alive but answer no request. Lines
    therefore wait, up to :data:`MAX_PENDING_BYTES`, until the descriptor is writable;
    beyond that they are dropped and counted.
    """

    def __init__(self, descriptor: int, *, owned: bool) -> None:
        self._descriptor = descriptor
        self._owned = owned
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._bridge = _LoggingBridge()
        self._destination = eliot.FileDestination(file=self)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        #: lines written or waiting
        self.written = 0
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write ``line`` now or later, or drop it; return the number of bytes taken."""
        if not line:
            return 0
        self._write_pending()
        if (
            len(line) > MAX_LINE_BYTES
            or self._pending_bytes + len(line) > MAX_PENDING_BYTES
        ):
            self.dropped += 1
            return 0
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.written += 1
        self._write_pending()
        return len(line)

    def flush(self) -> None:
        """Do nothing: lines are written as soon as the reader has room."""

    def attach(self, level: LogLevel) -> None:
        """Send eliot's messages and ``logging`` records to this output."""
        eliot.add_destinations(self._destination)
        root = logging.getLogger()
        root.addHandler(self._bridge)
        root.setLevel(logging.WARNING if level is LogLevel.ERRORS else logging.INFO)
        for name in QUIET_LIBRARIES:
            logging.getLogger(name).setLevel(logging.WARNING)

    def close(self) -> None:
        """Write what is left, detach, and close the file unless it is standard output.

        Waits for a slow reader for at most :data:`CLOSE_SECONDS`.
        """
        if self.dropped:
            eliot.log_message("greengagelatch:log-dropped", lines=self.dropped)
        eliot.remove_destination(self._destination)
        logging.getLogger().removeHandler(self._bridge)
        end = time.monotonic() + CLOSE_SECONDS
        self._write_pending()
        while self._pending and (left := end - time.monotonic()) > 0:
            self._poll.poll(left * 1000)
            self._write_pending()
        if self._owned:
            os.close(self._descriptor)

    def _write_pending(self) -> None:
        while self._pending and self._is_writable():
            line = self._pending.popleft()
            self._pending_bytes -= len(line)
            try:
                os.write(self._descriptor, line)
            except OSError:
                self.written -= 1
                self.dropped += 1

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


class _LoggingBridge(logging.Handler):
    """Forwards ``logging`` records to eliot, each as one message of limited size.

    eliot's own handler writes tracebacks without a limit, as separate messages.
    """

    def emit(self, record: logging.LogRecord) -> None:
        try:
            fields = _describe_record(record)
        except Exception:
            # a mismatch of format and arguments must not fail the code that logs
            self.handleError(record)
            return
        eliot.log_message("greengagelatch:log", **fields)


def _describe_record(record: logging.LogRecord) -> dict[str, str]:
    fields = {
        "log_level": record.levelname,
        "logger": record.name,
        "message": truncate(record.getMessage(), MAX_MESSAGE_BYTES),
    }
    if record.exc_info and record.exc_info[0] is not None:
        text = "".join(traceback.format_exception(*record.exc_info))
        fields["traceback"] = truncate(text[-MAX_TRACEBACK_BYTES:], MAX_TRACEBACK_BYTES)
    return fields


def configure_logging(settings: Settings) -> LogOutput:
    """Open the output that the setting ``log.file`` names and route all logs to it.

    :raises OSError: if the file can't be opened
    """
    level = LogLevel[settings["log.level"].upper()]
    return open_log_output(settings["log.file"], level, settings["instance.id"])


def open_log_output(path: str, level: LogLevel, instance_id: str) -> LogOutput:
    """Open :data:`STDOUT` or a file as the output of all logs.

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
    """Logs requests as eliot actions whose task id is the request id.

    All lines of a request, whatever the stage, can thus be found by its id.
    """

    def __init__(self, level: LogLevel) -> None:
        self._level = level

    def start_request(self, request: Request) -> RequestTrace:
        """Start the action of a request; the caller must finish the trace."""
        return RequestTrace(self._level, request)


class RequestTrace:
    """Logs one request."""

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
        """Start the action of a stage; the caller must finish the trace."""
        self._stages += 1
        action = None
        if self._level >= LogLevel.STAGES and self._stages <= MAX_LOGGED_STAGES:
            with self._action.context():
                action = eliot.start_action(
                    action_type="greengagelatch:stage",
                    stage=truncate(stage),
                    service=truncate(service),
                )
        return StageTrace(self, action)

    def finish(self, answer: Answer) -> None:
        """Log the final answer; at level ``errors``, only if it is a refusal."""
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
    """Logs one stage of a request."""

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
        if self._action is None or self._attempts > MAX_LOGGED_ATTEMPTS:
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
        """Log the outcome of the stage."""
        if self._action is None:
            return
        self._action.add_success_fields(
            outcome=truncate(outcome), verdict=verdict.name, attempts=self._attempts
        )
        self._action.finish()


def _to_milliseconds(seconds: Mapping[str, float]) -> dict[str, float]:
    shown = list(seconds.items())[:MAX_LOGGED_STAGES]
    return {truncate(name): round(value * 1000, 1) for name, value in shown}
