"""Status of this instance, its peers and the targets, as shown to operators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from .adapters.operators_status import InstanceStatus, MemberStatus, TargetStatus

if TYPE_CHECKING:
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.settings import Settings
    from greengagelatch.targets import Target

    from .controllers.configuration import ConfigurationController
    from .controllers.drain import DrainController
    from .controllers.targets import TargetsController

__all__ = ("StatusView",)

LIVE = "live"
LEAVING = "leaving"
EJECTED = "set-aside"


class StatusView:
    """Builds the answer to ``GET /status`` from the controllers' state."""

    def __init__(
        self,
        *,
        settings: Settings,
        configuration: ConfigurationController,
        drain: DrainController,
        peers: PeerNetwork,
        targets: TargetsController,
        ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._drain = drain
        self._peers = peers
        self._targets = targets
        self._ready = ready

    def describe(self) -> InstanceStatus:
        """Return the current status."""
        return InstanceStatus(
            instance_id=self._settings["instance.id"],
            data_centre=self._settings["instance.data_centre"],
            generation=self._configuration.snapshot.generation,
            ready=self._ready(),
            draining=self._drain.draining,
            members=tuple(self._describe_members()),
            targets=tuple(self._describe_targets()),
        )

    def _describe_members(self) -> Iterator[MemberStatus]:
        for member in self._peers.members():
            yield MemberStatus(
                instance_id=member.instance_id,
                data_centre=member.data_centre,
                state=member.state.value,
                generation=self._configuration.find_generation(member.instance_id),
            )

    def _describe_targets(self) -> Iterator[TargetStatus]:
        for target, is_ejected in self._targets.list_targets():
            yield _describe_target(target, EJECTED if is_ejected else LIVE)
        for target in self._targets.list_leaving_targets():
            yield _describe_target(target, LEAVING)


def _describe_target(target: Target, state: str) -> TargetStatus:
    return TargetStatus(
        target_id=target.target_id,
        service=target.service,
        data_centre=target.data_centre,
        state=state,
    )
