"""Rules that hold on every schedule, checked on what callers and targets see."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .targets import DRAIN_SECONDS

if TYPE_CHECKING:
    from .instances import ModelInstance
    from .targets import ModelTarget

__all__ = ("CONTACT_SECONDS", "Rule", "Rulebook", "Violation")

#: seconds without a disturbance after which the bounds hold for an instance
CONTACT_SECONDS = 3.0
#: seconds after its listing within which a target gets requests
LISTED_SECONDS = 2.0
#: seconds after the acknowledgement within which a configuration is in force
APPLY_SECONDS = 2.0


class Rule(Enum):
    """What is broken."""

    #: a target that lives and is listed gets no requests
    LISTED = "listed"
    #: a target that has left, or is not listed, gets requests
    DRAINED = "drained"
    #: a key that was taken away is accepted
    KEY = "key"
    #: the configuration in force becomes older
    REGRESS = "regress"
    #: a stream goes on at another software version than the one that began it
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, first at some time in seconds."""

    rule: Rule
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.rule.value}: {self.text}"


class Rulebook:
    """Collects the first violation of each rule."""

    def __init__(self) -> None:
        self._broken: dict[Rule, Violation] = {}
        self._versions: dict[ModelInstance, int] = {}

    @property
    def violations(self) -> tuple[Violation, ...]:
        """The first violation of each broken rule."""
        return tuple(self._broken.values())

    def check_targets(
        self, instance: ModelInstance, targets: list[ModelTarget], now: float
    ) -> None:
        """Check whom an instance that nothing disturbs sends requests to."""
        for target in targets:
            listed = instance.table.list_service(target.service)
            is_used = any(one.incarnation == target.incarnation for one in listed)
            seconds = target.find_listed_seconds()
            if not is_used and seconds > LISTED_SECONDS:
                self._record(
                    Rule.LISTED,
                    now,
                    f"{instance.name} leaves out {target.incarnation}, which has been"
                    f" listed for {seconds:.2f} s",
                )
            seconds = target.find_gone_seconds()
            if is_used and seconds > DRAIN_SECONDS:
                self._record(
                    Rule.DRAINED,
                    now,
                    f"{instance.name} uses {target.incarnation}, which has been gone"
                    f" for {seconds:.2f} s",
                )

    def check_version(self, instance: ModelInstance, now: float) -> None:
        """Check that the configuration in force does not become older."""
        before = self._versions.get(instance, 0)
        if instance.version < before:
            self._record(
                Rule.REGRESS,
                now,
                f"{instance.name} has version {instance.version} after {before}",
            )
        self._versions[instance] = max(before, instance.version)

    def check_key(
        self, instance: ModelInstance, key: str, removed_at: float, now: float
    ) -> None:
        """Check a request that an instance has accepted with a removed key."""
        if now - removed_at > APPLY_SECONDS:
            self._record(
                Rule.KEY,
                now,
                f"{instance.name} accepts {key}, which was taken away"
                f" {now - removed_at:.2f} s before",
            )

    def check_stream(
        self, request_id: str, began: str, found: str, where: str, now: float
    ) -> None:
        """Check the version at which a stream goes on."""
        if began != found:
            self._record(
                Rule.STREAM,
                now,
                f"{request_id}, begun by {began}, goes on at {found} through {where}",
            )

    def _record(self, rule: Rule, now: float, text: str) -> None:
        self._broken.setdefault(rule, Violation(rule, now, text))
