"""Tests of greengagelatch_lab.capacity.running_fleet."""

from __future__ import annotations

import math
from types import SimpleNamespace

from greengagelatch_lab.capacity.running_fleet import RunningFleet


def test_line_that_is_still_being_written_is_not_read(tmp_path):
    """Guards against an IndexError while a member process writes its output."""
    output = tmp_path / "members"
    fleet = RunningFleet(tmp_path, size=1)
    fleet.member_processes.append(SimpleNamespace(stdout=output))
    output.write_text("late 0.25\nin-force 3")
    assert fleet.find_in_force_time(3) == math.inf
    assert fleet.sum_loop_lag() == 0.25
    output.write_text("late 0.25\nin-force 3 7.5\nlate 0.")
    assert fleet.find_in_force_time(3) == 7.5
    assert fleet.sum_loop_lag() == 0.25
