"""Placement of stages and the engine of one request by data centre."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("EngineOutlook", "PlacementPlan", "StagePlacement", "plan_placement")


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOutlook:
    """What is known of a request's engine before its stages start."""

    #: data centre of the engine that has the shared prompt parts; empty: unknown
    data_centre: str = ""
    #: tokens of the prompt parts that this engine need not read again
    shared_tokens: float = 0.0
    #: tokens whose prefill costs as much as a byte of results from another data centre
    tokens_per_byte: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StagePlacement:
    """Where a stage is best executed."""

    #: empty: anywhere
    data_centre: str = ""
    #: bytes transferred between data centres if it is executed elsewhere
    moved_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPlan:
    """Where the engine of a request is expected to be; kept for all of its stages."""

    #: empty: unknown
    engine_data_centre: str = ""
    #: whether the engine stays there; otherwise it follows the results
    is_fixed: bool = False

    def place_stage(
        self, *, count: int, input_bytes: Mapping[str, int], output_bytes: int
    ) -> StagePlacement:
        """Return where the fewest bytes are transferred for a stage.

        Each piece reads all inputs. The engine reads the results of final stages.

        :param count: pieces of the stage
        :param input_bytes: size of the inputs, by the data centre of their makers
        :param output_bytes: size of all results that the engine reads; 0: none
        """
        sizes = {place: count * size for place, size in input_bytes.items()}
        engine = self.engine_data_centre
        if engine and output_bytes and self.is_fixed:
            sizes[engine] = sizes.get(engine, 0) + output_bytes
        if not sizes:
            return StagePlacement(data_centre=engine if output_bytes else "")
        best = max(sizes, key=sizes.get)
        return StagePlacement(data_centre=best, moved_bytes=sum(sizes.values()))


def plan_placement(outlook: EngineOutlook, result_bytes: int) -> PlacementPlan:
    """Return the plan of a request, decided before its first stage starts.

    The engine with the shared prompt parts is kept if reading these again costs more
    than the transfer of the results. Otherwise the engine follows the results, and
    makers near it are only preferred to equal ones.

    :param result_bytes: size of all results that the engine reads
    """
    transfer_tokens = result_bytes * outlook.tokens_per_byte
    return PlacementPlan(
        engine_data_centre=outlook.data_centre,
        is_fixed=transfer_tokens < outlook.shared_tokens,
    )
