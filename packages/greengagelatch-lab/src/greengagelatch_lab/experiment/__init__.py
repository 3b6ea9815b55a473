"""Simulation experiments: the real scheduling code against modelled targets.

The simulation uses no sockets, processes or real clock, so a minute of a fleet takes
seconds and one seed always gives the same result. It compares policies and does not
measure the overhead of the daemon itself.
"""

from __future__ import annotations
