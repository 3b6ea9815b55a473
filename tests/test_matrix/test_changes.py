"""Tests of the cells in changes.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("changes.feature")
