"""The active configuration: routes, services, workspaces and limits on callers."""

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
#: silence after which callers abandon a stream, as documented for them: the longest of
#: this number of seconds, of objectives, and of pauses between events
MIN_SILENCE_SECONDS = 2.0
SILENCE_OBJECTIVES = 4.0
SILENCE_PAUSES = 8.0


class RouteKind(Enum):
    """Whether requests of a route may be retried."""

    #: idempotent: may run any number of times
    SAFE = "safe"
    #: not idempotent: may run at most once
    UNSAFE = "unsafe"
    #: answered by a stream of events; may run at most once unless it can be resumed
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteStage:
    """A stage of a pipeline, run before the request is sent to its target."""

    service: str
    #: numbers of the stages whose results it reads
    after: tuple[int, ...] = ()
    #: approximate size of one result
    result_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One pipeline, selected by host and path; times in seconds."""

    name: str
    host: str
    #: begins and ends with a slash
    prefix: str
    kind: RouteKind
    #: longest time that a caller waits for an answer
    timeout: float
    #: latency objective: a later answer loses value
    objective: float
    #: 0 is the most urgent
    priority: int = 0
    #: traffic split: services and their shares of the route's requests
    split: tuple[tuple[str, float], ...] = ()
    #: most targets to which one request may be sent
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    #: whether callers need no API key
    public: bool = False
    #: whether an interrupted stream may be resumed at another target
    resumable: bool = False
    #: longest pause between two events of a stream that meets its objective
    longest_pause: float = 0.0
    #: regions to which its requests are restricted; empty: none
    regions: frozenset[str] = frozenset()

    @property
    def silence_limit(self) -> float:
        """Seconds of silence after which callers abandon a stream.

        It also applies before the first event, and may be far shorter than the route's
        timeout: a stream that begins later has no reader.
        """
        return max(
            MIN_SILENCE_SECONDS,
            SILENCE_OBJECTIVES * self.objective,
            SILENCE_PAUSES * self.longest_pause,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run may be retried."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Capacity of an engine, a target that runs a language model."""

    #: requests that run concurrently
    slots: int
    #: tokens that its KV cache holds
    token_capacity: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MakerProfile:
    """Capacity of makers, the targets of stage work; times in seconds."""

    #: calls that run concurrently
    slots: int
    #: calls that may be queued behind these
    queue: int
    #: most results that one call may ask for
    batch: int
    #: fixed cost of a call
    call_seconds: float
    #: approximate cost of each result
    item_seconds: float
    #: bytes of memory for results
    result_memory_bytes: int
    #: time for which it keeps a result that is not released
    retention_seconds: float

    def estimate_seconds(self, items: int) -> float:
        """Return the expected duration of a call for ``items`` results."""
        return self.call_seconds + items * self.item_seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedService:
    """A service, provided by its targets."""

    name: str
    health_path: str = ""
    #: connection limit of one target, shared by all instances; 0: unknown
    max_connections: int = 0
    engine: EngineProfile | None = None
    maker: MakerProfile | None = None
    #: seconds for which a target is cold after its start
    cold_seconds: float = 0.0
    #: requests per second that a cold target tolerates; 0: not limited
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedWorkspace:
    """A workspace with the API keys of its callers."""

    name: str
    keys: tuple[str, ...] = ()
    #: takes precedence over the priority of routes; ``None``: only the route's counts
    priority: int | None = None
    #: regions to which its requests are restricted; empty: none
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests; times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """One version of the configuration; versions rise, not always by one."""

    version: int
    #: store revision at which it was written
    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, RoutedService] = field(default_factory=dict)
    workspaces: tuple[RoutedWorkspace, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    #: whether requests need an API key
    requires_key: bool = False
