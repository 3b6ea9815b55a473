"""Tests of the cells in stops.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("stops.feature")
