"""``python -m greengagelatch_lab.fleets.routed``: a daemon with redirected connections.

It runs the unmodified daemon with ``--from NUMBER`` removed from its arguments. Its
event loop emulates the network of its data centre: connections to processes of other
data centres are redirected to the paths of :mod:`.network`.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import TYPE_CHECKING, Any

from greengagelatch_entry.__main__ import main as run_daemon

from .network import redirect_host

if TYPE_CHECKING:
    import socket

__all__ = ("RoutedLoop", "main")


class RoutedLoop(asyncio.SelectorEventLoop):
    """Event loop that redirects connections to other data centres.

    It overrides ``sock_connect``, which both HTTP and WebSocket clients use.

    :param source: number of the data centre of this process
    """

    def __init__(self, source: int) -> None:
        super().__init__()
        self._source = source

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        host, *rest = address
        await super().sock_connect(sock, (redirect_host(self._source, host), *rest))


class _RoutedPolicy(asyncio.DefaultEventLoopPolicy):
    def __init__(self, source: int) -> None:
        super().__init__()
        self._source = source

    def new_event_loop(self) -> RoutedLoop:
        return RoutedLoop(self._source)


def main() -> int:
    """Run the daemon in a data centre; return its exit code."""
    parser = argparse.ArgumentParser(description=main.__doc__, allow_abbrev=False)
    parser.add_argument("--from", dest="source", type=int, required=True)
    options, rest = parser.parse_known_args()
    asyncio.set_event_loop_policy(_RoutedPolicy(options.source))
    sys.argv[1:] = rest
    return run_daemon()


if __name__ == "__main__":
    sys.exit(main())
