"""A configuration in force: routes, services, workspaces and bounds on callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = (
    "CallerLimits",
    "Deployment",
    "EngineProfile",
    "MakerProfile",
    "Route",
    "RouteKind",
    "RouteStage",
    "RoutedService",
    "RoutedWorkspace",
)

#: bytes that the platform counts as one megabyte of results
MEGABYTE = 1_000_000
#: silence after which callers give up a stream, as their pages say: the longest of so
#: many seconds, objectives and pauses
MIN_SILENCE_SECONDS = 2.0
SILENCE_OBJECTIVES = 4.0
SILENCE_PAUSES = 8.0


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    #: idempotent: may run any number of times
    SAFE = "safe"
    #: runs at most once
    UNSAFE = "unsafe"
    #: answered by a stream of events; runs at most once unless it can be resumed
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteStage:
    """Work that is done for a request before its target runs it."""

    service: str
    #: numbers of the stages whose results it reads
    after: tuple[int, ...] = ()
    #: approximate size of one result
    result_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One pipeline, chosen by host and path; times in seconds."""

    name: str
    host: str
    #: begins and ends with a slash
    prefix: str
    kind: RouteKind
    #: longest time that a caller may be kept waiting
    timeout: float
    #: time within which an answer has its full value
    objective: float
    #: 0 is the most urgent
    priority: int = 0
    #: services and their shares of the route's requests
    split: tuple[tuple[str, float], ...] = ()
    #: targets to which one request may be sent
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    #: whether callers need no key
    public: bool = False
    #: whether a stream that broke off may go on at another target
    resumable: bool = False
    #: longest pause between two events of a stream that is still on time
    longest_pause: float = 0.0

    @property
    def silence_limit(self) -> float:
        """Seconds of silence after which callers give a stream up.

        It holds before the first event as well, and may be far shorter than the
        route's timeout: what begins later is made for nobody.
        """
        return max(
            MIN_SILENCE_SECONDS,
            SILENCE_OBJECTIVES * self.objective,
            SILENCE_PAUSES * self.longest_pause,
        )

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """What a model engine can take."""

    #: requests that run at the same time
    slots: int
    #: tokens that its memory holds
    token_capacity: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MakerProfile:
    """How a target makes stage results; times in seconds."""

    #: calls that are worked on at the same time
    slots: int
    #: calls that may wait behind these
    queue: int
    #: results that one call may ask for
    batch: int
    #: fixed cost of a call
    call_seconds: float
    #: approximate cost of each result
    item_seconds: float
    #: bytes of results that it keeps
    result_memory_bytes: int
    #: time for which it keeps a result that nobody frees
    retention_seconds: float

    def estimate_seconds(self, items: int) -> float:
        """Return how long a call for ``items`` results takes, by expectation."""
        return self.call_seconds + items * self.item_seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedService:
    """A service that targets provide."""

    name: str
    health_path: str = ""
    #: connections that one target accepts from all instances together
    max_connections: int = 0
    engine: EngineProfile | None = None
    maker: MakerProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedWorkspace:
    """A workspace and the keys of its callers."""

    name: str
    keys: tuple[str, ...] = ()
    #: goes before the priority of routes; ``None``: only the route's counts
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take; times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """All of one version; versions rise in uneven steps."""

    version: int
    #: revision of the store at which it was written
    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, RoutedService] = field(default_factory=dict)
    workspaces: tuple[RoutedWorkspace, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    #: whether requests need a key at all
    requires_key: bool = False
