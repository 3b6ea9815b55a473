"""Services whose targets are brittle, by their responses and by other instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    "HOP_SECONDS",
    "LAPSE_SECONDS",
    "MAX_RUN_SECONDS",
    "BrittleNews",
    "BrittleServices",
    "BrittleSource",
)

#: seconds after the last response with a limit until which it holds
LAPSE_SECONDS = 10.0
#: seconds by which news age each time that they are received. A message takes less, so
#: that news neither outlive the responses that they tell of nor overrule a newer one
HOP_SECONDS = 0.1
#: longest run of a request that is told or believed, in seconds
MAX_RUN_SECONDS = 60.0


class BrittleSource(Enum):
    """How this instance has learnt that the targets of a service are brittle."""

    TARGET = "target"
    PEER = "peer"


@dataclass(frozen=True, slots=True, kw_only=True)
class BrittleNews:
    """What instances tell each other of a service whose targets are brittle."""

    service: str
    #: rejections in a second that each target tolerates
    limit: int
    #: seconds since the last response that bore the limit
    age: float
    #: longest time that a request is known to have run, at any instance
    run_seconds: float = 0.0


@dataclass(slots=True)
class _Service:
    limit: int
    #: monotonic time of the first response that bore a limit, as known here
    began_at: float
    #: monotonic time of the last response that bore a limit, at any instance
    said_at: float
    source: BrittleSource
    run_seconds: float = 0.0


class BrittleServices:
    """Services whose targets are brittle.

    :param on_begun: called with each service that is found to be brittle, its limit,
        and how that was learnt
    :param on_ended: called with each service whose limit has lapsed
    """

    def __init__(
        self,
        *,
        on_begun: Callable[[str, int, BrittleSource], None] = lambda *_: None,
        on_ended: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._on_begun = on_begun
        self._on_ended = on_ended
        self._services: dict[str, _Service] = {}

    def __bool__(self) -> bool:
        return bool(self._services)

    def find(self, service: str, now: float) -> tuple[int, float] | None:
        """Return the limit of a service, and when it was last said.

        :return: ``None`` if its targets are not known to be brittle
        """
        known = self._services.get(service)
        if known is None or now - known.said_at >= LAPSE_SECONDS:
            return None
        return known.limit, known.said_at

    def is_settling(self, service: str, since: float, now: float) -> bool:
        """Return whether requests sent before a moment may still run.

        Those sent before the service was found to be brittle count as well.

        :param since: monotonic time in seconds
        """
        known = self._services.get(service)
        if known is None:
            return False
        return now - max(known.began_at, since) < known.run_seconds

    def find_run(self, service: str) -> float:
        """Return the longest time that a request is known to have run, in seconds."""
        known = self._services.get(service)
        return 0.0 if known is None else known.run_seconds

    def record_run(self, service: str, seconds: float) -> None:
        """Record how long a request has run so far."""
        known = self._services.get(service)
        if known is not None:
            seconds = min(seconds, MAX_RUN_SECONDS)
            known.run_seconds = max(known.run_seconds, seconds)

    def record_response(self, service: str, limit: int, now: float) -> None:
        """Record a response that bore a limit."""
        self._record(service, limit, now, BrittleSource.TARGET, now)

    def record_news(self, news: BrittleNews, now: float) -> None:
        """Record what another instance tells."""
        age = max(0.0, news.age) + HOP_SECONDS
        if age < LAPSE_SECONDS:
            self._record(news.service, news.limit, now - age, BrittleSource.PEER, now)
            self.record_run(news.service, news.run_seconds)

    def list_news(self, now: float) -> list[BrittleNews]:
        """Return what to tell other instances."""
        self._drop_lapsed(now)
        return [
            BrittleNews(
                service=name,
                limit=known.limit,
                age=now - known.said_at,
                run_seconds=known.run_seconds,
            )
            for name, known in self._services.items()
        ]

    def describe(self, now: float) -> dict[str, dict[str, float | str]]:
        """Return the services for the state dump."""
        return {
            name: {
                "limit": known.limit,
                "age": round(now - known.said_at, 3),
                "run_seconds": round(known.run_seconds, 3),
                "source": known.source.value,
            }
            for name, known in self._services.items()
            if now - known.said_at < LAPSE_SECONDS
        }

    def _record(
        self,
        name: str,
        limit: int,
        said_at: float,
        source: BrittleSource,
        now: float,
    ) -> None:
        self._drop_lapsed(now)
        known = self._services.get(name)
        if known is None:
            self._services[name] = _Service(limit, said_at, said_at, source)
            self._on_begun(name, limit, source)
        elif said_at > known.said_at:
            known.limit, known.said_at, known.source = limit, said_at, source

    def _drop_lapsed(self, now: float) -> None:
        for name, known in tuple(self._services.items()):
            if now - known.said_at >= LAPSE_SECONDS:
                del self._services[name]
                self._on_ended(name)
