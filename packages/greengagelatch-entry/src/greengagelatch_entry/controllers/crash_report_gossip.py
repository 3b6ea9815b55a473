"""Sharing of crash and survival reports with peers."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

from greengagelatch.relay.crash_reports import decode_reports, encode_reports
from greengagelatch.relay.messages import CrashReportsUpdate
from greengagelatch.relay.quarantine import SurvivalReport

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.crash_reports import Report
    from greengagelatch.relay.quarantine import CrashReport, Quarantine

    from ..metrics import Metrics

__all__ = ("CrashReportGossip",)

#: maximum number of entries that are remembered as known
MAX_KNOWN = 4096


class CrashReportGossip:
    """Publishes this instance's reports to peers and applies those of peers.

    Each instance passes an entry on to its neighbours the first time it receives it, so
    that it reaches all instances that are connected by any path. An instance that
    starts later does not get it.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        peers: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._numbers = itertools.count(1)
        #: part of the keys, as an earlier process may have used the same id
        self._started_ms = round(clock.wall() * 1000)
        self._known: OrderedDict[str, None] = OrderedDict()
        peers.handle(CrashReportsUpdate, self._receive)

    def publish(self, report: CrashReport) -> None:
        """Apply a crash report of this instance and send it to peers."""
        self._publish(report)

    def publish_survival(self, digest: str) -> None:
        """Apply the answer to a suspected request and send it to peers."""
        self._metrics.count("requests.cleared")
        self._publish(SurvivalReport(digest))

    def _publish(self, report: Report) -> None:
        number = next(self._numbers)
        key = f"{self._peers.instance_id}/{self._started_ms}/{number}"
        value = encode_reports((report,))
        if self._apply(key, value):
            self._pass_on(((key, value),), sender="")

    def _receive(self, sender: str, message: CrashReportsUpdate) -> None:
        new = []
        for row in message.rows:
            match row:
                case (str(key), bytes(value)) if self._apply(key, value):
                    new.append((key, value))
        if new:
            self._pass_on(tuple(new), sender)

    def _apply(self, key: str, value: bytes) -> bool:
        """Apply an entry; return whether it is new and valid."""
        if key in self._known:
            return False
        self._known[key] = None
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        try:
            reports = decode_reports(value)
        except ValueError:
            self._metrics.count("crashes.unreadable")
            return False
        now = self._clock.now()
        for report in reports:
            if isinstance(report, SurvivalReport):
                self._quarantine.record_survival(report.digest, now)
            else:
                self._quarantine.record_crash(report, now)
        return True

    def _pass_on(self, rows: tuple[tuple[str, bytes], ...], sender: str) -> None:
        update = CrashReportsUpdate(rows)
        for peer in self._peers.neighbours():
            if peer != sender:
                self._peers.send(peer, update)
