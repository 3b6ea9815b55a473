"""Tests of greengagelatch_entry.metrics with a statsd server."""

from __future__ import annotations

import socket
from collections import Counter

from greengagelatch_entry.metrics import FLUSH_SECONDS, MAX_TIMINGS, Metrics


class StatsdServer:
    """A statsd server that receives datagrams on a free port."""

    def __init__(self):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(5)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"

    def read_lines(self):
        return self._socket.recv(65_536).decode().split("\n")

    def close(self):
        self._socket.close()


def test_metrics_are_batched_without_loss():
    now = [0.0]
    server = StatsdServer()
    metrics = Metrics(server.address, now=lambda: now[0])
    for _ in range(3):
        metrics.count("requests.answered")
        metrics.timing("requests.answered", 0.002)
    metrics.gauge("scheduling.waiting", 4)
    metrics.gauge("scheduling.waiting", 5)
    now[0] = FLUSH_SECONDS
    metrics.count("requests.quota")
    assert Counter(server.read_lines()) == {
        "greengagelatch.requests.answered:3|c": 1,
        "greengagelatch.requests.quota:1|c": 1,
        "greengagelatch.scheduling.waiting:5|g": 1,
        "greengagelatch.requests.answered:2.000000|ms": 3,
    }
    assert metrics.value("requests.answered") == 3
    server.close()


def test_number_of_collected_durations_is_limited():
    server = StatsdServer()
    metrics = Metrics(server.address, now=lambda: 0.0)
    for _ in range(MAX_TIMINGS):
        metrics.timing("stage", 1.0)
    received = 0
    while received < MAX_TIMINGS:
        received += len(server.read_lines())
    assert received == MAX_TIMINGS
    server.close()


def test_object_name_that_is_not_ascii_does_not_raise():
    """Guards against internal errors for all requests of one pipeline.

    An operator names a pipeline in Japanese, and the name becomes part of a metric
    name. statsd's client raises on characters that are not ASCII.
    """
    server = StatsdServer()
    metrics = Metrics(server.address, now=lambda: 0.0)
    metrics.count("stage.見積もり:a|b")
    metrics.flush()
    (line,) = server.read_lines()
    assert line == "greengagelatch.stage.????_a_b:1|c"
    server.close()
