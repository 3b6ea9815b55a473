"""Command-line options of simulated targets."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from typing import TypeVar

__all__ = ("EngineOptions", "TargetOptions", "parse_options")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetOptions:
    """Options of every target, named after the fields: ``--service-ms`` and so on."""

    listen: str = "127.0.0.1:0"
    service: str = "service"
    target_id: str = "target"
    data_centre: str = "centre"
    #: mean service time of one call, or of a batch of one, in milliseconds
    service_ms: float = 10.0
    #: maximum number of concurrent calls, or maximum batch size
    capacity: int = 8
    #: maximum queue length; calls beyond it are rejected as not run
    queue: int = 64
    seed: int = 1
    #: maximum age of load reports in milliseconds
    load_lag_ms: float = 500.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions(TargetOptions):
    """Options of a model engine."""

    #: decode time per token for a batch of one, in milliseconds
    tokens_ms: float = 10.0
    #: fraction of the step time that each further call of a batch adds
    batch_growth: float = 0.1
    #: prefill time of a prompt whose prefix is not cached, in milliseconds
    prefill_ms: float = 60.0
    cache_entries: int = 8
    cache_event_lag_ms: float = 500.0
    #: fraction of cache events that are lost
    cache_gap_rate: float = 0.05
    #: time to apply an order, in milliseconds
    order_ms: float = 50.0
    fencing: str = field(
        default="checked", metadata={"choices": ("checked", "ignored")}
    )


Options = TypeVar("Options", bound=TargetOptions)


def parse_options(
    kind: type[Options], description: str, arguments: Sequence[str] | None = None
) -> Options:
    """Parse ``arguments`` (by default ``sys.argv[1:]``) into a ``kind``."""
    parser = argparse.ArgumentParser(description=description)
    for item in fields(kind):
        parser.add_argument(
            f"--{item.name.replace('_', '-')}",
            type=type(item.default),
            default=item.default,
            choices=item.metadata.get("choices"),
        )
    return kind(**vars(parser.parse_args(arguments)))
