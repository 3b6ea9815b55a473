"""Life cycle of the daemon: start-up, waiting for a stop, shutdown."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .composition import Parts
    from .controllers import Controller
    from .relay.parts import RelayParts

__all__ = ("Application", "ExitCode")

logger = logging.getLogger(__name__)


class ExitCode:
    """Exit codes of the daemon."""

    #: all requests in flight were completed
    FINISHED = 0
    #: a component failed, or requests were cancelled because the time of the stop
    #: was over or a stop was requested a second time
    FAILED = 1
    #: invalid settings, or an address that can't be bound
    STARTUP_FAILED = 2


class Application:
    """Runs the components of one daemon from start to stop.

    Controllers start in the order of ``Parts.controllers``, so that each one starts
    after its dependencies, and stop in the reverse order: callers' requests end
    first, connections to peers last.
    """

    def __init__(self, parts: Parts | RelayParts) -> None:
        self._parts = parts
        self._failed = False

    async def run(self) -> int:
        """Run until a requested stop is complete; return the exit code."""
        started: list[Controller] = []
        # handlers come before the first controller starts: without them a signal kills
        # the process at once, together with requests that are already in flight
        self._install_signal_handlers()
        try:
            for controller in self._parts.controllers:
                controller.crash_listener = self._handle_crash
                await controller.start()
                started.append(controller)
        except OSError as error:
            logger.error("failed to start %s: %s", controller.name, error)
            await self._stop(started)
            return ExitCode.STARTUP_FAILED
        self._print_addresses()
        finished = await self._parts.drain.wait()
        await self._stop(started)
        return ExitCode.FINISHED if finished and not self._failed else ExitCode.FAILED

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number, handler in self._parts.signals.items():
            loop.add_signal_handler(signal_number, handler)

    def _print_addresses(self) -> None:
        """Print the listening addresses, as ports may be assigned by the system."""
        addresses = self._parts.list_addresses()
        entries = [f"{name}={address}" for name, address in addresses.items()]
        print("ready", *entries, flush=True)

    def _handle_crash(self, controller: Controller, reason: BaseException) -> None:
        logger.error(
            "controller %s failed: %r; stopping the instance", controller.name, reason
        )
        self._failed = True
        self._parts.drain.start_drain()

    async def _stop(self, started: list[Controller]) -> None:
        for controller in reversed(started):
            try:
                await controller.stop()
            except Exception:
                # the other controllers must still be able to release their resources
                logger.exception("controller %s failed to stop", controller.name)
        await self._parts.close()
