"""Tests of prompt parts that crash targets, on an instance."""

from __future__ import annotations

from greengagelatch_entry.relay.decisions import DecisionLog


def record_decisions(monkeypatch) -> list[tuple[str, dict]]:
    """Return the list to which decisions are appended as they are logged."""
    recorded = []

    def record(self, kind, **fields):
        recorded.append((kind, fields))

    monkeypatch.setattr(DecisionLog, "log_decision", record)
    return recorded


async def test_log_names_the_shared_parts_of_a_prompt(pipeline, monkeypatch):
    """Guards against crashes whose common prompt part is in no log line."""
    recorded = record_decisions(monkeypatch)
    for target in pipeline.targets.values():
        target.break_after = 0 if target.service == "llm" else None
    await pipeline.stream("scan", X_Prefix_Hash="aa:20,bb:40,aa:20,own:20")
    parts = {kind: fields.get("parts") for kind, fields in recorded}
    assert parts["request"] == ["aa", "bb"]
    assert parts["send"] == ["aa", "bb"]


async def test_log_names_no_parts_of_requests_without_a_prompt(world, monkeypatch):
    recorded = record_decisions(monkeypatch)
    await world.ask("/look/1")
    assert "parts" not in dict(recorded)["request"]
