"""Prompt parts that targets have begun to answer on, as told between instances."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, defaultdict
from typing import TYPE_CHECKING

from greengagelatch.relay.crash_reports import MAX_PARTS
from greengagelatch.relay.part_crashes import MAX_SURVIVED, SharedPart
from greengagelatch.relay.quarantine import CLEARED_SECONDS, PartSurvivalReport

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from greengagelatch.clock import Clock
    from greengagelatch.relay.part_quarantine import PartQuarantine
    from greengagelatch.relay.quarantine import CrashReport

__all__ = ("PartSurvivals",)

#: longest delay in seconds of an answer to a crash report; most instances find that
#: another one has told what they know
MAX_DELAY_SECONDS = 0.2
#: seconds for which a survival that was published is not published again unless the
#: part has crashes
REPUBLISH_SECONDS = CLEARED_SECONDS / 2


class PartSurvivals:
    """Tells other instances which parts are harmless, once one of them is suspected.

    A part is known to be harmless by the instance that forwarded an answer to it,
    while another one decides whether it has crashed targets. Publishing each answer
    would cost a message per request, so an instance publishes what it knows of the
    parts in a crash report, and each answer to a part that has crashes.

    :param publish: applies a report and sends it to the other instances
    """

    def __init__(
        self,
        *,
        quarantine: PartQuarantine,
        publish: Callable[[PartSurvivalReport], None],
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._publish = publish
        self._clock = clock
        self._random = random_source
        #: time at which all instances were told, the least recent first
        self._published: OrderedDict[SharedPart, float] = OrderedDict()

    def record_answer(self, parts: Sequence[SharedPart], begun_at: float) -> None:
        """Record that a target of this instance has begun to answer a request.

        :param begun_at: monotonic time in seconds of the beginning of the answer
        """
        if not parts:
            return
        crashed = [part for part in parts if self._quarantine.has_crashes(part)]
        self._quarantine.record_survival(parts, begun_at)
        self._publish_parts(crashed)

    def record_published(self, report: PartSurvivalReport) -> None:
        """Record a report of this or another instance."""
        now = self._clock.now()
        for part_id in report.part_ids:
            part = SharedPart(report.service, part_id)
            self._published.pop(part, None)
            self._published[part] = now
        while len(self._published) > MAX_SURVIVED:
            self._published.popitem(last=False)

    def answer(self, report: CrashReport, *, own: bool) -> None:
        """Tell the other instances which parts of a crash report are harmless.

        :param own: whether it is a report of this instance
        """
        if not self._list_untold(report):
            return
        if own:
            self._publish_parts(self._list_untold(report))
            return
        delay = self._random.uniform(0.0, MAX_DELAY_SECONDS)
        asyncio.get_running_loop().call_later(
            delay, lambda: self._publish_parts(self._list_untold(report))
        )

    def _list_untold(self, report: CrashReport) -> list[SharedPart]:
        """Return the parts of a report that only this instance knows as harmless."""
        now = self._clock.now()
        ids = dict.fromkeys(part_id for ids in report.parts for part_id in ids)
        parts = [SharedPart(report.service, part_id) for part_id in ids]
        return [
            part
            for part in parts
            if self._quarantine.has_survived(part, now)
            and now - self._published.get(part, float("-inf")) >= REPUBLISH_SECONDS
        ]

    def _publish_parts(self, parts: Iterable[SharedPart]) -> None:
        now = self._clock.now()
        by_service: defaultdict[str, list[SharedPart]] = defaultdict(list)
        for part in parts:
            by_service[part.service].append(part)
        for service, found in by_service.items():
            for first in range(0, len(found), MAX_PARTS):
                batch = found[first : first + MAX_PARTS]
                ids = tuple(part.part_id for part in batch)
                ages = tuple(self._quarantine.find_age(part, now) for part in batch)
                self._publish(PartSurvivalReport(service, ids, ages))
