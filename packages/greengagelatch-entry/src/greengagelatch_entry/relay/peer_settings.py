"""Settings of the links between instances on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.settings import Settings

if TYPE_CHECKING:
    from .parts import RelaySettings

__all__ = ("create_peer_settings",)

#: bounds of the links between instances; times in seconds. A link that is silent
#: for so long is dropped, and the stage work asked for over it is asked for elsewhere
PEER_BOUNDS = {
    "peers.heartbeat": 0.3,
    "peers.silence": 1.0,
    "peers.rest_factor": 5.0,
    "peers.open_timeout": 1.0,
    "peers.idle": 15.0,
    "peers.links": 8,
    # an owner of stage work is asked by all instances that there are
    "peers.max_links": 512,
    # bundles wait with their owner: of 200 a second each waits for seconds in a
    # burst. One that called itself busy was passed over, and two owners filled the
    # makers' room without a word between them
    "peers.in_work": 8192,
    "peers.probe_interval": 0.5,
    "peers.dead_interval": 2.0,
}


def create_peer_settings(rules: RelaySettings) -> Settings:
    """Return the settings of the network of peers."""
    return Settings(
        {
            "instance.id": rules.instance_id,
            "instance.data_centre": rules.data_centre,
            "peers.listen": rules.peers_listen,
            "peers.advertise": rules.peers_listen,
            "peers.seeds": rules.peers_seeds,
            **PEER_BOUNDS,
        }
    )
