"""Measures what the daemon adds to a call, and what one core of it carries."""

from __future__ import annotations
