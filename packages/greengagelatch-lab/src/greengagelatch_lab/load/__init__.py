"""The load generator: sends a fleet's traffic and verifies every response."""

from __future__ import annotations

from .balancer import Balancer, EntryInstance
from .report import Report
from .run import LoadRun
from .verification import check_run, plan_run

__all__ = ("Balancer", "EntryInstance", "LoadRun", "Report", "check_run", "plan_run")
