"""Engines whose streams break, stall or go back at places drawn by seed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

from greengagelatch_lab.platform_standins.targets import (
    SimulatedTarget,
    _reset,
    _write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("EVENTS", "Ending", "EventScript", "ScriptedEngine", "draw_script")

#: number of events in a stream
EVENTS = 8
#: longest pause in seconds between two parts of what is written
_MAX_PAUSE = 0.004


class Ending(Enum):
    """What an engine does after some events of a run."""

    COMPLETE = "complete"
    #: it closes the connection between two events
    CLOSE = "close"
    #: it closes the connection within an event
    CLOSE_INSIDE = "close-inside"
    #: it resets the connection between two events
    RESET = "reset"
    #: it resets the connection within an event
    RESET_INSIDE = "reset-inside"
    #: it sends nothing more and keeps the connection
    STALL = "stall"
    #: it sends nothing for a while, and then the rest
    PAUSE = "pause"
    #: it sends bytes that are no part of a chunked body
    SPOIL = "spoil"
    #: it starts again with an earlier event, on the same connection
    GO_BACK = "go-back"
    #: it sends the last event once more, and then the rest
    REPEAT = "repeat"
    #: it sends an event without an id, and closes the connection
    LOSE_ID = "lose-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class EventScript:
    """What an engine does in one run.

    :param skipped: whether it starts with the first event whatever it is asked for
    :param framed: whether the body is chunked; otherwise it ends with the connection
    :param events: number of events before the ending
    :param unnumbered: number of an event that is sent without an id; 0: none
    :param extra: bytes after a complete body
    :param line_end: end of each line of an event
    :param comments: whether a comment precedes each event
    :param cut_seed: of the parts in which events are written, and of the pauses before
        them; ``None``: each event at once
    """

    skipped: bool = False
    framed: bool = True
    events: int = EVENTS
    ending: Ending = Ending.COMPLETE
    unnumbered: int = 0
    extra: bytes = b""
    line_end: str = "\n"
    comments: bool = False
    cut_seed: int | None = None


@dataclass(slots=True)
class ScriptedEngine(SimulatedTarget):
    """An engine that plays a script in each run, the next first."""

    #: what it does next; when it is empty, streams complete
    scripts: list[EventScript] = field(default_factory=list)
    #: returns the script of a run in place of these
    draw: Callable[[], EventScript] | None = None
    #: event that each run was to go on after, by the name of the run
    asked: dict[str, int] = field(default_factory=dict)
    #: seconds of a pause
    pause_seconds: float = 0.05
    #: scripts that it has played
    played: list[EventScript] = field(default_factory=list)
    #: connections on which a chunked stream is being sent
    _streaming: set[asyncio.StreamWriter] = field(default_factory=set)

    def close_framed_streams(self) -> None:
        """Close the connections of all chunked streams, as a killed process does.

        Without chunks, nothing would tell the close from the end of the stream.
        """
        for writer in tuple(self._streaming):
            writer.transport.abort()

    def _next_script(self) -> EventScript:
        if self.draw is not None:
            return self.draw()
        return self.scripts.pop(0) if self.scripts else EventScript()

    async def _stream(
        self, request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        if self.bodiless_status:
            _write(writer, self.bodiless_status, headers, b"", length=None)
            return True
        script = self._next_script()
        self.played.append(script)
        after = int(request.headers.get("last-event-id", "0"))
        run = f"{self.target_id}/{len(self.asked)}"
        self.asked[run] = after
        lines = {**headers, "Content-Type": "text/event-stream"}
        _write(writer, 200, lines, b"", chunked=script.framed, length=None)
        if script.framed:
            self._streaming.add(writer)
        try:
            return await self._play(script, run, after, writer)
        finally:
            self._streaming.discard(writer)

    async def _play(
        self, script: EventScript, run: str, after: int, writer: asyncio.StreamWriter
    ) -> bool:
        """Send the events of a run; return whether the connection stays open."""
        first = 1 if script.skipped else after + 1
        numbers = list(range(first, EVENTS + 1))
        for number in numbers[: script.events]:
            await self._send(writer, script, _create_event(script, run, number))
        rest = numbers[script.events :]
        last = numbers[: script.events][-1] if numbers[: script.events] else first - 1
        return await self._end(writer, script, run, last, rest)

    async def _end(
        self,
        writer: asyncio.StreamWriter,
        script: EventScript,
        run: str,
        last: int,
        rest: list[int],
    ) -> bool:
        half = _create_event(script, run, last + 1)[:-3]
        match script.ending:
            case Ending.CLOSE:
                return False
            case Ending.CLOSE_INSIDE:
                await self._send(writer, script, half)
                return False
            case Ending.RESET:
                _reset(writer)
                return False
            case Ending.RESET_INSIDE:
                await self._send(writer, script, half)
                _reset(writer)
                return False
            case Ending.STALL:
                await asyncio.sleep(3600)
            case Ending.PAUSE:
                await asyncio.sleep(self.pause_seconds)
            case Ending.SPOIL:
                writer.write(b"no chunk\r\n" if script.framed else half)
                await writer.drain()
                await asyncio.sleep(self.pause_seconds)
                return False
            case Ending.GO_BACK:
                rest = list(range(max(1, last - 2), EVENTS + 1))
            case Ending.REPEAT:
                rest = [max(1, last), *rest]
            case Ending.LOSE_ID:
                event = _create_event(
                    replace(script, unnumbered=last + 1), run, last + 1
                )
                if rest:
                    await self._send(writer, script, event)
                return False
        for number in rest:
            await self._send(writer, script, _create_event(script, run, number))
        if script.framed:
            writer.write(b"0\r\n\r\n" + script.extra)
        return script.framed

    async def _send(
        self, writer: asyncio.StreamWriter, script: EventScript, data: bytes
    ) -> None:
        for pause, part in _cut(script, data):
            await asyncio.sleep(pause)
            writer.write(self._frame_part(script, part))
            await writer.drain()

    def _frame_part(self, script: EventScript, part: bytes) -> bytes:
        if not script.framed:
            return part
        return f"{len(part):x}\r\n".encode() + part + b"\r\n"


def _create_event(script: EventScript, run: str, number: int) -> bytes:
    end = script.line_end
    line = f": {run}{end}{end}" if script.comments else ""
    if number != script.unnumbered:
        line += f"id: {number}{end}"
    return f"{line}data: {run} {number}{end}{end}".encode()


def _cut(script: EventScript, data: bytes) -> list[tuple[float, bytes]]:
    """Return the parts in which data is written, and the seconds before each."""
    if script.cut_seed is None:
        return [(0.0, data)]
    source = random.Random(f"{script.cut_seed} {data!r}")
    parts = []
    while data:
        size = source.randint(1, len(data))
        parts.append((source.choice((0.0, _MAX_PAUSE)), data[:size]))
        data = data[size:]
    return parts


def draw_script(source: random.Random) -> EventScript:
    """Draw what an engine does in one run; about half of the runs are sound."""
    ending = Ending.COMPLETE
    if source.random() < 0.5:
        ending = source.choice(list(Ending))
    framed = source.random() < 0.8
    events = source.randint(0, EVENTS - 1)
    if not framed and ending in (Ending.CLOSE, Ending.LOSE_ID):
        # between two events, nothing tells such an end from that of the stream
        ending, events = Ending.CLOSE, 0
    # nothing would tell that an event without an id comes again
    skipped = source.random() < 0.1 and ending is not Ending.LOSE_ID
    unnumbered = source.choice((0, 0, 0, source.randint(1, EVENTS)))
    if skipped or ending in (Ending.GO_BACK, Ending.REPEAT):
        unnumbered = 0
    return EventScript(
        skipped=skipped,
        framed=framed,
        events=events,
        ending=ending,
        unnumbered=unnumbered,
        comments=source.random() < 0.2,
        extra=source.choice((b"", b"", b"HTTP/1.1 200 OK\r\n", b"id: 9\n\n")),
        line_end=source.choice(("\n", "\n", "\r\n", "\r")),
        cut_seed=source.choice((None, source.getrandbits(30))),
    )
