"""Decisions of one request's run through its pipeline, without any input or output."""

from __future__ import annotations
