"""Effects of policies and the parsing of their parameters."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from result import Err, Ok, Result

from .objects import Policy, PolicyEffect
from .value_parsers import (
    build_number_parser,
    parse_name,
    parse_names,
    parse_positive,
    parse_share,
    parse_shares,
    parse_weight,
)

__all__ = (
    "PARAMETER_PARSERS",
    "EffectValue",
    "ParameterError",
    "Placement",
    "Priority",
    "Quota",
    "TrafficSplit",
    "Weights",
    "parse_effect",
)

#: largest absolute value of a priority
MAX_PRIORITY = 100


@dataclass(frozen=True, slots=True)
class Priority:
    """Scheduling priority; higher is served first."""

    priority: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Limits for each matching workspace, over all instances together."""

    #: name of the policy; usage is counted for each pair of workspace and policy
    policy: str
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    #: size of a burst, in seconds at the configured rates
    burst_seconds: float = 1.0
    #: share of the concurrency of the targets, above 0 and at most 1
    concurrency_share: float | None = None


@dataclass(frozen=True, slots=True)
class Weights:
    """Relative weights of deadline attainment and of cost; they add up to 1."""

    attainment: float = 0.5
    cost: float = 0.5


@dataclass(frozen=True, slots=True)
class TrafficSplit:
    """Weighted traffic split among names; the weights are whole numbers."""

    policy: str
    shares: tuple[tuple[str, int], ...]

    def pick(self, request_id: str) -> str:
        """Return the name for a request, the same on every instance and attempt.

        The policy's name is part of the hash input, so that two splits of the same
        traffic are statistically independent.
        """
        total = sum(share for _, share in self.shares)
        text = f"{self.policy}\n{request_id}"
        point = xxhash.xxh64_intdigest(text.encode()) % total
        for name, share in self.shares:
            if point < share:
                return name
            point -= share
        raise AssertionError(f"no share of policy {self.policy!r} was chosen")


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where work runs, and which models and adapters the engines there load."""

    #: in order of preference; others are used when none of these can serve
    data_centres: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    #: role of the engines; empty: any
    role: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySplits:
    """The traffic splits of one policy."""

    pipelines: TrafficSplit | None = None
    services: TrafficSplit | None = None


EffectValue = Placement | Priority | Quota | PolicySplits | Weights


@dataclass(frozen=True, slots=True)
class ParameterError:
    """An invalid parameter of a policy."""

    key: str
    value: str
    reason: str


_parse_priority = build_number_parser(-MAX_PRIORITY, MAX_PRIORITY)

#: parsers of each effect's parameters; all parameters are optional, but a policy must
#: have at least one
PARAMETER_PARSERS: Mapping[PolicyEffect, Mapping[str, Callable[[str], Any]]] = {
    PolicyEffect.SPLIT: {"to_pipelines": parse_shares, "to_services": parse_shares},
    PolicyEffect.PRIORITY: {
        "priority": build_number_parser(-MAX_PRIORITY, MAX_PRIORITY)
    },
    PolicyEffect.QUOTA: {
        "requests_per_second": parse_positive,
        "tokens_per_second": parse_positive,
        "burst_seconds": parse_positive,
        "concurrency_share": parse_share,
    },
    PolicyEffect.PLACEMENT: {
        "data_centres": parse_names,
        "models": parse_names,
        "adapters": parse_names,
        "role": parse_name,
    },
    PolicyEffect.WEIGHTS: {"attainment": parse_weight, "cost": parse_weight},
}


def parse_effect(policy: Policy) -> Result[EffectValue, tuple[ParameterError, ...]]:
    """Parse the parameters of a policy, or return all errors in them."""
    parsers = PARAMETER_PARSERS[policy.effect]
    values: dict[str, Any] = {}
    errors = []
    for key, text in policy.values.items():
        parser = parsers.get(key)
        if parser is None:
            known = ", ".join(parsers)
            reason = f"unknown parameter of {policy.effect.value}; known: {known}"
            errors.append(ParameterError(key, text, reason))
            continue
        try:
            values[key] = parser(text)
        except ValueError as error:
            errors.append(ParameterError(key, text, str(error)))
    if errors:
        return Err(tuple(errors))
    return _build(policy, values)


def _build(
    policy: Policy, values: dict[str, Any]
) -> Result[EffectValue, tuple[ParameterError, ...]]:
    needed = set(PARAMETER_PARSERS[policy.effect]) - {"burst_seconds"}
    if not needed & set(values):
        reason = f"needs at least one of {', '.join(sorted(needed))}"
        return Err((ParameterError("effect", policy.effect.value, reason),))
    match policy.effect:
        case PolicyEffect.PRIORITY:
            return Ok(Priority(values["priority"]))
        case PolicyEffect.QUOTA:
            return Ok(Quota(policy=policy.name, **values))
        case PolicyEffect.PLACEMENT:
            return Ok(Placement(**values))
        case PolicyEffect.SPLIT:
            return Ok(
                PolicySplits(
                    pipelines=_build_split(policy, values.get("to_pipelines")),
                    services=_build_split(policy, values.get("to_services")),
                )
            )
        case PolicyEffect.WEIGHTS:
            return _build_weights(values)


def _build_split(
    policy: Policy, shares: tuple[tuple[str, int], ...] | None
) -> TrafficSplit | None:
    if shares is None:
        return None
    return TrafficSplit(policy.name, shares)


def _build_weights(
    values: dict[str, float],
) -> Result[EffectValue, tuple[ParameterError, ...]]:
    attainment = values.get("attainment", 0.0)
    cost = values.get("cost", 0.0)
    total = attainment + cost
    if not (total > 0 and math.isfinite(total)):
        reason = "attainment and cost must not both be 0"
        return Err((ParameterError("attainment", str(attainment), reason),))
    return Ok(Weights(attainment / total, cost / total))
