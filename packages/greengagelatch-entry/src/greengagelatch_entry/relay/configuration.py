"""Active configuration of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok

from greengagelatch.relay.deployment import CallerLimits, RoutedService, RouteKind
from greengagelatch.relay.routes import RouteTable

from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from greengagelatch.clock import Clock
    from greengagelatch.relay.deployment import Deployment, MakerProfile, Route
    from greengagelatch.store.ranges import Changes, Scan

    from .codecs import DeploymentCodec
    from .decisions import DecisionLog

__all__ = ("ConfigurationFollower",)


class ConfigurationFollower(StoreSubscriber):
    """Follows the configuration and rejects versions older than the active one.

    Stale reads, lagging peers and delayed responses must not roll back a
    configuration that callers and targets have already observed.
    """

    def __init__(
        self, *, codec: DeploymentCodec, clock: Clock, decisions: DecisionLog
    ) -> None:
        self.prefix = codec.key
        self._codec = codec
        self._clock = clock
        self._decisions = decisions
        self._table: RouteTable | None = None
        self._revision = 0
        self._value = b""
        self._active_since = 0.0
        #: called without arguments after another version has become active
        self.callbacks: list[Callable[[], None]] = []

    @property
    def table(self) -> RouteTable | None:
        """Active routes and keys; ``None`` until a configuration has been loaded."""
        return self._table

    @property
    def deployment(self) -> Deployment | None:
        """Active configuration; ``None`` until one has been loaded."""
        return None if self._table is None else self._table.deployment

    @property
    def revision(self) -> int:
        """Store revision at which the active version was written."""
        return self._revision

    @property
    def value(self) -> bytes:
        """Active configuration in its encoded form."""
        return self._value

    def find_services(self) -> Collection[str] | None:
        """Return the names of the services; ``None`` until they are known."""
        deployment = self.deployment
        return deployment.services if deployment else None

    def find_service(self, name: str) -> RoutedService:
        """Return a service; one without capacities if it is not configured."""
        deployment = self.deployment
        found = deployment.services.get(name) if deployment else None
        return found or RoutedService(name=name)

    def find_maker(self, service: str) -> MakerProfile | None:
        """Return the profile of the makers of a service; ``None`` if it has none."""
        return self.find_service(service).maker

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes in force, the same object until another version is."""
        return self.deployment.routes if self.deployment else ()

    def list_streaming_services(self) -> frozenset[str]:
        """Return the services that answer by streams."""
        return frozenset(
            service
            for route in self.list_routes()
            if route.kind is RouteKind.STREAMING
            for service, _ in route.split
        )

    def find_limits(self) -> CallerLimits:
        """Return the limits on callers."""
        deployment = self.deployment
        return deployment.limits if deployment else CallerLimits()

    def apply_scan(self, scan: Scan) -> None:
        for entry in scan.entries:
            if entry.key == self._codec.key:
                self.apply(entry.value, entry.revision, "store")

    def apply_changes(self, changes: Changes) -> None:
        for entry in changes.written:
            if entry.key == self._codec.key:
                self.apply(entry.value, entry.revision, "store")

    def apply(self, value: bytes, revision: int, origin: str) -> bool:
        """Activate a configuration if it is newer than the active one.

        :return: whether the value was newer by its revision and could be decoded
        """
        if revision <= self._revision:
            return False
        match self._codec.decode(value, revision):
            case Ok((deployment, problems)):
                self._activate(deployment, value, origin)
            case Err(problem):
                self._decisions.log_state_change(
                    "configuration-unreadable", revision=revision, reason=str(problem)
                )
                return False
        for problem in problems:
            self._decisions.log_state_change(
                "configuration-problem", revision=revision, reason=str(problem)
            )
        return True

    def _activate(self, deployment: Deployment, value: bytes, origin: str) -> None:
        previous = self.deployment
        if previous is not None and deployment.version < previous.version:
            self._decisions.log_state_change(
                "configuration-older",
                version=deployment.version,
                in_force=previous.version,
                revision=deployment.revision,
            )
            return
        self._table = RouteTable(deployment)
        self._revision = deployment.revision
        self._value = value
        self._active_since = self._clock.now()
        self._decisions.log_state_change(
            "configuration",
            version=deployment.version,
            before=previous.version if previous else 0,
            revision=deployment.revision,
            origin=origin,
            routes=len(deployment.routes),
            workspaces=len(deployment.workspaces),
        )
        for callback in self.callbacks:
            callback()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        deployment = self.deployment
        return {
            "version": deployment.version if deployment else 0,
            "in_force_revision": self._revision,
            "in_force_seconds": self._clock.now() - self._active_since,
            "routes": len(deployment.routes) if deployment else 0,
        }
