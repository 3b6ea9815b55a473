"""Repeats as targets count them, whatever they do with what arrives."""

from __future__ import annotations

from greengagelatch.relay.retry_budget import RetryBudgetRule
from greengagelatch_entry.relay.maker_calls import REJECTED, MakerCaller

REQUESTS = 20


def replace_all(world, service: str) -> None:
    """Give the addresses of a service's targets to others, unknown to the instance."""
    for target in world.targets.values():
        if target.service == service:
            target.target_id = f"another-{target.target_id}"


def count_arrivals(world) -> int:
    return sum(target.misdirected for target in world.targets.values())


def find_most(first: int) -> float:
    """Return the arrivals that the rule allows beside so many first ones."""
    rule = RetryBudgetRule()
    return first + rule.ratio * first + rule.slack / 10


async def test_requests_that_meet_another_target_are_repeats(world):
    """Guards against repeats beyond the bound as many targets are replaced at once."""
    for number in (3, 4, 5):
        await world.add(f"desk-{number}", "desk")
    await world.wait_known(5)
    replace_all(world, "desk")
    for _ in range(REQUESTS):
        reply = await world.ask("/book/1", method="POST")
        assert reply.status == 503
    assert REQUESTS <= count_arrivals(world) <= find_most(REQUESTS)


async def test_calls_that_meet_another_maker_are_repeats(pipeline, monkeypatch):
    """Guards against calls beyond the bound as all makers are replaced at once."""
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
    # as one that a full maker turned away: the next one is charged
    assert set(ends) == {REJECTED}
    assert count_arrivals(pipeline) == len(ends)
