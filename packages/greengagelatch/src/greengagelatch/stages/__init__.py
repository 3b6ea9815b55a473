"""Decisions on one request's run through its pipeline, without any I/O."""

from __future__ import annotations
