"""Inputs and outputs of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message

__all__ = ("DetectorRules", "Identity", "Send", "Step")


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectorRules:
    """Limits of the detector; times in seconds."""

    #: time between two probes
    period: float = 1.0
    #: time after which others are asked to probe
    probe_timeout: float = 0.4
    #: time after which a probe has failed, indirect ones included
    probe_limit: float = 1.5
    #: others that are asked to probe
    indirect_probes: int = 3
    #: time from suspicion to death, in periods for each factor of ten in members
    suspicion_periods: float = 4.0
    #: time between two probes of instances believed dead
    dead_interval: float = 10.0
    #: one probe out of this many goes to any member instead of a neighbour
    random_share: int = 5
    #: links that this instance opens to neighbours
    links: int = 8
    #: observations passed on with one message
    updates: int = 8
    #: transmissions of one observation, for each doubling in members
    gossip_factor: int = 3
    #: a longer time between two calls of ``Detector.advance`` is a pause
    pause_threshold: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """What an entry instance says of itself."""

    instance_id: str
    data_centre: str
    address: str
    #: seconds since the Unix epoch at its start, raised by one for each refutation
    incarnation: int
    #: stage work that it can gather; 0: not told
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class Send:
    """A message to be sent."""

    instance_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """What is to be done after an input."""

    sends: tuple[Send, ...] = ()
    #: whether the members, as seen from outside, have changed
    changed: bool = False
