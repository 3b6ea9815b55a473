"""Tests of the cells in pairs.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("pairs.feature")
