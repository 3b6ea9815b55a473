"""One daemon of a fleet, started from a settings file of its own."""

from __future__ import annotations

import configparser
from collections import defaultdict
from typing import TYPE_CHECKING

from ..load.balancer import EntryInstance
from ..processes import Process
from .registry import describe_instance

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

__all__ = ("Daemon",)

MODULE = "greengagelatch_entry"
LOOPBACK = "127.0.0.1:0"


class Daemon:
    """A daemon with ports from the system.

    :param platform: address of the platform's service and list
    :param settings: further settings by ``section.key``
    """

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        *,
        directory: Path,
        platform: str,
        settings: Mapping[str, str],
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self._path = directory / f"{instance_id}.ini"
        self._values = {
            "instance.id": instance_id,
            "instance.data_centre": data_centre,
            "callers.listen": LOOPBACK,
            "operators.listen": LOOPBACK,
            "peers.listen": LOOPBACK,
            "platform.store": platform,
            "platform.instances": platform,
            "log.file": str(directory / f"{instance_id}.log"),
            **settings,
        }
        self.process = Process.run_module(
            instance_id, MODULE, "--config", str(self._path), directory=directory
        )
        self._addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Write the settings, start the process and learn its addresses."""
        self._write_settings()
        await self.process.start()
        words = self.process.ready.split()
        self._addresses = dict(word.split("=", 1) for word in words)

    @property
    def entry(self) -> EntryInstance:
        """Addresses for callers and the balancer."""
        return EntryInstance(
            instance_id=self.instance_id,
            callers=self._addresses["callers"],
            operators=self._addresses["operators"],
        )

    def describe(self, state: str = "live") -> dict[str, str]:
        """Return this daemon as an entry of the platform's list."""
        return describe_instance(
            self.instance_id,
            "entry",
            self.data_centre,
            self._addresses["peers"],
            state=state,
        )

    def _write_settings(self) -> None:
        sections: dict[str, dict[str, str]] = defaultdict(dict)
        for name, value in self._values.items():
            section, _, key = name.partition(".")
            sections[section][key] = value
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with self._path.open("w", encoding="utf-8") as file:
            parser.write(file)
