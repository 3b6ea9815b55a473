"""Decision-level experiments: the real decision code against modelled targets.

No sockets, processes or clocks take part, so a minute of a fleet takes seconds and
one seed always gives the same result. It compares policies; it says nothing on
what the daemon itself costs.
"""

from __future__ import annotations
