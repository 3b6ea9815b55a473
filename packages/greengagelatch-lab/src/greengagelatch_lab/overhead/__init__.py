"""Benchmarks the latency that the daemon adds and its throughput per core."""

from __future__ import annotations
