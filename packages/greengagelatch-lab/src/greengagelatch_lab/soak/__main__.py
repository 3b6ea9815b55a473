"""Runs the soak: ``python -m greengagelatch_lab.soak``."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from .run import run_soak


def main() -> int:
    """Run one seed after the other, and print what each has shown."""
    options = _read_options()
    directory = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        logs = directory / f"seed-{seed}"
        logs.mkdir(parents=True)
        report = asyncio.run(run_soak(seed, options.seconds, logs))
        print(report, flush=True)
        if report.violations:
            failed.append(seed)
    print(f"{options.seeds} seeds, failed: {failed}; logs in {directory}")
    return bool(failed)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="length of one run in seconds"
    )
    parser.add_argument(
        "--logs", type=Path, help="directory of the processes' settings and logs"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
