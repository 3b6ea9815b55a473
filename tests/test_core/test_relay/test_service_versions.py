"""Tests of greengagelatch.relay.service_versions."""

from __future__ import annotations

from greengagelatch.relay.service_versions import MAX_GAP_SECONDS, ServiceVersions


def test_version_is_the_only_one_until_another_is_listed():
    services = ServiceVersions(10.0)
    assert services.list_lately("llm", 0.0) == set()
    services.observe("llm", {"v1"}, 0.0, 0.0)
    assert services.list_lately("llm", 1.0) == {"v1"}
    services.observe("llm", {"v1", "v2"}, 2.0, 2.0)
    services.observe("llm", {"v2"}, 3.0, 3.0)
    assert services.list_lately("llm", 3.0) == {"v1", "v2"}
    services.observe("llm", {"v2"}, 12.0, 12.0)
    assert services.list_lately("llm", 12.0) == {"v2"}


def test_only_version_is_certain_after_a_time_without_a_gap():
    """Guards against a version that came and went while nobody looked."""
    services = ServiceVersions(10.0)
    assert not services.is_certain("llm", 0.0)
    for second in range(0, 11, 2):
        services.observe("llm", {"v1"}, float(second), float(second))
    assert not services.is_certain("llm", 9.9)
    assert services.is_certain("llm", 10.0)
    services.observe("llm", {"v1"}, 11.0 + MAX_GAP_SECONDS, 11.0 + MAX_GAP_SECONDS)
    assert not services.is_certain("llm", 11.0 + MAX_GAP_SECONDS)
