"""Decisions, types and interfaces of greengagelatch, free of sockets and clocks."""

from __future__ import annotations

__all__ = ("__version__",)

__version__ = "0.1.0"
