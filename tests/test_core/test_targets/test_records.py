"""Tests of the groups that the ledger keeps."""

from __future__ import annotations

from greengagelatch.targets import Target
from greengagelatch.targets.records import Group, Record


def test_candidates_follow_a_choice_that_others_asked_for():
    """An instance stood still for good with one core busy.

    Sequence: both targets of a service are candidates; the first is set aside, and
    somebody asks whether a target accepts work before anybody asks for candidates.
    Cause: the choice was made anew and the candidates were not, so that the target
    set aside was still chosen and never accepted.
    """
    group = Group()
    first, second = (
        Record(Target(f"t{number}", "desk", "north", "10.0.0.1:1"), number)
        for number in range(2)
    )
    group.records.update((first, second))
    assert len(group.list_candidates(5, 1)) == 2
    first.ejected = True
    group.chosen = None
    group.choose(5, 1)
    candidates = group.list_candidates(5, 1)
    assert [one.target.target_id for one in candidates] == ["t1"]
