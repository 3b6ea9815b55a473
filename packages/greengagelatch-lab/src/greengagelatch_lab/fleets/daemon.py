"""An entry daemon of a fleet, started as a process with its own settings file."""

from __future__ import annotations

import configparser
from collections import defaultdict
from typing import TYPE_CHECKING

from ..load.balancer import EntryInstance
from ..processes import Process
from .instance_list import create_list_entry

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from .network import Network

__all__ = ("Daemon",)

MODULE = "greengagelatch_entry"
ROUTED_MODULE = "greengagelatch_lab.fleets.routed"
LOOPBACK = "127.0.0.1"


class Daemon:
    """An entry daemon process that listens on ports assigned by the system.

    :param platform: address of the platform's store and list of instances
    :param settings: additional settings by ``section.key``
    :param network: paths between data centres; ``None`` for direct connections
    :param command: module to run instead of the daemon's own, followed by arguments
        to pass before those of the daemon
    """

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        *,
        directory: Path,
        platform: str,
        settings: Mapping[str, str],
        network: Network | None = None,
        command: tuple[str, ...] = (),
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        host = LOOPBACK if network is None else network.assign_host(data_centre)
        self._path = directory / f"{instance_id}.ini"
        self._settings = {
            "instance.id": instance_id,
            "instance.data_centre": data_centre,
            "callers.listen": f"{host}:0",
            "operators.listen": f"{host}:0",
            "peers.listen": f"{host}:0",
            "platform.store": platform,
            "platform.instances": platform,
            "log.file": str(directory / f"{instance_id}.log"),
            **settings,
        }
        module, *arguments = command or _find_command(data_centre, network)
        self.process = Process.run_module(
            instance_id,
            module,
            *arguments,
            "--config",
            str(self._path),
            directory=directory,
        )
        self._addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Write the settings file, start the process and read its addresses."""
        self._write_settings()
        await self.process.start()
        fields = self.process.ready.split()
        self._addresses = dict(field.split("=", 1) for field in fields)

    @property
    def entry(self) -> EntryInstance:
        """Addresses for callers and for the load balancer's readiness checks."""
        return EntryInstance(
            instance_id=self.instance_id,
            caller_address=self._addresses["callers"],
            operator_address=self._addresses["operators"],
        )

    @property
    def peer_address(self) -> str:
        """Address for other entry instances."""
        return self._addresses["peers"]

    def create_list_entry(self, state: str = "live") -> dict[str, str]:
        """Return this daemon's entry for the platform's list of instances."""
        return create_list_entry(
            self.instance_id,
            "entry",
            self.data_centre,
            self.peer_address,
            state=state,
        )

    def _write_settings(self) -> None:
        sections: dict[str, dict[str, str]] = defaultdict(dict)
        for name, value in self._settings.items():
            section, _, key = name.partition(".")
            sections[section][key] = value
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with self._path.open("w", encoding="utf-8") as file:
            parser.write(file)


def _find_command(data_centre: str, network: Network | None) -> tuple[str, ...]:
    """Return the module to run and the arguments to pass before the daemon's."""
    if network is None:
        return (MODULE,)
    return (ROUTED_MODULE, f"--from={network.get_number(data_centre)}")
