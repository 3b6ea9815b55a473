"""Guards of the relay, each taken out: the fault that it prevents must then show.

Symptom: a guard is lost in a change and no test fails. Sequence: the fault that it was
written for comes, on a whole instance. Cause: tests that would pass without it.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.outcomes import NextStep
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch_entry.adapters.caller_connections import _Connection
from greengagelatch_entry.relay import runners
from greengagelatch_entry.relay.event_split import EventSplitter
from greengagelatch_entry.relay.front import RelayFront
from greengagelatch_entry.relay.links import TargetLinks, _Link
from greengagelatch_lab.platform_standins.targets import TargetFault
from greengagelatch_platform import headers
from greengagelatch_platform.listing import PlatformListingCodec
from greengagelatch_platform.targets import PlatformTargetCodec

from . import conftest, test_crashes, test_restarts, test_stop


def set_fault(world, fault: TargetFault) -> None:
    for target in world.targets.values():
        target.fault = fault


async def test_kind_of_a_request_decides_on_repeats(world, monkeypatch):
    steps = iter([NextStep.RETRY, NextStep.GIVE_UP])
    monkeypatch.setattr(runners, "decide_next", lambda facts: next(steps))
    set_fault(world, TargetFault.LOSE_ANSWER)
    await world.ask("/book/1", method="POST", request_id="b-1")
    runs = sum(target.runs["b-1"] for target in world.targets.values())
    assert runs == 2


async def test_echoed_id_keeps_answers_apart(world, monkeypatch):
    read_head = PlatformTargetCodec.read_head

    def read_without_id(self, reply):
        return replace(read_head(self, reply), request_id="b-1")

    monkeypatch.setattr(PlatformTargetCodec, "read_head", read_without_id)
    set_fault(world, TargetFault.FOREIGN)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert reply.status == 200


async def test_reset_is_told_from_an_orderly_end(world, monkeypatch):
    lose = _Link.connection_lost

    def lose_in_order(self, exc):
        lose(self, None)

    monkeypatch.setattr(_Link, "connection_lost", lose_in_order)
    set_fault(world, TargetFault.UNFRAMED_RESET)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert reply.status == 200


async def test_expected_life_keeps_addresses_apart(world, monkeypatch):
    encode = PlatformTargetCodec.encode_request

    def encode_without_life(self, request, call):
        outbound = encode(self, request, call)
        lines = tuple(
            line for line in outbound.headers if line[0] != b"X-Expected-Replica"
        )
        return replace(outbound, headers=lines)

    monkeypatch.setattr(PlatformTargetCodec, "encode_request", encode_without_life)
    other = await world.add("other-1", "other")
    for name in ("desk-1", "desk-2"):
        world.store.remove(f"servers/{name}")
    world.store.put("servers/desk-3", {**other.describe(), "service": "desk"})
    book = world.find("news")._book
    await world.wait_for(
        lambda: book.find_listed("desk-3") and not book.find_listed("desk-1")
    )
    await world.ask("/look/1", request_id="s-1")
    assert other.runs["s-1"] == 1


async def test_only_whole_events_are_passed_on(pipeline, monkeypatch):
    breaks = pipeline.targets["llm-1"].breaks = pipeline.targets["llm-2"].breaks
    whole = (await pipeline.stream()).body
    breaks.append(2)
    assert (await pipeline.stream()).body == whole
    monkeypatch.setattr(EventSplitter, "feed", lambda self, data: [data])
    monkeypatch.setattr(EventSplitter, "pending", False)
    breaks.append(2)
    assert (await pipeline.stream()).body != whole


def test_targets_that_left_are_remembered(monkeypatch):
    monkeypatch.setattr(TargetTable, "_remember_departed", lambda self, target_id: None)
    book = TargetTable()
    target = ListedTarget(
        incarnation=Incarnation("t-1"),
        service="desk",
        address="10.0.0.1:80",
        data_centre="north",
        revision=1,
    )
    book.put(replace(target, leaving=True, revision=2))
    book.put(replace(target, revision=3))
    assert book.is_available(Incarnation("t-1"))


async def test_revision_keeps_the_configuration_from_going_back(world, monkeypatch):
    configuration = world.find("news")._configuration
    old = configuration.value
    fields = old.replace(b'"version": 3', b'"version": 9')
    assert configuration.take(fields, configuration.revision + 10, "peer")
    assert not configuration.take(old, configuration.revision - 5, "peer")
    monkeypatch.setattr(configuration, "_revision", 0)
    # the version itself is the second guard
    configuration.take(old, 1, "peer")
    assert configuration.deployment.version == 9


@pytest.mark.parametrize("name", ["x-tenant", "x-hold", "authorization"])
async def test_headers_of_the_system_are_taken_out(world, monkeypatch, name):
    left = headers.SYSTEM_HEADERS - {name.encode()}
    monkeypatch.setattr(headers, "SYSTEM_HEADERS", left)
    await world.ask("/look/1", X_Tenant="south", X_Hold="h-1")
    seen = next(one for target in world.targets.values() for one in target.seen)
    assert name in seen.headers


async def test_connections_are_closed_once_their_request_is_answered(
    world, monkeypatch
):
    def end_as_idle(connection):
        connection.busy = False

    def begin_in_time(connection):
        connection.busy = True

    # two more guards stand beside it: answers that begin during a stop say that the
    # connection ends, and what comes late is refused
    monkeypatch.setattr(RelayFront, "_keeps_connections", lambda self: True)
    monkeypatch.setattr(_Connection, "end_request", end_as_idle)
    monkeypatch.setattr(_Connection, "_begin", begin_in_time)
    with pytest.raises(AssertionError):
        await test_stop.test_connection_that_was_busy_at_the_stop_takes_nothing_more(
            world
        )


async def test_connections_are_busy_from_the_first_byte(world, monkeypatch):
    monkeypatch.setattr(_Connection, "_begin", lambda self: None)
    with pytest.raises(AssertionError):
        await test_stop.test_request_that_is_read_as_idle_connections_close_is_answered(
            world
        )


async def test_end_of_a_stop_breaks_requests_off(pipeline, monkeypatch):
    monkeypatch.setattr(pipeline.parts.drain, "_break_off", lambda: None)
    monkeypatch.setattr(test_stop, "PATIENCE", 2)
    with pytest.raises(TimeoutError):
        await test_stop.test_what_is_in_flight_at_the_end_of_a_stop_is_answered(
            pipeline
        )


def has_heard_all(world, target) -> bool:
    return (world.find("store").dump()["revision"] or 0) >= world.store.revision


def ignore_starts(monkeypatch) -> None:
    """Have every start of an id taken for the same target."""
    decode = PlatformListingCodec.decode

    def decode_without_start(self, key, value, revision):
        return decode(self, key, value, revision).map(
            lambda target: replace(target, incarnation=Incarnation(target.target_id))
        )

    monkeypatch.setattr(PlatformListingCodec, "decode", decode_without_start)


@pytest.mark.parametrize(
    "name",
    [
        "test_restart_is_told_once_and_everything_of_before_is_dropped",
        "test_target_that_left_and_starts_again_is_used",
        "test_entry_of_the_former_one_changes_nothing",
        "test_connections_of_the_former_one_are_not_used",
        "test_request_that_may_be_repeated_goes_to_the_new_start",
    ],
)
async def test_starts_of_targets_are_told_apart(world, monkeypatch, name):
    ignore_starts(monkeypatch)
    monkeypatch.setattr(test_restarts, "is_known", has_heard_all)
    monkeypatch.setattr(conftest, "PATIENCE", 3)
    with pytest.raises((AssertionError, TimeoutError)):
        await getattr(test_restarts, name)(world)


@pytest.mark.parametrize(
    "name",
    [
        "test_results_lost_before_the_next_stage_are_made_again",
        "test_results_lost_before_a_further_engine_reads_them_are_made_again",
        "test_answer_of_a_former_maker_is_not_used",
    ],
)
async def test_starts_of_makers_are_told_apart(pipeline, monkeypatch, name):
    ignore_starts(monkeypatch)
    monkeypatch.setattr(conftest, "PATIENCE", 3)
    with pytest.raises((AssertionError, TimeoutError)):
        await getattr(test_restarts, name)(pipeline)


async def test_kind_of_a_request_decides_on_repeats_to_a_new_start(world, monkeypatch):
    steps = iter([NextStep.RETRY, NextStep.GIVE_UP])
    monkeypatch.setattr(runners, "decide_next", lambda facts: next(steps))
    with pytest.raises(AssertionError):
        await test_restarts.test_booking_that_may_have_run_before_is_not_sent_again(
            world
        )
    assert world.targets["desk-1"].runs["b-1"] == 2


async def test_dial_tells_lost_answers_from_crashes(world, monkeypatch):
    async def believe(self, address):
        return True

    monkeypatch.setattr(TargetLinks, "is_closed", believe)
    await test_crashes.lose_answers(world)
    await world.wait_for(lambda: world.describe()["crashes"]["held_count"] == 1)
    assert (await world.ask(test_crashes.LOST)).status == 503
