"""Measures the cost of logging one request at each log level.

Run as ``python -m greengagelatch_lab.log_cost``. Lines are written to a pipe, like the
standard output of a daemon; it is read between batches, outside the measured time.
"""

from __future__ import annotations

import os
import statistics
import time

from greengagelatch.request import Answer, Request
from greengagelatch.verdict import Verdict
from greengagelatch_entry.logs import LogLevel, LogOutput, RequestLog

__all__ = ("main",)

ROUNDS = 7
BATCHES = 400
#: requests logged before the pipe is read; their lines fit into its buffer
REQUESTS_PER_BATCH = 10
STAGES = ("encode", "retrieve", "rerank", "generate")

#: upper bound of one read from the pipe, in bytes
MAX_READ_BYTES = 1 << 17


def main() -> None:
    """Print one line for each log level."""
    print("level      us/request   best  bytes/request  lines/request  dropped")
    for level in LogLevel:
        print(_measure_level(level))


def _measure_level(level: LogLevel) -> str:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    output = LogOutput(writer, owned=True)
    output.attach(level)
    log = RequestLog(level)
    costs = []
    size = 0
    for _ in range(ROUNDS):
        seconds, received = _run_round(log, reader)
        costs.append(seconds)
        size += received
    output.close()
    os.close(reader)
    requests = ROUNDS * BATCHES * REQUESTS_PER_BATCH
    return (
        f"{level.name.lower():<10} {statistics.median(costs) * 1e6:>10.1f}"
        f"  {min(costs) * 1e6:>5.1f}  {size / requests:>13.0f}"
        f"  {output.written / requests:>13.1f}  {output.dropped:>7}"
    )


def _run_round(log: RequestLog, reader: int) -> tuple[float, int]:
    """Return the processor seconds per request and the number of bytes logged."""
    spent = 0.0
    received = 0
    for batch in range(BATCHES):
        start = time.thread_time()
        for number in range(REQUESTS_PER_BATCH):
            _log_request(log, batch * REQUESTS_PER_BATCH + number)
        spent += time.thread_time() - start
        received += _drain(reader)
    return spent / (BATCHES * REQUESTS_PER_BATCH), received


def _drain(reader: int) -> int:
    try:
        return len(os.read(reader, MAX_READ_BYTES))
    except BlockingIOError:
        return 0


def _log_request(log: RequestLog, number: int) -> None:
    request = Request(
        request_id=f"r-{number:024x}",
        workspace="broker-desk",
        pipeline="quote",
        input=None,
        received=10.0,
        deadline=18.0,
    )
    trace = log.start_request(request)
    for name in STAGES:
        stage = trace.start_stage(name, f"{name}-pool")
        stage.log_attempt(
            attempt_id=f"a-{number:024x}",
            target_id=f"{name}-3",
            outcome="answered",
            seconds=0.123,
            verdict=Verdict.RAN,
        )
        stage.finish(outcome="answered", verdict=Verdict.RAN)
    seconds = dict.fromkeys(STAGES, 0.123)
    trace.finish(
        Answer(
            request_id=request.request_id, verdict=Verdict.RAN, stage_seconds=seconds
        )
    )


if __name__ == "__main__":
    main()
