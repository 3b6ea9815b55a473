"""The application: starts the parts, waits for a stop and carries it out."""

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

    #: every request in flight was finished
    FINISHED = 0
    #: a part failed, or requests were cut by a second stop request
    FAILED = 1
    #: the settings or an address could not be used
    BAD_START = 2


class Application:
    """Runs the parts of one daemon from start to stop.

    Parts start in the order of ``Parts.controllers``, so that each finds those it
    asks already running, and stop in the reverse order: callers' requests end
    first, links to peers last.
    """

    def __init__(self, parts: Parts | RelayParts) -> None:
        self._parts = parts
        self._failed = False

    async def run(self) -> int:
        """Run until a stop is requested and carried out; return the exit code."""
        started: list[Controller] = []
        # before the first part serves: until then a signal ends the process at once,
        # and callers that a part had already let in would be cut
        self._listen_to_signals()
        try:
            for controller in self._parts.controllers:
                controller.crash_listener = self._note_crash
                await controller.start()
                started.append(controller)
        except OSError as error:
            logger.error("can't start %s: %s", controller.name, error)
            await self._stop(started)
            return ExitCode.BAD_START
        self._announce()
        finished = await self._parts.drain.wait()
        await self._stop(started)
        return ExitCode.FINISHED if finished and not self._failed else ExitCode.FAILED

    def _listen_to_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number, handler in self._parts.signals.items():
            loop.add_signal_handler(number, handler)

    def _announce(self) -> None:
        """Tell whoever started the process which ports the system gave it."""
        addresses = self._parts.list_addresses()
        words = [f"{name}={address}" for name, address in addresses.items()]
        print("ready", *words, flush=True)

    def _note_crash(self, controller: Controller, reason: BaseException) -> None:
        logger.error("%s failed: %r; stopping", controller.name, reason)
        self._failed = True
        self._parts.drain.start_drain()

    async def _stop(self, started: list[Controller]) -> None:
        for controller in reversed(started):
            try:
                await controller.stop()
            except Exception:
                # the others must still get to end what they hold
                logger.exception("%s did not stop cleanly", controller.name)
        await self._parts.close()
