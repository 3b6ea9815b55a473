"""Inputs and outputs of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message

__all__ = ("DetectorRules", "Identity", "OutgoingMessage", "DetectorOutput")


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectorRules:
    """Limits of the detector; times in seconds."""

    #: time between two probes
    period: float = 1.0
    #: time without an answer after which indirect probes are requested
    probe_timeout: float = 0.4
    #: time after which a probe has failed, its indirect probes included
    probe_limit: float = 1.5
    #: number of instances that are asked for an indirect probe
    indirect_probes: int = 3
    #: periods from suspicion to death, for each factor of ten in members
    suspicion_periods: float = 4.0
    #: mean time between two probes of dead instances
    dead_interval: float = 10.0
    #: one probe out of this many goes to a random member instead of a neighbour
    random_share: int = 5
    #: number of links that this instance opens to neighbours
    links: int = 8
    #: maximum number of updates piggybacked on one message
    updates: int = 8
    #: transmissions of one update, for each doubling in members
    gossip_factor: int = 3
    #: a longer time between two calls of ``Detector.advance`` counts as a pause of the
    #: process
    pause_threshold: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of an entry instance, as it announces it when a link opens."""

    instance_id: str
    data_centre: str
    address: str
    #: seconds since the Unix epoch at its start; its refutations raise the incarnation
    #: further
    incarnation: int
    #: bundles of stage calls that it can collect per second; 0: unknown
    capacity: int = 0


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send."""

    instance_id: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectorOutput:
    """Output of the detector after an input: the actions that its caller performs."""

    sends: tuple[OutgoingMessage, ...] = ()
    #: whether the members or the neighbours may have changed
    changed: bool = False
