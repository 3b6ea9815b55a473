"""Probes of targets by this instance, and by peers in its place."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from greengagelatch.peers import MemberState
from greengagelatch.targets.messages import TargetProbeQuery, TargetProbeResult

from .relay.target_dialers import DialFailure
from .relay.target_probers import PeerFinding, TargetProber

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.peers import PeerNetwork
    from greengagelatch.targets import Target

    from .adapters.port_probe import PortProbe
    from .relay.target_dialers import Destination

__all__ = ("PeerAssistedProber",)

#: peers that are asked to probe a target
MAX_PEERS = 3
#: seconds to wait for the result of a peer
QUERY_TIMEOUT = 1.5


class PeerAssistedProber(TargetProber):
    """Probes targets, and answers the queries of peers that want one probed.

    :param find_target: returns a listed target by its id. Peers name targets by id, so
        that they can't make this instance connect to other addresses
    """

    def __init__(
        self,
        *,
        port_probe: PortProbe,
        peers: PeerNetwork,
        find_target: Callable[[str], Target | None],
        random_source: random.Random,
    ) -> None:
        self._port_probe = port_probe
        self._peers = peers
        self._find_target = find_target
        self._random = random_source
        peers.handle(TargetProbeQuery, self._answer_query)

    async def probe(self, destination: Destination) -> DialFailure | None:
        return await self._port_probe.probe(destination.address)

    async def probe_by_peers(self, destination: Destination) -> PeerFinding:
        peers = self._pick_peers()
        if not peers:
            return PeerFinding.NO_PEERS
        query = TargetProbeQuery(destination.incarnation.target_id)
        results = await asyncio.gather(*(self._ask(peer, query) for peer in peers))
        if any(result.reached for result in results):
            return PeerFinding.REACHED
        if any(result.refused for result in results):
            return PeerFinding.REFUSED
        return PeerFinding.UNKNOWN

    async def _ask(self, peer_id: str, query: TargetProbeQuery) -> TargetProbeResult:
        match await self._peers.ask(peer_id, query, QUERY_TIMEOUT):
            case Ok(TargetProbeResult() as result):
                return result
        return TargetProbeResult()

    async def _answer_query(
        self, sender: str, query: TargetProbeQuery
    ) -> TargetProbeResult:
        target = self._find_target(query.target_id)
        if target is None:
            return TargetProbeResult()
        failure = await self._port_probe.probe(target.address)
        return TargetProbeResult(
            reached=failure is None, refused=failure is DialFailure.REFUSED
        )

    def _pick_peers(self) -> list[str]:
        peers = [
            member.instance_id
            for member in self._peers.members()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and member.instance_id != self._peers.instance_id
        ]
        return self._random.sample(peers, min(len(peers), MAX_PEERS))
