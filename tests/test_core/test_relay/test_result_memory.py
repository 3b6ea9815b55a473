"""Tests of greengagelatch.relay.result_memory."""

from __future__ import annotations

from greengagelatch.relay.result_memory import REFUSAL_SECONDS, USED_SHARE, ResultMemory


def test_results_occupy_memory_from_the_call_until_their_release():
    memory = ResultMemory(1000, retention_seconds=4.0)
    capacity = 1000 * USED_SHARE
    memory.reserve(300)
    assert memory.find_free(0.0) == capacity - 300
    memory.commit(300, {"h-1": 100, "h-2": 100}, now=1.0)
    assert memory.find_free(1.0) == capacity - 200
    memory.release("h-1")
    assert memory.find_free(1.0) == capacity - 100


def test_unreleased_results_expire():
    memory = ResultMemory(1000, retention_seconds=4.0)
    memory.commit(0, {"h-1": 500}, now=1.0)
    memory.hold_unidentified(100, now=1.0)
    assert memory.find_free(4.9) == 1000 * USED_SHARE - 600
    assert memory.find_free(5.1) == 1000 * USED_SHARE


def test_results_of_calls_that_were_lost_together_all_count():
    """Guards against calls that a maker refuses after two were lost at the same time.

    They had started at the same time and were counted under the same name.
    """
    memory = ResultMemory(1000, retention_seconds=4.0)
    memory.hold_unidentified(100, now=1.0)
    memory.hold_unidentified(200, now=1.0)
    assert memory.find_free(1.0) == 1000 * USED_SHARE - 300
    assert memory.find_free(5.0) == 1000 * USED_SHARE


def test_refusal_marks_the_memory_as_full_for_a_moment():
    """Guards against calls that a maker refuses one after the other for seconds.

    The owner of the makers died, and its results still occupied their memory when the
    next owner started; refusals were not taken into account.
    """
    memory = ResultMemory(1000, retention_seconds=4.0)
    memory.record_refusal(now=1.0)
    assert memory.find_free(1.0) <= 0
    assert memory.find_free(1.0 + REFUSAL_SECONDS) == 1000 * USED_SHARE
