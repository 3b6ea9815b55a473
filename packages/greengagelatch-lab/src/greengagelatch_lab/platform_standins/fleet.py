"""Processes of the platform program, with simulated store and targets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

from .deployment import create_configuration
from .store import SimulatedStore
from .targets import SimulatedTarget

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

__all__ = (
    "Instance",
    "PlatformFleet",
    "PortTakenError",
    "create_settings",
    "find_free_addresses",
)

#: seconds allowed for an instance to become ready, also on a heavily loaded host
READY_TIMEOUT = 30.0
#: maximum number of attempts to start an instance, each on new ports
MAX_PORT_ATTEMPTS = 5
#: text in a process's log if it could not bind an address
ADDRESS_IN_USE = "address already in use"
#: text in a process's log once it has bound all its addresses
STARTED = "ready callers="
#: number of targets per service
TARGETS_PER_SERVICE = 2


class PortTakenError(Exception):
    """An instance could not bind one of its addresses."""


@dataclass(slots=True)
class Instance:
    """One process of the platform program."""

    name: str
    front: str
    readiness: str
    control: str
    metrics: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    #: size of the log in bytes before the latest start
    log_start: int = 0

    @property
    def log(self) -> Path:
        """Path of the file that receives the process's output."""
        return self.settings.with_suffix(".log")

    def read_log(self) -> str:
        """Return what the process has logged since its latest start."""
        return self.log.read_bytes()[self.log_start :].decode(errors="replace")

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether it has started and its readiness endpoint returns 200."""
        # the address may belong to another process that took it first
        if STARTED not in self.read_log():
            return False
        try:
            async with session.get(f"http://{self.readiness}/v1/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


@dataclass(slots=True)
class PlatformFleet:
    """Store, targets and instances, all on the loopback interface."""

    directory: Path
    count: int = 2
    store: SimulatedStore = field(default_factory=SimulatedStore)
    targets: list[SimulatedTarget] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    #: returns the given number of free addresses
    find_addresses: Callable[[int], list[str]] = field(
        default=lambda count: find_free_addresses(count)
    )
    #: module that runs an instance
    module: str = "greengagelatch_platform"

    async def start(self) -> None:
        """Start store, targets and instances; wait until all instances are ready."""
        await self.store.start()
        self.store.put("op/config", create_configuration())
        for service in ("desk", "llm", "portal", "ledger"):
            for number in range(TARGETS_PER_SERVICE):
                await self.add_target(f"{service}-{number}", service)
        await self.add_more_targets()
        seeds: list[str] = []
        for number in range(self.count):
            instance = await self.start_instance(f"entry-{number}", seeds)
            seeds.append(instance.control)
            self.instances.append(instance)

    async def add_more_targets(self) -> None:
        """Start the targets that a kind of fleet has beside those of all fleets."""

    async def start_instance(self, name: str, seeds: list[str]) -> Instance:
        """Start an instance and wait until it is ready.

        Another process may bind one of the selected ports before the instance does.
        The instance then logs that and exits, and is started again on new ports.

        :raises PortTakenError: if that happens ``MAX_PORT_ATTEMPTS`` times
        """
        for _ in range(MAX_PORT_ATTEMPTS):
            instance = self.create_instance(name, seeds)
            await self.launch(instance)
            try:
                await self.wait_ready(instance)
            except PortTakenError:
                continue
            return instance
        raise PortTakenError(name)

    async def stop(self) -> None:
        """Kill the instances and stop targets and store."""
        for instance in self.instances:
            await self.kill(instance)
        for target in self.targets:
            await target.stop()
        await self.store.stop()

    async def add_target(
        self, target_id: str, service: str, **fields: Any
    ) -> SimulatedTarget:
        """Start a target and register it in the store."""
        target = SimulatedTarget(target_id, service, **fields)
        await target.start()
        await self.link_target(target)
        target.register(self.store)
        self.targets.append(target)
        return target

    async def link_target(self, target: SimulatedTarget) -> None:
        """Prepare the ways to a target that has started and is not registered yet."""

    def find_targets(self, service: str) -> list[SimulatedTarget]:
        """Return the targets of a service."""
        return [target for target in self.targets if target.service == service]

    async def launch(self, instance: Instance) -> None:
        """Start the process of an instance."""
        log = os.open(instance.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        instance.log_start = os.fstat(log).st_size
        try:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                "--settings",
                str(instance.settings),
                "--metrics",
                f"{instance.metrics.rpartition(':')[2]}/metrics",
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        finally:
            os.close(log)

    async def wait_ready(self, instance: Instance) -> None:
        """Wait until an instance is ready.

        :raises PortTakenError: if it exited because an address was in use
        :raises RuntimeError: if it exited for another reason
        """
        async with (
            asyncio.timeout(READY_TIMEOUT),
            aiohttp.ClientSession() as session,
        ):
            while not await instance.is_ready(session):
                self._check_alive(instance)
                await asyncio.sleep(0.05)

    def _check_alive(self, instance: Instance) -> None:
        if instance.process is None or instance.process.returncode is None:
            return
        text = instance.read_log()
        if ADDRESS_IN_USE in text:
            raise PortTakenError(instance.name)
        raise RuntimeError(f"{instance.name} exited: {text[-500:]}")

    async def kill(self, instance: Instance) -> None:
        """Kill the process of an instance, if it is still running."""
        process = instance.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    def find_store_address(self, name: str) -> str:
        """Return the address at which an instance reaches the store."""
        return self.store.address

    def create_instance(self, name: str, seeds: list[str]) -> Instance:
        """Create an instance on free ports and write its settings file."""
        front, readiness, control, metrics = self.find_addresses(4)
        instance = Instance(
            name=name,
            front=front,
            readiness=readiness,
            control=control,
            metrics=metrics,
            settings=self.directory / f"{name}.json",
        )
        settings = create_settings(
            name,
            host=metrics.rpartition(":")[0],
            front=instance.front,
            readiness=instance.readiness,
            control=instance.control,
            seeds=seeds[:3],
            store=self.find_store_address(name),
        )
        instance.settings.write_text(json.dumps(settings), encoding="utf-8")
        return instance


def create_settings(
    name: str,
    *,
    host: str,
    front: str,
    readiness: str,
    control: str,
    seeds: list[str],
    store: str,
) -> dict[str, Any]:
    """Return the content of an instance's settings file."""
    return {
        "node-name": name,
        "ip": host,
        "zone": "north",
        "listen": {"front": front, "readiness": readiness, "control": control},
        "seeds": seeds,
        "bootstrap": True,
        "bounds": {"grace-s": 8, "retry-ratio": 0.2, "retry-slack": 58},
        "platform": {"address": store},
    }


def find_free_addresses(count: int) -> list[str]:
    """Return distinct ``host:port`` addresses that no other process takes.

    They are on a loopback address of this process. On the usual one, connections of
    other processes take ports at any moment.
    """
    pid = os.getpid()
    host = f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [f"{host}:{one.getsockname()[1]}" for one in sockets]
    finally:
        for one in sockets:
            one.close()
