"""Tests of the cells in requests.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("requests.feature")
