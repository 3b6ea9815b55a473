"""``python -m greengagelatch_lab.load``: load-tests a running fleet."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from typing import TYPE_CHECKING, TextIO

import aiohttp

from ..fleets import FLEETS
from ..waiting import wait_until
from .balancer import Balancer, EntryInstance
from .client import CallerClient
from .record_client import list_targets
from .run import LoadRun
from .verification import check_run, plan_run

if TYPE_CHECKING:
    from .report import Report

__all__ = ("main",)

#: seconds to wait for the first instance to become ready
READY_TIMEOUT = 20.0
#: exit codes: no violation, at least one, run not completed
PASSED, FAILED, INCOMPLETE = 0, 1, 2


def main() -> int:
    """Run the load generator; return 1 if any guarantee was violated."""
    options = _parse_options()
    try:
        report = asyncio.run(_run_load(options))
    except (aiohttp.ClientError, TimeoutError) as error:
        print(f"run not completed: {error!r}", file=sys.stderr)
        return INCOMPLETE
    print(report.format(), file=_get_progress_file(options))
    if options.output == "json":
        print(json.dumps(report.encode()))
    return PASSED if report.passed else FAILED


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", choices=sorted(FLEETS), required=True)
    parser.add_argument(
        "--platform", required=True, help="host:port of the list of instances"
    )
    parser.add_argument(
        "--entry",
        action="append",
        required=True,
        type=_parse_entry,
        metavar="CALLERS/OPERATORS",
        help="host:port for callers and operators of an entry instance; repeatable",
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument(
        "--seed",
        type=int,
        default=1,
        help="use a different one for each run on the same fleet",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    return parser.parse_args()


def _parse_entry(text: str) -> EntryInstance:
    callers, sign, operators = text.partition("/")
    if not sign:
        raise argparse.ArgumentTypeError(f"expected CALLERS/OPERATORS, got {text!r}")
    return EntryInstance(
        instance_id=callers, caller_address=callers, operator_address=operators
    )


async def _run_load(options: argparse.Namespace) -> Report:
    fleet = FLEETS[options.fleet]
    arrivals = plan_run(
        fleet, seconds=options.seconds, scale=options.scale, seed=options.seed
    )
    output = _get_progress_file(options)
    random_source = random.Random(options.seed)
    async with (
        Balancer(random_source=random_source) as balancer,
        CallerClient() as client,
    ):
        for instance in options.entry:
            balancer.add(instance)
        await wait_until(
            lambda: bool(balancer.ready), timeout=READY_TIMEOUT, what="readiness"
        )
        run = LoadRun(
            arrivals=arrivals,
            balancer=balancer,
            client=client,
            on_progress=lambda line: print(line, file=output, flush=True),
        )
        await run.run()
    return await check_run(fleet, run, await list_targets(options.platform))


def _get_progress_file(options: argparse.Namespace) -> TextIO:
    """Return the file for text: standard error if standard output is JSON."""
    return sys.stderr if options.output == "json" else sys.stdout


if __name__ == "__main__":
    sys.exit(main())
