"""Tests of the cells in takeovers.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("takeovers.feature")
