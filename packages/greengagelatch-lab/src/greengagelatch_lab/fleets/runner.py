"""Runs a whole fleet on loopback: platform, targets and daemons."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import aiohttp

from greengagelatch.config.objects import StageKind

from ..processes import ProcessError, ProcessGroup
from .daemon import LOOPBACK, Daemon
from .network import Network, PathKind
from .registry import Registry, describe_instance

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path
    from types import TracebackType

    from ..processes import Process
    from .model import Fleet, FleetService

__all__ = ("FleetRunner",)

PLATFORM_MODULE = "greengagelatch_lab.standins.platform"
ENGINE_MODULE = "greengagelatch_lab.standins.engine"
POOL_MODULE = "greengagelatch_lab.standins.pool"
PLAIN_MODULE = "greengagelatch_lab.standins.plain"
CLIENT_MODULE = "greengagelatch_cli"

#: entry instances of one data centre
ENTRIES_PER_DATA_CENTRE = 3
#: settings that suit short runs; the balancer of the load tool lags by half a second
SETTINGS = {"drain.balancer_lag": "1.5", "drain.longest": "10"}
#: seconds allowed until every daemon is ready, and for a planned stop
READY_TIMEOUT = 30.0
STOP_TIMEOUT = 20.0
#: seconds allowed to the operators' client
CLIENT_TIMEOUT = 40.0
POLL_INTERVAL = 0.05


class FleetRunner:
    """Starts a fleet's processes and ends them all.

    :param directory: for the settings, outputs and logs of the processes
    :param entries: entry instances of one data centre
    :param settings: further settings of the daemons, by ``section.key``
    :param routed: whether data centres have paths that can be cut, see :attr:`network`
    """

    def __init__(
        self,
        fleet: Fleet,
        directory: Path,
        *,
        entries: int = ENTRIES_PER_DATA_CENTRE,
        settings: Mapping[str, str] | None = None,
        routed: bool = False,
    ) -> None:
        self.fleet = fleet
        #: paths between the data centres, if they have any
        self.network = Network(fleet.data_centres) if routed else None
        self.daemons: list[Daemon] = []
        #: data centre of every daemon that was ever started, by id
        self.places: dict[str, str] = {}
        #: the targets, as the platform lists them
        self.targets: list[dict[str, str]] = []
        self._directory = directory
        self._entries = entries
        self._settings = {**SETTINGS, **(settings or {})}
        self._group = ProcessGroup(directory)
        self._stack = AsyncExitStack()
        self._registry: Registry | None = None

    @property
    def registry(self) -> Registry:
        """The platform's list; there is none before the start."""
        if self._registry is None:
            raise RuntimeError("the fleet was not started")
        return self._registry

    async def __aenter__(self) -> FleetRunner:
        await self._stack.enter_async_context(self._group)
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def find_process(self, name: str) -> Process:
        """Return the process of a target or daemon that was started last."""
        for process in reversed(self._group.processes):
            if process.name == name:
                return process
        raise LookupError(name)

    async def start_daemon(
        self,
        instance_id: str,
        data_centre: str,
        settings: Mapping[str, str] | None = None,
    ) -> Daemon:
        """Start one more daemon and enter it into the platform's list.

        :param settings: settings of this daemon alone, by ``section.key``
        """
        platform = self.registry.address
        if self.network is not None:
            platform = self.network.get_platform(data_centre)
        daemon = Daemon(
            instance_id,
            data_centre,
            directory=self._directory,
            platform=platform,
            settings={**self._settings, **(settings or {})},
            network=self.network,
        )
        self.places[instance_id] = data_centre
        # the group ends it with the others, also if its start fails
        self._group.processes.append(daemon.process)
        await daemon.start()
        await self._open_paths(data_centre, daemon.peers, PathKind.PEER)
        self.daemons.append(daemon)
        await self.registry.put([daemon.describe()])
        return daemon

    async def apply_objects(self, text: str = "") -> str:
        """Apply objects by the operators' client, and wait until they are in force.

        :param text: INI of the objects; empty: the fleet's own
        :raises ProcessError: if they are refused, or not in force everywhere in time
        """
        path = self._directory / f"{self.fleet.name}.ini"
        path.write_text(text or self.fleet.read_objects(), encoding="utf-8")
        return await self.run_client("apply", str(path), "--wait")

    async def run_client(self, *arguments: str, at: Daemon | None = None) -> str:
        """Run the operators' client and return what it printed.

        :param at: the only daemon to ask; by default any
        :raises ProcessError: if it fails
        """
        asked = self.daemons if at is None else [at]
        servers = ",".join(daemon.entry.operators for daemon in asked)
        command = ("-m", CLIENT_MODULE, *arguments, "--server", servers)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT):
                output, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise ProcessError(f"{arguments} took over {CLIENT_TIMEOUT} s") from None
        text = output.decode(errors="replace").strip()
        if process.returncode:
            raise ProcessError(f"{arguments} ended with {process.returncode}: {text}")
        return text

    async def wait_ready(self, *daemons: Daemon) -> None:
        """Wait until ``daemons``, by default all, may be given requests."""
        timeout = aiohttp.ClientTimeout(total=POLL_INTERVAL * 20)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            waits = [_wait_ready(session, daemon) for daemon in daemons or self.daemons]
            try:
                async with asyncio.timeout(READY_TIMEOUT):
                    await asyncio.gather(*waits)
            except TimeoutError:
                msg = f"not every daemon is ready after {READY_TIMEOUT} s"
                raise ProcessError(msg) from None

    async def stop_daemon(self, daemon: Daemon) -> int:
        """Stop a daemon as planned; return its exit status."""
        daemon.process.terminate()
        status = await daemon.process.wait(STOP_TIMEOUT)
        self.daemons.remove(daemon)
        return status

    async def _start(self) -> None:
        platform = await self._group.run_module("platform", PLATFORM_MODULE)
        registry = Registry(platform.ready)
        self._registry = await self._stack.enter_async_context(registry)
        if self.network is not None:
            await self._stack.enter_async_context(self.network)
            await self.network.open_platform(registry.address)
        starts = []
        for service in self.fleet.services:
            for number in range(service.replicas):
                starts.append(self._start_target(service, number))
        self.targets = list(await asyncio.gather(*starts))
        await registry.put(self.targets)
        starts = []
        for data_centre in self.fleet.data_centres:
            for number in range(self._entries):
                name = f"{data_centre}-entry-{number + 1}"
                starts.append(self.start_daemon(name, data_centre))
        await asyncio.gather(*starts)

    async def _start_target(self, service: FleetService, number: int) -> dict[str, str]:
        data_centres = self.fleet.data_centres
        data_centre = data_centres[number % len(data_centres)]
        name = f"{service.name}-{number + 1}"
        host = LOOPBACK
        if self.network is not None:
            host = self.network.assign_host(data_centre)
        process = await self._group.run_module(
            name,
            _find_module(service.kind),
            f"--listen={host}:0",
            f"--service={service.name}",
            f"--target-id={name}",
            f"--data-centre={data_centre}",
            f"--seed={number + 1}",
        )
        await self._open_paths(data_centre, process.ready, PathKind.TARGET)
        return describe_instance(
            name, "target", data_centre, process.ready, service=service.name
        )

    async def _open_paths(self, data_centre: str, address: str, kind: PathKind) -> None:
        if self.network is not None:
            await self.network.open_paths(data_centre, address, kind)


async def _wait_ready(session: aiohttp.ClientSession, daemon: Daemon) -> None:
    url = f"http://{daemon.entry.operators}/readyz"
    while True:
        try:
            async with session.get(url) as response:
                if response.status == 200:
                    return
        except (aiohttp.ClientError, TimeoutError):
            # it may not listen yet; the caller bounds the wait
            pass
        await asyncio.sleep(POLL_INTERVAL)


def _find_module(kind: StageKind) -> str:
    if kind is StageKind.GENERATE:
        return ENGINE_MODULE
    if kind is StageKind.PLAIN:
        return PLAIN_MODULE
    return POOL_MODULE
