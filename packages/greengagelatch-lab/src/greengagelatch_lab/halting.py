"""A daemon that halts itself at the worst moment of its first order.

Run as ``python -m greengagelatch_lab.halting --halt before|after ARGUMENTS`` with the
daemon's own arguments: it halts right before or right after the check that is made
before the first byte of the order, and prints ``halted`` just before that. Whoever
started it lets it go on. A process that is halted from outside is hardly ever caught
between these two.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys
from typing import TYPE_CHECKING

from greengagelatch_entry import composition
from greengagelatch_entry.__main__ import main as run_daemon
from greengagelatch_entry.adapters.orders import HttpOrderClient

if TYPE_CHECKING:
    from greengagelatch.orders import Order, OrderAnswer, OrderGuard
    from greengagelatch.targets import Target

__all__ = ("HALTED", "main")

#: line printed before the process halts
HALTED = "halted"

BEFORE = "before"
AFTER = "after"


class _HaltingClient(HttpOrderClient):
    """Halts the process once, at the check of the first order."""

    moment = BEFORE
    halted = False

    async def send(
        self, target: Target, order: Order, guard: OrderGuard
    ) -> OrderAnswer:
        return await super().send(target, order, lambda: self._check(guard))

    def _check(self, guard: OrderGuard) -> bool:
        if self.moment == BEFORE:
            self._halt()
        allowed = guard()
        if self.moment == AFTER:
            self._halt()
        return allowed

    def _halt(self) -> None:
        if self.halted:
            return
        self.halted = True
        print(HALTED, flush=True)
        os.kill(os.getpid(), signal.SIGSTOP)


def main() -> int:
    """Run the daemon with a client that halts; return its exit code."""
    parser = argparse.ArgumentParser(description=main.__doc__, allow_abbrev=False)
    parser.add_argument("--halt", choices=(BEFORE, AFTER), required=True)
    options, rest = parser.parse_known_args()
    _HaltingClient.moment = options.halt
    # the composition root wires the real parts; only this one is exchanged
    composition.HttpOrderClient = _HaltingClient
    sys.argv[1:] = rest
    return run_daemon()


if __name__ == "__main__":
    sys.exit(main())
