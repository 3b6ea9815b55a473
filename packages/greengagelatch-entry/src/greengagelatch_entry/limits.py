"""Limits of the request path, read from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.connection_limits import find_max_connections
from greengagelatch.stages.retries import RetryRules

from .adapters.callers import CallerLimits
from .adapters.targets import TargetLimits
from .descriptors import find_descriptor_limit
from .filters.request_parser import RequestLimits

if TYPE_CHECKING:
    from greengagelatch.settings import Settings

__all__ = (
    "read_caller_limits",
    "read_request_limits",
    "read_retry_rules",
    "read_target_limits",
)


def read_caller_limits(settings: Settings) -> CallerLimits:
    """Return the limits on callers' connections."""
    return CallerLimits(
        max_body_bytes=settings["callers.max_body_bytes"],
        max_header_bytes=settings["callers.max_header_bytes"],
        max_connections=find_max_connections(
            find_descriptor_limit(), settings["callers.max_connections"]
        ),
        idle_timeout=settings["callers.idle_timeout"],
        body_timeout=settings["callers.body_timeout"],
        write_timeout=settings["callers.write_timeout"],
        max_unwritten_bytes=settings["callers.max_unwritten_bytes"],
    )


def read_request_limits(settings: Settings) -> RequestLimits:
    """Return the limits on the content of requests."""
    return RequestLimits(max_deadline_ms=settings["callers.max_deadline_ms"])


def read_target_limits(settings: Settings) -> TargetLimits:
    """Return the limits on calls to targets."""
    return TargetLimits(
        connect_timeout=settings["targets.connect_timeout"],
        stall_timeout=settings["targets.stall_timeout"],
        gap_timeout=settings["targets.gap_timeout"],
        idle_timeout=settings["targets.idle_timeout"],
        max_age=settings["targets.max_age"],
        max_answer_bytes=settings["targets.max_answer_bytes"],
    )


def read_retry_rules(settings: Settings) -> RetryRules:
    """Return the limits on retries."""
    return RetryRules(max_attempts=settings["targets.max_attempts"])
