"""Tests of greengagelatch_entry.descriptors."""

from __future__ import annotations

import resource

import pytest

from greengagelatch_entry.descriptors import find_descriptor_limit


@pytest.mark.parametrize(
    ("stated", "kernel", "found"),
    [
        (4100, 1024, 1024),
        (400, 1024, 400),
        (0, 1024, 1024),
        (400, resource.RLIM_INFINITY, 400),
        (0, resource.RLIM_INFINITY, 0),
    ],
)
def test_lower_limit_counts(monkeypatch, stated, kernel, found):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (kernel, kernel))
    assert find_descriptor_limit(stated) == found
