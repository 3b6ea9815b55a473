"""Tests of greengagelatch_platform.adapters."""

from __future__ import annotations

import pytest

from greengagelatch_platform.adapters import (
    BALANCER_LAG,
    MAX_ABORT_MARGIN_SHARE,
    create_relay_settings,
)

from .test_settings import SETTINGS, read

#: grace periods in seconds, the usual one included
GRACE_PERIODS = (0.5, 1, 2, 2.6, 3, 4, 5, 8, 20)
USUAL_GRACE_PERIOD = 8


def create(grace_period: float):
    bounds = {**SETTINGS["bounds"], "grace-s": grace_period}
    return create_relay_settings(read(bounds=bounds), "")


def test_requests_taken_last_end_before_a_short_grace_period_does():
    """Guards against requests that are cut by the kill after a short grace period.

    The fault is a balancer lag of fixed length: in a grace period of 1 s, requests get
    deadlines after the kill, and none is aborted and answered before it; in one of 3 s,
    those taken last are passed on with no time left.
    """
    for grace_period in GRACE_PERIODS:
        settings = create(grace_period)
        margin = grace_period - settings.balancer_lag - settings.longest_drain
        assert margin >= min(1.0, grace_period * MAX_ABORT_MARGIN_SHARE) - 1e-9
        # a request taken at the end of the lag gets the rest
        assert settings.longest_drain >= min(settings.balancer_lag, BALANCER_LAG)


def test_balancer_lag_is_served_in_a_usual_grace_period():
    """Guards against closing the listener while the balancer still sends requests."""
    settings = create(USUAL_GRACE_PERIOD)
    assert settings.balancer_lag == BALANCER_LAG
    assert settings.longest_drain == pytest.approx(4.4)
