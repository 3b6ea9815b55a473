"""The cells of the matrix at the steps of a request."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("requests.feature")
