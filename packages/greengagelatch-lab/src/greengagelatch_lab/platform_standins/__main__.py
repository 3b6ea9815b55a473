"""Runs the platform program with simulated store and targets until interrupted."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from pathlib import Path

from .deployment import API_KEY, HOST
from .fleet import PlatformFleet

__all__ = ("main",)


async def _run() -> None:
    with tempfile.TemporaryDirectory() as directory:
        fleet = PlatformFleet(Path(directory))
        try:
            await fleet.start()
            for instance in fleet.instances:
                print(
                    f"{instance.name}: http://{instance.front}/look/1"
                    f" (Host: {HOST}, Authorization: Bearer {API_KEY}),"
                    f" metrics http://{instance.metrics}/metrics"
                )
            await asyncio.Event().wait()
        finally:
            await fleet.stop()


def main() -> None:
    """Run until interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run())


if __name__ == "__main__":
    main()
