"""Tests of greengagelatch.relay.target_ends and of its use by the target table."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.relay import target_ends
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.target_ends import EndEvidence, TargetEnd, TargetEnds
from greengagelatch.relay.targets import ListedTarget, TargetTable

FIRST, SECOND = Incarnation("t-1"), Incarnation("t-2")


def create(
    target_id: str,
    revision: int,
    *,
    started_ms: int = 0,
    leaving: bool = False,
    service: str = "desk",
    address: str = "",
) -> ListedTarget:
    return ListedTarget(
        incarnation=Incarnation(target_id, started_ms),
        service=service,
        address=address or f"10.0.0.1:{target_id[2:]}",
        data_centre="north",
        leaving=leaving,
        revision=revision,
    )


@pytest.mark.parametrize("evidence", EndEvidence)
def test_only_later_entries_end_an_end_that_is_not_final(evidence):
    end = TargetEnd(evidence, 5)
    returns = evidence in (EndEvidence.REMOVAL, EndEvidence.INVALID_ENTRY)
    assert not end.is_ended_by(5)
    assert end.is_ended_by(6) is returns


def test_many_lapsed_entries_do_not_push_out_a_target_that_leaves():
    """Guards against requests to a leaving target after an outage of the store.

    The entries of a large fleet lapse at once; ends of all kinds shared one bound.
    """
    ends = TargetEnds()
    ends.record(FIRST, TargetEnd(EndEvidence.ANSWER))
    for number in range(target_ends.MAX_REMEMBERED + 1):
        ends.record(Incarnation(f"o-{number}"), TargetEnd(EndEvidence.REMOVAL, 7))
    assert ends.find(FIRST) is not None
    assert ends.find(Incarnation("o-0")) is None
    assert ends.find(Incarnation("o-1")) is not None


@pytest.mark.parametrize("started_ms", [0, 1000])
def test_target_whose_entry_is_written_again_is_used(started_ms):
    """Guards against a removal that is taken for the end of a target for good."""
    table = TargetTable()
    entry = create("t-1", 5, started_ms=started_ms)
    table.put(entry)
    table.remove(entry.incarnation, 7)
    assert not table.is_available(entry.incarnation)
    assert table.put(replace(entry, revision=8))
    assert table.is_available(entry.incarnation)
    assert table.find_end(entry.incarnation) is None


def test_older_entry_does_not_undo_a_removal():
    """Guards against requests to a target that is gone, by the listing of a peer."""
    table = TargetTable()
    table.put(create("t-1", 5))
    table.remove(FIRST, 7)
    for revision in (5, 6, 7):
        assert not table.put(create("t-1", revision))
    assert table.find_end(FIRST) == TargetEnd(EndEvidence.REMOVAL, 7)


def test_removal_that_was_a_mistake_ends_as_the_store_shows_the_entry():
    """Guards against a peer's wrong word that excludes a target for good.

    A peer lists the target no more, though its entry was never removed, and is not
    written again either.
    """
    table = TargetTable()
    table.put(create("t-1", 5))
    table.remove(FIRST, 7)
    assert not table.put(create("t-1", 5), 7)
    assert table.put(create("t-1", 5), 8)
    assert table.is_available(FIRST)


@pytest.mark.parametrize("says_so", ["entry", "answer"])
@pytest.mark.parametrize("is_away", [False, True])
def test_target_that_has_said_it_leaves_does_not_return(says_so, is_away):
    """Guards against an entry of a late writer that brings a leaving target back."""
    table = TargetTable()
    table.put(create("t-1", 5))
    if is_away:
        table.remove(FIRST, 6)
    if says_so == "entry":
        table.put(create("t-1", 7, leaving=True))
    else:
        table.mark_leaving(FIRST)
    table.remove(FIRST, 8)
    assert not table.put(create("t-1", 9), 10)
    assert not table.is_available(FIRST)
    assert table.put(create("t-1", 11, started_ms=1000))


def test_target_whose_address_another_service_uses_gets_nothing():
    """Guards against requests to the target of another service at a reused address."""
    table = TargetTable()
    table.put(create("t-1", 5, address="10.0.0.1:80"))
    table.put(create("t-2", 9, address="10.0.0.1:80", service="prices"))
    assert not table.is_available(FIRST)
    assert table.find_end(FIRST) == TargetEnd(EndEvidence.ADDRESS, 9)
    assert table.is_available(SECOND)
    # a heartbeat of a late writer changes nothing, nor does a return
    table.put(create("t-1", 12, address="10.0.0.1:80"))
    assert not table.is_available(FIRST)
    table.remove(FIRST, 13)
    table.put(create("t-1", 14, address="10.0.0.1:80"))
    assert table.list_service("desk") == ()
    assert table.is_available(SECOND)


def test_target_is_used_again_once_its_address_is_its_own():
    table = TargetTable()
    table.put(create("t-1", 5, address="10.0.0.1:80"))
    table.put(create("t-2", 9, address="10.0.0.1:80", service="prices"))
    table.remove(SECOND, 12)
    assert table.is_available(FIRST)
    assert [one.incarnation for one in table.list_service("desk")] == [FIRST]


class ListingModel:
    """What the entries of a store, applied in order, say of the use of targets."""

    def __init__(self) -> None:
        #: start and first revision of the newest incarnation, by id
        self.newest: dict[str, tuple[int, int]] = {}
        self.listed: dict[str, ListedTarget] = {}
        self.left: set[Incarnation] = set()

    def write(self, target: ListedTarget) -> None:
        started_ms, _ = self.newest.get(target.target_id, (-1, 0))
        if target.incarnation.started_ms < started_ms:
            return
        if target.incarnation.started_ms > started_ms:
            start = (target.incarnation.started_ms, target.revision)
            self.newest[target.target_id] = start
        if target.leaving:
            self.left.add(target.incarnation)
        self.listed[target.target_id] = target

    def list_used(self) -> set[Incarnation]:
        """Return the targets that may get requests."""
        return {one.incarnation for one in self.listed.values() if self._is_used(one)}

    def _is_used(self, target: ListedTarget) -> bool:
        if target.incarnation in self.left:
            return False
        _, first = self.newest[target.target_id]
        for other in self.listed.values():
            if other.address != target.address or other.service == target.service:
                continue
            if self.newest[other.target_id][1] > first:
                return False
        return True


_steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["write", "write", "drain", "remove", "answer", "restart", "old", "scan"]
        ),
        st.sampled_from(["t-1", "t-2", "t-3"]),
        st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
    ),
    max_size=40,
)


@given(_steps)
def test_table_uses_the_targets_that_a_model_of_the_listing_uses(steps):
    """Guards against entries that exclude a live target, or bring a left one back.

    The id says the service, and an id is written at one address for each start.
    """
    table, model = TargetTable(), ListingModel()
    starts = dict.fromkeys(("t-1", "t-2", "t-3"), 0)
    services = {"t-1": "desk", "t-2": "desk", "t-3": "prices"}
    history: list[ListedTarget] = []
    addresses: dict[Incarnation, str] = {}
    for revision, (step, target_id, address) in enumerate(steps, start=1):
        if step == "restart":
            starts[target_id] += 1
        incarnation = Incarnation(target_id, starts[target_id])
        entry = create(
            target_id,
            revision,
            started_ms=starts[target_id],
            leaving=step == "drain",
            service=services[target_id],
            address=addresses.setdefault(incarnation, address),
        )
        match step:
            case "write" | "drain" | "restart":
                table.put(entry, revision)
                model.write(entry)
                history.append(entry)
            case "remove" if target_id in model.listed:
                table.remove(model.listed.pop(target_id).incarnation, revision)
            case "answer" if target_id in model.listed:
                listed = model.listed[target_id].incarnation
                table.mark_leaving(listed)
                model.left.add(listed)
            case "old" if history:
                # from a peer that lags
                stale = history[len(history) // 2]
                before = model.listed.get(stale.target_id)
                if not stale.leaving and (
                    before is None or before.incarnation >= stale.incarnation
                ):
                    table.put(stale)
            case "scan":
                for listed in model.listed.values():
                    table.put(listed, revision)
        used = {
            one.incarnation
            for one in table.list_all()
            if table.is_available(one.incarnation)
        }
        assert used == model.list_used()
