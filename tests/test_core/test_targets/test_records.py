"""Tests of greengagelatch.targets.records."""

from __future__ import annotations

from greengagelatch.targets import Target
from greengagelatch.targets.records import ServiceGroup, TargetRecord


def test_candidates_follow_a_choice_made_by_another_caller():
    """
    Guards against an instance hanging in a busy loop. The first of two targets is
    ejected, and a caller checks whether a target accepts work before candidates are
    listed. The check renews the choice; if the candidates are not renewed with it, the
    ejected target is offered again and again and never accepted.
    """
    group = ServiceGroup()
    first, second = (
        TargetRecord(Target(f"t{number}", "desk", "north", "10.0.0.1:1"), number)
        for number in range(2)
    )
    group.records.update((first, second))
    assert len(group.list_candidates(5, 1)) == 2
    first.ejected = True
    group.chosen = None
    group.choose(5, 1)
    candidates = group.list_candidates(5, 1)
    assert [one.target.target_id for one in candidates] == ["t1"]
