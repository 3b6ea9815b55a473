"""A daemon that stops itself with SIGSTOP while it sends its first order.

Run as ``python -m greengagelatch_lab.halting --halt before|after ARGUMENTS`` with the
daemon's own arguments. It halts immediately before or after the check that precedes
the first byte of the order, and prints ``halted`` before it does. The process that
started it resumes it with SIGCONT. A signal from another process would hardly ever
arrive between the check and the first byte.
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

#: line that is printed before the process halts
HALTED = "halted"

#: when to halt, relative to the check of the order
BEFORE = "before"
AFTER = "after"


class _HaltingClient(HttpOrderClient):
    """Sends orders, and halts the process once at the check of the first one."""

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
    """Run the daemon with a client that halts the process; return the exit code."""
    parser = argparse.ArgumentParser(description=main.__doc__, allow_abbrev=False)
    parser.add_argument("--halt", choices=(BEFORE, AFTER), required=True)
    options, rest = parser.parse_known_args()
    _HaltingClient.moment = options.halt
    # all other components are the production ones
    composition.HttpOrderClient = _HaltingClient
    sys.argv[1:] = rest
    return run_daemon()


if __name__ == "__main__":
    sys.exit(main())
