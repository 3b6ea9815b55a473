"""State dump of a process."""

from __future__ import annotations

import importlib.metadata
import json
import logging
from typing import TYPE_CHECKING, Any

import eliot
import psutil

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from greengagelatch.settings import Settings

    from ..controllers import Controller
    from ..logs import LogOutput
    from ..metrics import Metrics

__all__ = ("StateDump", "encode")

logger = logging.getLogger(__name__)

PACKAGE = "greengagelatch-entry"

#: maximum characters of a section in one log line; longer ones are split
PART_SIZE = 1500


def encode(value: Any) -> str:
    """Encode ``value`` as JSON, with other types converted to strings."""
    return json.dumps(value, default=str)


class StateDump:
    """Collects the state of every controller and of the process."""

    def __init__(
        self,
        *,
        settings: Settings,
        metrics: Metrics,
        controllers: Callable[[], Mapping[str, Controller]],
        log_output: LogOutput | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._controllers = controllers
        self._log_output = log_output
        self._process = psutil.Process()

    def names(self) -> tuple[str, ...]:
        """Return the names of the controllers."""
        return tuple(self._controllers())

    def describe_controller(self, name: str) -> Any:
        """Return one controller's state.

        Dumps are needed most when something is broken. If a controller fails to dump
        its state, its section holds the error, and other sections are unaffected.
        """
        try:
            state = self._controllers()[name].dump()
            # encode here, so that a state without a JSON form, such as one with a
            # tuple as a key, fails one section instead of the whole dump
            encode(state)
            return state
        except Exception as error:
            logger.exception("dump of controller %s failed", name)
            return {"dump_failed": f"{type(error).__name__}: {error}"}

    def count_dropped_lines(self) -> int:
        """Return the number of log lines dropped since the start."""
        return 0 if self._log_output is None else self._log_output.dropped

    def describe_process(self) -> dict[str, Any]:
        """Return the state of the process, without the controllers."""
        described = {
            "version": importlib.metadata.version(PACKAGE),
            "memory_bytes": self._process.memory_info().rss,
            "cpu_seconds": sum(self._process.cpu_times()[:2]),
            "settings": self._settings.as_dict(),
            "metrics": self._metrics.dump(),
        }
        if self._log_output is not None:
            described["log"] = {
                "written": self._log_output.written,
                "dropped": self._log_output.dropped,
            }
        return described

    def log_part(self, name: str, value: Any) -> None:
        """Write one section to the log, split into as many lines as needed."""
        text = encode(value)
        parts = range(0, len(text), PART_SIZE)
        for number, start in enumerate(parts, 1):
            eliot.log_message(
                "greengagelatch:dump",
                section=name,
                part=number,
                parts=len(parts),
                text=text[start : start + PART_SIZE],
            )
