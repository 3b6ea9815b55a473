"""Tests of greengagelatch.relay.room."""

from __future__ import annotations

from greengagelatch.relay.result_memory import FOREIGN_SECONDS, USED_SHARE, ResultMemory


def test_results_take_room_from_the_call_until_they_are_freed():
    room = ResultMemory(1000, keep_seconds=4.0)
    whole = 1000 * USED_SHARE
    room.reserve(300)
    assert room.find_free(0.0) == whole - 300
    room.commit(300, {"h-1": 100, "h-2": 100}, now=1.0)
    assert room.find_free(1.0) == whole - 200
    room.release("h-1")
    assert room.find_free(1.0) == whole - 100


def test_results_that_nobody_frees_lapse():
    room = ResultMemory(1000, keep_seconds=4.0)
    room.commit(0, {"h-1": 500}, now=1.0)
    room.hold_unidentified("lost", 100, until=1.0)
    assert room.find_free(4.9) == 1000 * USED_SHARE - 600
    assert room.find_free(5.1) == 1000 * USED_SHARE


def test_refusal_fills_the_room_for_a_moment():
    """Symptom: calls to a maker are refused one after the other for seconds.

    Sequence: the instance that gathered a service's pieces dies; its results still
    fill the makers when the next one begins with empty books.
    Cause: what a refusal says about the room was not taken in.
    """
    room = ResultMemory(1000, keep_seconds=4.0)
    room.record_refusal(now=1.0)
    assert room.find_free(1.0) <= 0
    assert room.find_free(1.0 + FOREIGN_SECONDS) == 1000 * USED_SHARE
