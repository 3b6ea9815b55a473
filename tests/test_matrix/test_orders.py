"""Tests of the cells in orders.feature."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("orders.feature")
