"""Core logic, types and interfaces of greengagelatch, without any I/O."""

from __future__ import annotations

__all__ = ("__version__",)

__version__ = "0.1.0"
