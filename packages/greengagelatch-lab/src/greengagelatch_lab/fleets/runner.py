"""Runs a complete fleet on loopback: platform, targets and daemons."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import aiohttp

from greengagelatch.config.objects import StageKind

from ..processes import ProcessError, ProcessGroup
from .daemon import LOOPBACK, Daemon
from .instance_list import InstanceListClient, create_list_entry
from .network import Network, PathKind

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

#: entry instances per data centre
ENTRIES_PER_DATA_CENTRE = 3
#: settings for short runs; the load generator polls readiness every half second
SHORT_RUN_SETTINGS = {"drain.balancer_lag": "1.5", "drain.longest": "10"}
#: seconds to wait until every daemon is ready, and for a graceful shutdown
READY_TIMEOUT = 30.0
STOP_TIMEOUT = 20.0
#: seconds that the command-line client may run
CLIENT_TIMEOUT = 40.0
#: seconds between readiness checks
POLL_INTERVAL = 0.05


class FleetRunner:
    """Starts the processes of a fleet and terminates them on exit.

    :param directory: directory for the settings, output and logs of the processes
    :param entries_per_data_centre: number of entry instances in each data centre
    :param settings: additional settings of the daemons, by ``section.key``
    :param emulate_network: whether to emulate paths between data centres, see
        :attr:`network`
    """

    def __init__(
        self,
        fleet: Fleet,
        directory: Path,
        *,
        entries_per_data_centre: int = ENTRIES_PER_DATA_CENTRE,
        settings: Mapping[str, str] | None = None,
        emulate_network: bool = False,
    ) -> None:
        self.fleet = fleet
        #: paths between the data centres; ``None`` for direct connections
        self.network = Network(fleet.data_centres) if emulate_network else None
        self.daemons: list[Daemon] = []
        #: data centre of every daemon started so far, by instance id
        self.daemon_data_centres: dict[str, str] = {}
        #: the targets, as entries of the platform's list
        self.targets: list[dict[str, str]] = []
        self._directory = directory
        self._entries_per_data_centre = entries_per_data_centre
        self._settings = {**SHORT_RUN_SETTINGS, **(settings or {})}
        self._group = ProcessGroup(directory)
        self._stack = AsyncExitStack()
        self._instance_list: InstanceListClient | None = None

    @property
    def instance_list(self) -> InstanceListClient:
        """Client of the platform's list of instances, available after the start."""
        if self._instance_list is None:
            raise RuntimeError(f"fleet {self.fleet.name} is not started")
        return self._instance_list

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
        """Return the most recently started process of a target or daemon.

        :raises LookupError: if no process has this name
        """
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
        """Start a daemon and register it with the platform.

        :param settings: additional settings of this daemon, by ``section.key``
        """
        platform = self.instance_list.address
        if self.network is not None:
            platform = self.network.get_platform_address(data_centre)
        daemon = Daemon(
            instance_id,
            data_centre,
            directory=self._directory,
            platform=platform,
            settings={**self._settings, **(settings or {})},
            network=self.network,
        )
        self.daemon_data_centres[instance_id] = data_centre
        # added first, so that the group terminates it even if its start fails
        self._group.processes.append(daemon.process)
        await daemon.start()
        await self._open_paths(data_centre, daemon.peer_address, PathKind.PEER)
        self.daemons.append(daemon)
        await self.instance_list.put([daemon.create_list_entry()])
        return daemon

    async def apply_objects(self, text: str = "") -> str:
        """Apply configuration objects and wait until they are in force.

        :param text: INI text of the objects; by default those of the fleet
        :raises ProcessError: if the objects are rejected, or not in force on every
            instance before the time-out
        """
        path = self._directory / f"{self.fleet.name}.ini"
        path.write_text(text or self.fleet.read_objects(), encoding="utf-8")
        return await self.run_client("apply", str(path), "--wait")

    async def run_client(self, *arguments: str, daemon: Daemon | None = None) -> str:
        """Run the command-line client and return its output.

        :param daemon: daemon to connect to; by default any
        :raises ProcessError: if the client fails or exceeds its time-out
        """
        daemons = self.daemons if daemon is None else [daemon]
        servers = ",".join(item.entry.operator_address for item in daemons)
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
            raise ProcessError(
                f"client {arguments} timed out after {CLIENT_TIMEOUT} s"
            ) from None
        text = output.decode(errors="replace").strip()
        if process.returncode:
            raise ProcessError(
                f"client {arguments} exited with {process.returncode}: {text}"
            )
        return text

    async def wait_ready(self, *daemons: Daemon) -> None:
        """Wait until ``daemons``, by default all, accept requests."""
        timeout = aiohttp.ClientTimeout(total=POLL_INTERVAL * 20)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            waits = [_wait_ready(session, daemon) for daemon in daemons or self.daemons]
            try:
                async with asyncio.timeout(READY_TIMEOUT):
                    await asyncio.gather(*waits)
            except TimeoutError:
                msg = f"daemons not ready after {READY_TIMEOUT} s"
                raise ProcessError(msg) from None

    async def stop_daemon(self, daemon: Daemon) -> int:
        """Shut a daemon down gracefully; return its exit status."""
        daemon.process.terminate()
        status = await daemon.process.wait(STOP_TIMEOUT)
        self.daemons.remove(daemon)
        return status

    async def _start(self) -> None:
        platform = await self._group.run_module("platform", PLATFORM_MODULE)
        instance_list = InstanceListClient(platform.ready)
        self._instance_list = await self._stack.enter_async_context(instance_list)
        if self.network is not None:
            await self._stack.enter_async_context(self.network)
            await self.network.open_platform_paths(instance_list.address)
        starts = []
        for service in self.fleet.services:
            for number in range(service.replicas):
                starts.append(self._start_target(service, number))
        self.targets = list(await asyncio.gather(*starts))
        await instance_list.put(self.targets)
        starts = []
        for data_centre in self.fleet.data_centres:
            for number in range(self._entries_per_data_centre):
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
        return create_list_entry(
            name, "target", data_centre, process.ready, service=service.name
        )

    async def _open_paths(self, data_centre: str, address: str, kind: PathKind) -> None:
        if self.network is not None:
            await self.network.open_paths(data_centre, address, kind)


async def _wait_ready(session: aiohttp.ClientSession, daemon: Daemon) -> None:
    url = f"http://{daemon.entry.operator_address}/readyz"
    while True:
        try:
            async with session.get(url) as response:
                if response.status == 200:
                    return
        except (aiohttp.ClientError, TimeoutError):
            # it may not listen yet; the caller sets the time-out
            pass
        await asyncio.sleep(POLL_INTERVAL)


def _find_module(kind: StageKind) -> str:
    if kind is StageKind.GENERATE:
        return ENGINE_MODULE
    if kind is StageKind.PLAIN:
        return PLAIN_MODULE
    return POOL_MODULE
