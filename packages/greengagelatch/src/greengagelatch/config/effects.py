"""Effects of policies and their typed parameters."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from result import Err, Ok, Result

from .names import find_name_fault
from .objects import Policy, PolicyEffect

__all__ = (
    "EFFECT_PARAMETERS",
    "EffectFault",
    "EffectValue",
    "Placement",
    "Priority",
    "Quota",
    "Split",
    "Weights",
    "read_effect",
)

#: priorities lie between the negative of this and this
MAX_PRIORITY = 100

#: entries allowed in one list of a policy
MAX_LIST = 64

#: a whole number of shares into which a split divides traffic at most
MAX_SHARE = 1_000_000


@dataclass(frozen=True, slots=True)
class Priority:
    """Order of service; higher is served first."""

    priority: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """What each matched workspace may use, over all instances together."""

    #: name of the policy; use is counted for each workspace and policy
    policy: str
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    #: seconds' worth of the rates that may be used at once
    burst_seconds: float = 1.0
    #: share of the concurrency of the targets, above 0 and at most 1
    concurrency_share: float | None = None


@dataclass(frozen=True, slots=True)
class Weights:
    """What counts more, attainment or cost by stage; the two add up to 1."""

    attainment: float = 0.5
    cost: float = 0.5


@dataclass(frozen=True, slots=True)
class Split:
    """Traffic divided among names by whole shares, as written by the operator."""

    policy: str
    shares: tuple[tuple[str, int], ...]

    def pick(self, request_id: str) -> str:
        """Return the name for a request: the same on every instance and attempt.

        The policy's name is part of what is hashed, so that two splits of the same
        traffic are independent of each other.
        """
        total = sum(share for _, share in self.shares)
        text = f"{self.policy}\n{request_id}"
        point = xxhash.xxh64_intdigest(text.encode()) % total
        for name, share in self.shares:
            if point < share:
                return name
            point -= share
        raise AssertionError("shares add up to their total")


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where work should run, and what the engines there should hold."""

    #: preferred first; others are used when none of these can serve
    data_centres: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    #: wanted role of the engines; empty: any
    role: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Splits:
    """The divisions that one policy asks for."""

    pipelines: Split | None = None
    services: Split | None = None


EffectValue = Placement | Priority | Quota | Splits | Weights


@dataclass(frozen=True, slots=True)
class EffectFault:
    """A parameter that can't be used; ``key`` is empty if one is missing."""

    key: str
    value: str
    reason: str


def _read_rate(text: str) -> float:
    value = float(text)
    if not (math.isfinite(value) and value > 0):
        raise ValueError("must be a number above 0")
    return value


def _read_share(text: str) -> float:
    value = float(text)
    if not 0 < value <= 1:
        raise ValueError("must be above 0 and at most 1")
    return value


def _read_weight(text: str) -> float:
    value = float(text)
    if not (math.isfinite(value) and value >= 0):
        raise ValueError("must be a number of at least 0")
    return value


def _read_priority(text: str) -> int:
    value = int(text)
    if abs(value) > MAX_PRIORITY:
        raise ValueError(f"must be between -{MAX_PRIORITY} and {MAX_PRIORITY}")
    return value


def _read_name(text: str) -> str:
    fault = find_name_fault(text)
    if fault:
        raise ValueError(f"{text!r}: {fault}")
    return text


def _read_names(text: str) -> tuple[str, ...]:
    names = tuple(_read_name(part.strip()) for part in text.split(","))
    if len(names) > MAX_LIST:
        raise ValueError(f"must hold at most {MAX_LIST} names")
    if len(set(names)) < len(names):
        raise ValueError("names a thing twice")
    return names


def _read_shares(text: str) -> tuple[tuple[str, int], ...]:
    shares = {}
    for part in text.split(","):
        name, sign, number = (piece.strip() for piece in part.partition("="))
        if not sign:
            raise ValueError("must be a list such as quote-a=90, quote-b=10")
        if _read_name(name) in shares:
            raise ValueError(f"names {name!r} twice")
        share = int(number)
        if not 0 <= share <= MAX_SHARE:
            raise ValueError(f"shares must be between 0 and {MAX_SHARE}")
        shares[name] = share
    if len(shares) > MAX_LIST:
        raise ValueError(f"must hold at most {MAX_LIST} names")
    if not sum(shares.values()):
        raise ValueError("at least one share must be above 0")
    return tuple(shares.items())


#: parameters of each effect, with what reads them; all are optional, but a policy
#: must have at least one
EFFECT_PARAMETERS: Mapping[PolicyEffect, Mapping[str, Callable[[str], Any]]] = {
    PolicyEffect.SPLIT: {"to_pipelines": _read_shares, "to_services": _read_shares},
    PolicyEffect.PRIORITY: {"priority": _read_priority},
    PolicyEffect.QUOTA: {
        "requests_per_second": _read_rate,
        "tokens_per_second": _read_rate,
        "burst_seconds": _read_rate,
        "concurrency_share": _read_share,
    },
    PolicyEffect.PLACEMENT: {
        "data_centres": _read_names,
        "models": _read_names,
        "adapters": _read_names,
        "role": _read_name,
    },
    PolicyEffect.WEIGHTS: {"attainment": _read_weight, "cost": _read_weight},
}


def read_effect(policy: Policy) -> Result[EffectValue, tuple[EffectFault, ...]]:
    """Return the typed parameters of a policy, or all that is wrong with them."""
    readers = EFFECT_PARAMETERS[policy.effect]
    values: dict[str, Any] = {}
    faults = []
    for key, text in policy.values.items():
        reader = readers.get(key)
        if reader is None:
            known = ", ".join(readers)
            reason = f"is no parameter of {policy.effect.value}; known: {known}"
            faults.append(EffectFault(key, text, reason))
            continue
        try:
            values[key] = reader(text)
        except ValueError as error:
            faults.append(EffectFault(key, text, str(error)))
    if faults:
        return Err(tuple(faults))
    return _build(policy, values)


def _build(
    policy: Policy, values: dict[str, Any]
) -> Result[EffectValue, tuple[EffectFault, ...]]:
    needed = set(EFFECT_PARAMETERS[policy.effect]) - {"burst_seconds"}
    if not needed & set(values):
        reason = f"needs at least one of {', '.join(sorted(needed))}"
        return Err((EffectFault("effect", policy.effect.value, reason),))
    match policy.effect:
        case PolicyEffect.PRIORITY:
            return Ok(Priority(values["priority"]))
        case PolicyEffect.QUOTA:
            return Ok(Quota(policy=policy.name, **values))
        case PolicyEffect.PLACEMENT:
            return Ok(Placement(**values))
        case PolicyEffect.SPLIT:
            return Ok(
                Splits(
                    pipelines=_build_split(policy, values.get("to_pipelines")),
                    services=_build_split(policy, values.get("to_services")),
                )
            )
        case PolicyEffect.WEIGHTS:
            return _build_weights(values)


def _build_split(
    policy: Policy, shares: tuple[tuple[str, int], ...] | None
) -> Split | None:
    if shares is None:
        return None
    return Split(policy.name, shares)


def _build_weights(
    values: dict[str, float],
) -> Result[EffectValue, tuple[EffectFault, ...]]:
    attainment = values.get("attainment", 0.0)
    cost = values.get("cost", 0.0)
    total = attainment + cost
    if not (total > 0 and math.isfinite(total)):
        reason = "attainment and cost must not both be 0"
        return Err((EffectFault("attainment", str(attainment), reason),))
    return Ok(Weights(attainment / total, cost / total))
