"""Tests of greengagelatch.targets.registry."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengagelatch.instances import Instance, InstanceKind, InstanceState, Listing
from greengagelatch.targets.directory import LoadReport
from greengagelatch.targets.registry import TargetRegistry, TargetRegistryRules

SERVICE = "greengage-llm"
CENTRES = ("fukuoka-a", "fukuoka-b", "kumamoto")
IDS = tuple(f"t-{number}" for number in range(6))


def find_centre(target_id: str) -> str:
    return CENTRES[int(target_id[2:]) % 3]


def make_listing(
    as_of: int, live: tuple[str, ...], leaving: tuple[str, ...] = ()
) -> Listing:
    rows = []
    for target_id in (*live, *leaving):
        state = InstanceState.LEAVING if target_id in leaving else InstanceState.LIVE
        rows.append(
            Instance(
                instance_id=target_id,
                kind=InstanceKind.TARGET,
                data_centre=find_centre(target_id),
                address=f"10.0.0.1:{int(target_id[2:]) + 1}",
                state=state,
                service=SERVICE,
            )
        )
    return Listing(as_of, tuple(rows))


def make_registry(instance_id: str = "entry-1", **rules) -> TargetRegistry:
    return TargetRegistry(instance_id=instance_id, rules=TargetRegistryRules(**rules))


def list_ids(registry: TargetRegistry) -> list[str]:
    candidates = registry.list_candidates(0.0, SERVICE)
    return [candidate.target.target_id for candidate in candidates]


def test_leaving_sticks_against_a_stale_list():
    """
    Guards against giving new work to a target that is shutting down. It reported on an
    answer that it leaves, while the list, which may be out of date, still shows it as
    live in new listings.
    """
    registry = make_registry()
    registry.apply_listing(make_listing(1, IDS))
    assert registry.mark_leaving(["t-0"]).leaving == ("t-0",)
    change = registry.apply_listing(make_listing(2, IDS))
    assert not change.leaving
    assert "t-0" not in list_ids(registry)
    assert not registry.accepts("t-0")


def test_target_marked_leaving_before_it_is_listed():
    registry = make_registry()
    registry.mark_leaving(["t-0"])
    registry.apply_listing(make_listing(1, IDS))
    assert "t-0" not in list_ids(registry)


def test_older_listing_is_ignored():
    registry = make_registry()
    registry.apply_listing(make_listing(5, IDS))
    change = registry.apply_listing(make_listing(4, (), leaving=IDS))
    assert change.stale
    assert list_ids(registry) == list(IDS)


def test_one_listing_without_a_target_proves_nothing():
    """
    Guards against a healthy target being removed for seconds each time a single
    listing lacks it, although the next one contains it again.
    """
    registry = make_registry(missing_listings=3)
    registry.apply_listing(make_listing(1, IDS))
    # t-3 is in the same data centre, so the data centre is not missing as a whole
    without = make_listing(2, IDS[1:])
    registry.apply_listing(without)
    registry.apply_listing(without)
    assert "t-0" in list_ids(registry)
    registry.apply_listing(without)
    assert "t-0" not in list_ids(registry)
    registry.apply_listing(make_listing(3, IDS))
    assert "t-0" in list_ids(registry)


def test_missing_and_unreachable_is_gone_at_once():
    registry = make_registry()
    registry.apply_listing(make_listing(1, IDS))
    registry.apply_listing(make_listing(2, IDS[1:]))
    registry.record_failure("t-0")
    assert not registry.accepts("t-0")


def test_unreachable_data_centre_is_not_leaving():
    """
    Guards against a data centre's targets getting no work after a partition. During
    it the listings lack them and calls fail; afterwards calls succeed while the list
    is still out of date. Unreachable targets must not be recorded as leaving or gone.
    """
    registry = make_registry()
    registry.apply_listing(make_listing(1, IDS))
    lost = [target_id for target_id in IDS if find_centre(target_id) == "kumamoto"]
    rest = tuple(target_id for target_id in IDS if target_id not in lost)
    # the list loses one of them first
    registry.apply_listing(make_listing(2, (*rest, lost[0])))
    for as_of in range(3, 20):
        registry.apply_listing(make_listing(as_of, rest))
        for target_id in lost:
            registry.record_failure(target_id)
    assert list_ids(registry) == list(rest)
    for target_id in lost:
        registry.record_success(target_id)
    assert list_ids(registry) == list(IDS)


def test_service_is_never_emptied_by_failed_calls():
    """
    Guards against an instance refusing all requests although most targets work. Its
    own network fails briefly, so all its calls fail, and without a minimum it would
    eject every target.
    """
    registry = make_registry(min_candidates=2)
    registry.apply_listing(make_listing(1, IDS))
    for target_id in IDS * 2:
        registry.record_failure(target_id)
    kept = list_ids(registry)
    assert len(kept) == 2
    assert all(registry.accepts(target_id) for target_id in kept)
    # candidates that fail again are replaced by others
    for target_id in kept:
        registry.record_failure(target_id)
    assert not set(kept) & set(list_ids(registry))


def test_large_service_is_used_in_part_and_keeps_its_size():
    registry = make_registry(min_subset=3)
    registry.apply_listing(make_listing(1, IDS))
    first = list_ids(registry)
    assert len(first) == 3
    for target_id in [first[0]] * 2:
        registry.record_failure(target_id)
    second = list_ids(registry)
    # one has been replaced, the others stay
    assert len(second) == 3
    assert set(first[1:]) < set(second)
    assert first[0] in registry.list_watched(0.0)


def test_few_instances_use_all_of_a_large_service():
    """
    Guards against idle targets in a large service while calls queue at others. Nine
    instances with subsets of 20 share 400 targets, so fixed subsets together would be
    smaller than the service.
    """
    ids = tuple(f"t-{number}" for number in range(400))
    listing = make_listing(1, ids)
    users: Counter[str] = Counter()
    for number in range(9):
        registry = make_registry(f"entry-{number}")
        registry.apply_listing(listing)
        assert len(list_ids(registry)) == 20
        change = registry.set_instance_count(9)
        assert change.services == {SERVICE}
        users.update(list_ids(registry))
    assert set(users) == set(ids)


def test_target_of_a_large_service_is_shared_by_few_of_many_instances():
    """
    Guards against instances of a large fleet using only a fraction of their targets'
    capacity. With 300 instances that use 20 of 600 targets each, a target is shared by
    ten instances and not by all.
    """
    registry = make_registry(min_subset=20)
    registry.apply_listing(make_listing(1, tuple(f"t-{n}" for n in range(600))))
    assert registry.estimate_users(SERVICE) == 1
    registry.set_instance_count(300)
    assert registry.estimate_users(SERVICE) == 10
    assert registry.estimate_users("unknown") == 1


def test_load_report_ages_and_does_not_go_back():
    registry = make_registry(report_ttl=10)
    registry.apply_listing(make_listing(1, IDS))

    def report(taken: float, queued: int) -> LoadReport:
        return LoadReport(in_flight=0, queued=queued, capacity=1, taken=taken)

    def read() -> LoadReport | None:
        return registry.list_candidates(0.0, SERVICE)[0].report

    registry.apply_report("t-0", report(100.0, 1))
    registry.apply_report("t-0", report(99.0, 2))
    assert read().queued == 1
    registry.expire_reports(109.0)
    assert read() is not None
    registry.expire_reports(111.0)
    assert read() is None


target_ids = st.sampled_from(IDS)
some_ids = st.lists(target_ids, unique=True).map(tuple)


class RegistryMachine(RuleBasedStateMachine):
    """Updates from all sources in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = make_registry(min_subset=4, min_candidates=1)
        self.left: set[str] = set()
        self.reported: list[str] = []
        self.as_of = 0
        self.shown: set[str] = set()

    @rule(live=some_ids, leaving=some_ids, older=st.booleans())
    def list_targets(self, live, leaving, older):
        leaving = tuple(target_id for target_id in leaving if target_id not in live)
        as_of = self.as_of - 1 if older else self.as_of + 1
        change = self.registry.apply_listing(make_listing(as_of, live, leaving))
        self.reported += change.leaving
        assert change.stale == (older and self.as_of > 0)
        if change.stale:
            return
        self.as_of = max(as_of, 0)
        self.left.update(leaving)
        self.shown = set(live)

    @rule(target_id=target_ids)
    def leave(self, target_id):
        self.reported += self.registry.mark_leaving([target_id]).leaving
        self.left.add(target_id)

    @rule(target_id=target_ids, answered=st.booleans())
    def call(self, target_id, answered):
        if answered:
            self.registry.record_success(target_id)
        else:
            self.registry.record_failure(target_id)

    @invariant()
    def never_offers_leaving_targets(self):
        assert not self.left & set(list_ids(self.registry))
        assert not any(self.registry.accepts(target_id) for target_id in self.left)

    @invariant()
    def reports_each_leaving_target_once(self):
        assert sorted(self.reported) == sorted(self.left)

    @invariant()
    def accepts_what_it_offers(self):
        offered = list_ids(self.registry)
        assert len(offered) <= 4
        assert all(self.registry.accepts(target_id) for target_id in offered)

    @invariant()
    def is_empty_only_without_targets(self):
        if self.shown - self.left and not list_ids(self.registry):
            # all targets of the last listing have been removed since
            assert not any(self.registry.find_target(item) for item in self.shown)


RegistryMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestRegistryMachine = RegistryMachine.TestCase


def test_leaving_targets_are_shown_until_the_list_drops_them():
    """
    Guards against a drained target vanishing from the operator's view while it is
    still listed, which takes minutes: draining it again then reports an unknown
    target. This happens if only the id of a leaving target is kept.
    """
    registry = make_registry()

    def list_shown() -> list[str]:
        targets = registry.list_leaving_targets()
        return sorted(target.target_id for target in targets)

    registry.apply_listing(make_listing(1, IDS))
    registry.mark_leaving(["t-0", "t-8"])
    assert list_shown() == ["t-0"]
    registry.apply_listing(make_listing(2, IDS[:5], leaving=("t-5",)))
    assert list_shown() == ["t-0", "t-5"]
    # the platform has lost contact with a data centre that a listing lacks as a whole
    registry.apply_listing(make_listing(3, IDS[1:2], leaving=("t-4",)))
    assert list_shown() == ["t-0", "t-4", "t-5"]
    registry.apply_listing(make_listing(4, IDS[1:5]))
    assert list_shown() == ["t-4"]
    registry.apply_listing(make_listing(5, IDS[1:4]))
    assert list_shown() == []
