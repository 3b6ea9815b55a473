"""Tests of the retry budget, with retries counted by the targets."""

from __future__ import annotations

from greengagelatch.relay.retry_budget import RetryBudgetRule
from greengagelatch_entry.relay.maker_calls import REJECTED, MakerCaller

REQUESTS = 20


def replace_all(world, service: str) -> None:
    """Let other targets take over a service's addresses, unknown to the instance."""
    for target in world.targets.values():
        if target.service == service:
            target.target_id = f"another-{target.target_id}"


def count_arrivals(world) -> int:
    return sum(target.misdirected for target in world.targets.values())


def find_max_arrivals(first: int) -> float:
    """Return the arrivals that the rule allows for so many first attempts."""
    rule = RetryBudgetRule()
    return first + rule.ratio * first + rule.slack / 10


async def test_requests_that_reach_another_target_count_as_retries(world):
    """Guard against unbounded retries when many targets are replaced at once."""
    for number in (3, 4, 5):
        await world.add(f"desk-{number}", "desk")
    await world.wait_until_synced(5)
    replace_all(world, "desk")
    for _ in range(REQUESTS):
        reply = await world.ask("/book/1", method="POST")
        assert reply.status == 503
    assert REQUESTS <= count_arrivals(world) <= find_max_arrivals(REQUESTS)


async def test_calls_that_reach_another_maker_count_as_retries(pipeline, monkeypatch):
    """Guard against unbounded calls when all makers are replaced at once."""
    ends = []
    make_call = MakerCaller.call

    async def record(*arguments):
        end = await make_call(*arguments)
        ends.append(end.outcome)
        return end

    monkeypatch.setattr(MakerCaller, "call", record)
    replace_all(pipeline, "portal")
    reply = await pipeline.stream(request_id="s-1")
    assert reply.status == 503
    # counted like a rejection by a full maker: the next attempt is charged
    assert set(ends) == {REJECTED}
    assert count_arrivals(pipeline) == len(ends)
