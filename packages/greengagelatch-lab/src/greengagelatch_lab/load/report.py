"""The report of one run, as text and as JSON."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from .costs import compute_costs
from .request_statistics import RequestStatistics

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .costs import StageCost
    from .observations import Observation
    from .records import TargetRecord
    from .violations import Violation

__all__ = ("Report", "build_report")

#: maximum number of violations listed; all of them are counted
MAX_LISTED_VIOLATIONS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Results of one run."""

    fleet: str
    total: RequestStatistics
    #: requests resent with the same key, excluded from the other statistics
    retries: RequestStatistics
    pipelines: Mapping[str, RequestStatistics]
    workspaces: Mapping[str, RequestStatistics]
    costs: Sequence[StageCost]
    violations: Sequence[Violation]
    #: maximum delay of the client behind the schedule in seconds
    client_lag: float

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not self.violations

    def encode(self) -> dict[str, Any]:
        """Return the report as JSON-compatible values."""
        return {
            "fleet": self.fleet,
            "total": self.total.encode(),
            "repeats": self.retries.encode(),
            "pipelines": _encode_statistics(self.pipelines),
            "workspaces": _encode_statistics(self.workspaces),
            "costs": [asdict(cost) for cost in self.costs],
            "violations": dict(Counter(item.kind.value for item in self.violations)),
            "examples": [str(item) for item in self.violations[:MAX_LISTED_VIOLATIONS]],
            "client_lag_ms": round(self.client_lag * 1000, 1),
        }

    def format(self) -> str:
        """Return the report as lines of text."""
        lines = [f"fleet {self.fleet}", _format_header("pipeline")]
        for name, statistics in self.pipelines.items():
            lines.append(_format_statistics(name, statistics))
        lines += ["", _format_header("workspace")]
        for name, statistics in self.workspaces.items():
            lines.append(_format_statistics(name, statistics))
        lines += ["", _format_header("")]
        lines.append(_format_statistics("all first sends", self.total))
        lines.append(_format_statistics("repeats of a key", self.retries))
        lines += ["", *_format_costs(self.costs)]
        lines += ["", f"maximum client lag {self.client_lag * 1000:.0f} ms"]
        for violation in self.violations[:MAX_LISTED_VIOLATIONS]:
            lines.append(f"VIOLATION {violation}")
        hidden = len(self.violations) - MAX_LISTED_VIOLATIONS
        if hidden > 0:
            lines.append(f"and {hidden} more violations")
        return "\n".join(lines)


def build_report(
    *,
    fleet: str,
    observations: Sequence[Observation],
    records: Sequence[TargetRecord],
    violations: Sequence[Violation],
    client_lag: float,
) -> Report:
    """Build the report of a run from its observations and violations."""
    total, retries = RequestStatistics(), RequestStatistics()
    pipelines: dict[str, RequestStatistics] = defaultdict(RequestStatistics)
    workspaces: dict[str, RequestStatistics] = defaultdict(RequestStatistics)
    for observation in observations:
        arrival = observation.arrival
        if arrival.retry_of is not None:
            retries.add(observation)
            continue
        total.add(observation)
        pipelines[arrival.pipeline].add(observation)
        workspaces[arrival.workspace].add(observation)
    return Report(
        fleet=fleet,
        total=total,
        retries=retries,
        pipelines=dict(sorted(pipelines.items())),
        workspaces=dict(sorted(workspaces.items())),
        costs=compute_costs(observations, records),
        violations=violations,
        client_lag=client_lag,
    )


def _encode_statistics(groups: Mapping[str, RequestStatistics]) -> dict[str, Any]:
    return {name: statistics.encode() for name, statistics in groups.items()}


def _format_header(name: str) -> str:
    return (
        f"{name:<18}{'made':>6}{'in time':>9}{'p50':>8}{'p95':>8}{'p99':>8}"
        f"{'1st p95':>9}{'gap p95':>9}  otherwise (ms)"
    )


def _format_statistics(name: str, statistics: RequestStatistics) -> str:
    values = statistics.encode()
    latency = values["latency_ms"]
    times = "".join(f"{latency.get(key, '-'):>8}" for key in ("p50", "p95", "p99"))
    first = values["first_token_ms"].get("p95", "-")
    gap = values["token_gap_ms"].get("p95", "-")
    return (
        f"{name:<18}{statistics.requests:>6}{statistics.attainment:>9.1%}{times}"
        f"{first:>9}{gap:>9}  {_format_failures(statistics)}"
    )


def _format_failures(statistics: RequestStatistics) -> str:
    parts = [f"{code} {count}" for code, count in sorted(statistics.refusals.items())]
    for outcome, count in sorted(statistics.outcomes.items()):
        if outcome not in ("result", "refusal"):
            parts.append(f"{outcome} {count}")
    late = statistics.outcomes["result"] - statistics.in_time
    if late:
        parts.append(f"late {late}")
    if statistics.replayed:
        parts.append(f"replayed {statistics.replayed}")
    return ", ".join(parts)


def _format_costs(costs: Sequence[StageCost]) -> list[str]:
    lines = [f"{'cost by stage':<28}{'runs':>7}{'useful ms':>12}{'wasted ms':>12}"]
    for cost in costs:
        name = f"{cost.pipeline}/{cost.stage}"
        lines.append(
            f"{name:<28}{cost.runs:>7}{cost.useful_ms:>12.0f}{cost.wasted_ms:>12.0f}"
        )
    return lines
