"""Recording of events: to a list within a process, or as lines of JSON to a file."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

from lagoonlever.codec import UnknownMessage
from lagoonlever.history.events import HISTORY, HistoryEvent, load_events


@attrs.define(kw_only=True)
class Recorder:
    """Appends the events of one process; keeps them in ``events`` unless a path is given.

    ``clock`` must be one clock for all processes of a machine, which
    ``trio.current_time`` is not.
    """

    process: str
    _path: Path | None = None
    _clock: Callable[[], float] = time.monotonic
    events: list[HistoryEvent] = attrs.field(factory=list, init=False)
    _descriptor: int | None = attrs.field(default=None, init=False)

    @property
    def now(self) -> float:
        """The time to give an event, in seconds."""
        return self._clock()

    def record(self, event: HistoryEvent) -> None:
        """Append an event; in a file it survives the process's death from here on.

        One unbuffered write in append mode a line: a process that is killed
        loses no recorded event and tears no line of another.
        """
        if self._path is None:
            self.events.append(event)
            return
        if self._descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptor = os.open(self._path, flags, 0o644)
        os.write(self._descriptor, HISTORY.encode_line(event))

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def read_history(paths: Iterable[Path]) -> list[HistoryEvent]:
    """Read the events of several processes in the order of their times.

    A last line without its end is left out: its process was killed in the
    middle of writing it. Any other line that can't be read raises
    ``UnknownMessage``.
    """
    load_events()
    events: list[HistoryEvent] = []
    for path in paths:
        *whole, _torn = path.read_bytes().split(b"\n")
        for line in whole:
            event = HISTORY.decode_line(line)
            if not isinstance(event, HistoryEvent):
                raise UnknownMessage(f"{path} holds a message that is no event")
            events.append(event)
    return sorted(events, key=lambda event: event.at)
