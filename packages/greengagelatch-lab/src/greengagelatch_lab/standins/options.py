"""Command-line options of the targets' stand-ins."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from typing import TypeVar

__all__ = ("EngineOptions", "TargetOptions", "parse_options")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetOptions:
    """Options of every target; ``--service-ms`` sets ``service_ms``, and so on."""

    listen: str = "127.0.0.1:0"
    service: str = "service"
    target_id: str = "target"
    data_centre: str = "centre"
    #: usual time of one call, or of a batch of one
    service_ms: float = 10.0
    #: calls run side by side, or the largest batch
    capacity: int = 8
    #: calls that may wait; more are refused as not run
    queue: int = 64
    seed: int = 1
    #: age that load reports reach
    load_lag_ms: float = 500.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions(TargetOptions):
    """Options of a model engine."""

    #: time of one token for a batch of one
    tokens_ms: float = 10.0
    #: share by which each further call of a batch lengthens a step
    batch_growth: float = 0.1
    #: time to read a prompt whose prefix is not cached
    prefill_ms: float = 60.0
    cache_entries: int = 8
    cache_event_lag_ms: float = 500.0
    #: share of cache events that are never shown
    cache_gap_rate: float = 0.05
    #: time that an order takes to be carried out
    order_ms: float = 50.0
    fencing: str = field(
        default="checked", metadata={"choices": ("checked", "ignored")}
    )


Options = TypeVar("Options", bound=TargetOptions)


def parse_options(
    kind: type[Options], description: str, arguments: Sequence[str] | None = None
) -> Options:
    """Parse ``arguments`` (by default the process's own) into a ``kind``."""
    parser = argparse.ArgumentParser(description=description)
    for item in fields(kind):
        parser.add_argument(
            f"--{item.name.replace('_', '-')}",
            type=type(item.default),
            default=item.default,
            choices=item.metadata.get("choices"),
        )
    return kind(**vars(parser.parse_args(arguments)))
