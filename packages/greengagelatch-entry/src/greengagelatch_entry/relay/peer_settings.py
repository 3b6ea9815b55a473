"""Settings of the peer network between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.connection_limits import find_max_handshakes
from greengagelatch.setting_values import Settings

from ..descriptors import find_descriptor_limit

if TYPE_CHECKING:
    from .parts import RelaySettings

__all__ = ("create_peer_settings",)

#: timeouts and limits of the links between instances; times in seconds. A link without
#: traffic for ``peers.silence`` is closed, and stage calls pending on it are sent to
#: another instance
PEER_BOUNDS = {
    "peers.heartbeat": 0.3,
    "peers.silence": 1.0,
    "peers.rest_factor": 5.0,
    "peers.open_timeout": 1.0,
    "peers.idle": 15.0,
    "peers.links": 8,
    # every instance may send stage calls to the owner of a service
    "peers.max_links": 512,
    # bundles queue at their owner: at 200 per second, each may wait for seconds in a
    # burst. An owner that refuses as busy is bypassed, and two owners that don't
    # coordinate exceed the capacity of the makers
    "peers.in_work": 8192,
    "peers.probe_interval": 0.5,
    "peers.dead_interval": 2.0,
}


def create_peer_settings(rules: RelaySettings) -> Settings:
    """Return the settings of the peer network."""
    return Settings(
        {
            "instance.id": rules.instance_id,
            "instance.data_centre": rules.data_centre,
            "peers.listen": rules.peers_listen,
            "peers.advertise": rules.peers_listen,
            "peers.seeds": rules.peers_seeds,
            "peers.max_handshakes": find_max_handshakes(
                find_descriptor_limit(rules.capacity.descriptors)
            ),
            **PEER_BOUNDS,
        }
    )
