"""Tests of greengagelatch_lab.exploration."""

from __future__ import annotations

import random
from unittest import mock

import pytest

from greengagelatch.relay.targets import TargetTable
from greengagelatch_entry.relay.configuration import ConfigurationFollower
from greengagelatch_entry.relay.listing import ListingFollower
from greengagelatch_entry.relay.version_history import VersionHistory
from greengagelatch_lab.exploration.rules import Rule
from greengagelatch_lab.exploration.runs import draw, play, shorten
from greengagelatch_lab.exploration.schedules import (
    Disturbance,
    DisturbanceKind,
    draw_schedule,
)
from greengagelatch_lab.explore import Mutation

RELEASE_AND_RESTART = (
    Disturbance(10.0, DisturbanceKind.RELEASE, 1.0),
    Disturbance(13.0, DisturbanceKind.KILL_ALL, 0.5),
)
BRIEF_RELEASE_AND_RESTART = (
    Disturbance(10.0, DisturbanceKind.RELEASE, 0.3),
    Disturbance(10.2, DisturbanceKind.KILL_ALL, 0.5),
)
REMOVAL = (Disturbance(10.0, DisturbanceKind.TARGET_REMOVAL),)
KEY_CHANGE = (Disturbance(10.0, DisturbanceKind.KEY_CHANGE),)


def list_listed_versions(history, service):
    """Replace the versions that may have begun streams by those that are listed."""
    listed = history._target_table.list_service(service)
    return frozenset(one.software_version for one in listed)


def apply_written_only(listing, changes):
    """Apply changes without the entries that were removed."""
    for target in listing._read(changes.written):
        listing._put(target)
    listing._revision = max(listing._revision, changes.revision)


MUTATIONS = [
    (
        Mutation(
            "a lone listed version is believed",
            VersionHistory,
            "list_possible",
            list_listed_versions,
        ),
        RELEASE_AND_RESTART,
        Rule.STREAM,
    ),
    (
        Mutation(
            "removals are ignored",
            ListingFollower,
            "apply_changes",
            apply_written_only,
        ),
        REMOVAL,
        Rule.DRAINED,
    ),
    (
        Mutation(
            "targets that leave are used",
            TargetTable,
            "_accepts_requests",
            lambda table, target: True,
        ),
        (Disturbance(10.0, DisturbanceKind.TARGET_LEAVING),),
        Rule.DRAINED,
    ),
    (
        Mutation(
            "changes of the configuration are ignored",
            ConfigurationFollower,
            "apply_changes",
            lambda configuration, changes: None,
        ),
        KEY_CHANGE,
        Rule.KEY,
    ),
]


def test_same_seed_gives_the_same_run():
    first, second = draw(105), draw(105)
    assert str(first) == str(second)


def test_schedules_differ_by_seed():
    drawn = {draw_schedule(random.Random(seed)) for seed in range(20)}
    assert len(drawn) == 20


def test_calm_fleet_breaks_no_rule_and_loses_no_stream():
    outcome = play(1, ())
    assert outcome.violations == ()
    assert outcome.went_on
    assert outcome.refused == 0


@pytest.mark.parametrize(
    "schedule", [RELEASE_AND_RESTART, BRIEF_RELEASE_AND_RESTART, REMOVAL, KEY_CHANGE]
)
def test_sound_code_keeps_the_rules(schedule):
    assert play(1, schedule).violations == ()


@pytest.mark.parametrize(
    ("mutation", "schedule", "rule"),
    MUTATIONS,
    ids=lambda one: getattr(one, "name", ""),
)
def test_missing_guard_is_noticed(mutation, schedule, rule):
    """Guards against a check that no run can fail."""
    with mock.patch.object(mutation.owner, mutation.attribute, mutation.replacement):
        outcome = play(1, schedule)
    assert rule in outcome.rules


def test_schedule_is_shortened_to_the_disturbance_that_breaks_the_rule():
    name = "apply_changes"
    schedule = (
        Disturbance(9.0, DisturbanceKind.LINK_CUT, 4.0),
        *REMOVAL,
        Disturbance(12.0, DisturbanceKind.TARGET_CRASH, subject=1),
    )
    with mock.patch.object(ListingFollower, name, apply_written_only):
        shortest = shorten(play(1, schedule))
    assert len(shortest.schedule) == 1
    assert shortest.rules == {Rule.DRAINED}
