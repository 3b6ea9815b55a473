"""Tests of greengagelatch_entry.logs."""

from __future__ import annotations

import json
import logging
import os
import threading

import eliot
import pytest

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer, Request
from greengagelatch.settings import parse
from greengagelatch.verdict import Verdict
from greengagelatch_entry import logs
from greengagelatch_entry.logs import (
    LogLevel,
    LogOutput,
    RequestLog,
    configure_logging,
    truncate,
)

#: timeout of every wait in seconds
WAIT_SECONDS = 20

SETTINGS = """
[instance]
id = entry-1
data_centre = fukuoka-a
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
[log]
level = {level}
file = {path}
"""


@pytest.fixture
def open_log(tmp_path):
    """Return a function that configures logging and one that reads the log."""
    # eliot buffers messages until its first destination is added: without this, lines
    # of tests that ran earlier in this process would be written to this file
    eliot.add_destinations(_discard)
    eliot.remove_destination(_discard)
    path = tmp_path / "log.jsonl"
    outputs = []

    def configure_at(level):
        settings = parse(SETTINGS.format(level=level, path=path)).unwrap()
        outputs.append(configure_logging(settings))
        return RequestLog(LogLevel[level.upper()])

    def read():
        return [json.loads(line) for line in path.read_text().splitlines()]

    yield configure_at, read
    for output in outputs:
        output.close()


def _discard(message):
    pass


def _create_request(**changes):
    fields = {
        "request_id": "r-1",
        "workspace": "broker",
        "pipeline": "quote",
        "input": None,
        "received": 10.0,
        "deadline": 12.0,
    }
    return Request(**{**fields, **changes})


def _run_request(log, refusal=None, attempts=1):
    trace = log.start_request(_create_request())
    stage = trace.start_stage("draft", "greengage-llm")
    for number in range(attempts):
        stage.log_attempt(
            attempt_id=f"a-{number}",
            target_id="llm-1",
            outcome="answered",
            seconds=0.25,
            verdict=Verdict.RAN,
            failed=number < attempts - 1,
        )
    stage.finish(outcome="answered", verdict=Verdict.RAN)
    trace.finish(Answer(request_id="r-1", verdict=Verdict.RAN, refusal=refusal))


def test_all_lines_of_a_request_carry_its_id(open_log):
    configure_at, read = open_log
    _run_request(configure_at("stages"))
    lines = read()
    assert {line["task_uuid"] for line in lines} == {"r-1"}
    assert {line["instance"] for line in lines} == {"entry-1"}
    levels = [line["task_level"] for line in lines]
    assert levels == [[1], [2, 1], [2, 2], [2, 3], [3]]
    assert lines[2]["target"] == "llm-1"
    assert lines[-1]["outcome"] == "answered"


def test_levels_bound_what_is_logged(open_log):
    configure_at, read = open_log
    _run_request(configure_at("requests"), attempts=3)
    first, last = read()
    assert first["budget_ms"] == 2000
    assert (last["attempts"], last["failed_attempts"]) == (3, 2)


def test_level_errors_logs_refusals_only(open_log):
    configure_at, read = open_log
    log = configure_at("errors")
    _run_request(log)
    assert read() == []
    refusal = Refusal(code=RefusalCode.NO_TARGET, message="none", value="v" * 999)
    _run_request(log, refusal)
    last = read()[-1]
    assert (last["outcome"], last["code"]) == ("refused", "no-target")
    assert len(last["value"]) == logs.MAX_VALUE_BYTES + 1


def test_attempts_of_a_retry_storm_are_counted_not_logged(open_log):
    configure_at, read = open_log
    _run_request(configure_at("stages"), attempts=100)
    lines = read()
    assert len(lines) == 4 + logs.MAX_LOGGED_ATTEMPTS
    assert lines[-1]["attempts"] == 100


def test_truncate_makes_every_text_encodable():
    """Guards against missing log lines of requests.

    A caller sends a lone surrogate in JSON, which the encoder of the log rejects.
    """
    assert truncate("\ud800x") == "?x"
    assert truncate("é" * 300) == "é" * 100 + "…"
    assert truncate(12) == "12"


def test_logging_is_bridged_with_a_bounded_traceback(open_log):
    configure_at, read = open_log
    configure_at("errors")
    logger = logging.getLogger("greengagelatch.test")
    logger.info("not shown on this level")
    try:
        raise RuntimeError("y" * 5000)
    except RuntimeError:
        logger.exception("failed: %s", "é" * 5000)
    (line,) = read()
    assert line["log_level"] == "ERROR"
    assert line["message"].startswith("failed: é")
    assert line["traceback"].endswith("yyy\n")


def test_record_that_can_not_be_formatted_does_not_raise(open_log, monkeypatch):
    """Guards against requests that fail with an error of a log call.

    A log call has more arguments than its format. The handler must not raise the
    formatting error to its caller.
    """
    configure_at, read = open_log
    configure_at("requests")
    monkeypatch.setattr(logging, "raiseExceptions", False)
    logging.getLogger("greengagelatch.test").warning("%d", "a", "b")
    assert read() == []


def test_stalled_reader_of_stdout_does_not_block():
    """Guards against an instance that is alive and idle but answers no request.

    The reader of standard output stalls and the pipe fills up. A blocking write of
    the next log line would stop the event loop.
    """
    reader, writer = os.pipe()
    output = LogOutput(writer, owned=True)
    try:
        line = b"x" * 999 + b"\n"
        for _ in range(1000):
            output.write(line)
        assert output.written > 0
        assert output.dropped > 0
        assert output.written + output.dropped == 1000
        os.read(reader, 1 << 20)
        assert output.write(line) == len(line)
    finally:
        os.close(reader)
        os.close(writer)


def test_last_lines_of_a_burst_are_written_as_the_output_is_closed(monkeypatch):
    """Guards against stops whose last lines are dropped while the reader is slow."""
    monkeypatch.setattr(logs, "CLOSE_SECONDS", WAIT_SECONDS)
    reader, writer = os.pipe()
    output = LogOutput(writer, owned=True)
    output.attach(LogLevel.REQUESTS)
    lines = [b"%06d" % number + b"x" * 992 + b"\n" for number in range(200)]
    for line in lines:
        output.write(line)
    read = []

    def read_all():
        while data := os.read(reader, 1 << 16):
            read.append(data)

    thread = threading.Thread(target=read_all, daemon=True)
    thread.start()
    output.close()
    thread.join(WAIT_SECONDS)
    os.close(reader)
    assert b"".join(read) == b"".join(lines)
    assert output.dropped == 0


def test_close_of_an_output_without_a_reader_ends():
    reader, writer = os.pipe()
    output = LogOutput(writer, owned=True)
    output.attach(LogLevel.REQUESTS)
    for _ in range(200):
        output.write(b"x" * 999 + b"\n")
    output.close()
    os.close(reader)


def test_line_too_long_for_a_pipe_is_dropped_and_counted():
    reader, writer = os.pipe()
    output = LogOutput(writer, owned=True)
    try:
        assert output.write(b"x" * (logs.MAX_LINE_BYTES + 1)) == 0
        assert output.dropped == 1
    finally:
        os.close(reader)
        os.close(writer)
