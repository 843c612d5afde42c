"""Numbered log events: each declared once, with the text and the page that explains it.

A part declares its events as constants, in its own range of numbers, and logs
through them: ``PEER_SUSPECTED.log(log, peer=peer)``. The registry ``EVENTS``
refuses a number or a name that is taken, and is what the operators' page of
events is generated from.
"""

from __future__ import annotations

import string
from collections.abc import Iterator
from typing import Any, Literal

import attrs
import logbook

LevelName = Literal["debug", "info", "notice", "warning", "error", "critical"]

_LEVELS: dict[str, int] = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "notice": logbook.NOTICE,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
    "critical": logbook.CRITICAL,
}
_RESERVED_FIELDS = frozenset({"level", "extra", "exc_info", "frame_correction"})
"""Names that the logger's own signature takes."""

RANGE_SIZE = 100


@attrs.frozen(kw_only=True)
class EventRange:
    """A part of the system and the first of its ``RANGE_SIZE`` numbers."""

    first: int
    part: str

    def holds(self, number: int) -> bool:
        """Tell whether a number belongs to this part."""
        return self.first <= number < self.first + RANGE_SIZE


RANGES = (
    EventRange(first=100, part="Entry daemon"),
    EventRange(first=200, part="Generations"),
    EventRange(first=300, part="Application services"),
    EventRange(first=400, part="Settings"),
    EventRange(first=500, part="Membership"),
    EventRange(first=600, part="Shares and limits"),
    EventRange(first=700, part="Targets"),
    EventRange(first=800, part="Platform"),
    EventRange(first=900, part="Stand-ins"),
    EventRange(first=1000, part="Gateway"),
    EventRange(first=1100, part="Gateway: runs at engines"),
)


@attrs.frozen(kw_only=True)
class LogEvent:
    """One kind of log event; ``text`` names its fields in braces, ``doc`` is for operators."""

    number: int
    name: str
    level: LevelName
    text: str
    doc: str

    @property
    def fields(self) -> tuple[str, ...]:
        """The names of the fields that the text uses, in their order."""
        parsed = string.Formatter().parse(self.text)
        return tuple(dict.fromkeys(name for _, name, _, _ in parsed if name))

    def log(self, logger: logbook.Logger, **fields: Any) -> None:
        """Write the event to a logger; ``exc_info=True`` adds the current exception."""
        logger.log(_LEVELS[self.level], self.text, extra={"event": self}, **fields)


class EventRegistry:
    """Every declared event by number; refuses duplicates and numbers of no part."""

    def __init__(self) -> None:
        self._by_number: dict[int, LogEvent] = {}
        self._names: set[str] = set()

    def __iter__(self) -> Iterator[LogEvent]:
        """Give the events in the order of their numbers."""
        return iter([self._by_number[number] for number in sorted(self._by_number)])

    def __len__(self) -> int:
        return len(self._by_number)

    def of_range(self, range_: EventRange) -> list[LogEvent]:
        """Give the events of one part in the order of their numbers."""
        return [event for event in self if range_.holds(event.number)]

    def add(self, event: LogEvent) -> LogEvent:
        """Register an event; raises ``ValueError`` for a wrong declaration."""
        if event.number in self._by_number:
            taken = self._by_number[event.number]
            raise ValueError(f"event number {event.number} is taken by {taken.name!r}")
        if event.name in self._names:
            raise ValueError(f"event name {event.name!r} is taken")
        if not any(range_.holds(event.number) for range_ in RANGES):
            raise ValueError(f"event number {event.number} is in no part's range")
        if event.level not in _LEVELS:
            raise ValueError(f"event {event.name!r} has the unknown level {event.level!r}")
        if _RESERVED_FIELDS.intersection(event.fields):
            raise ValueError(f"event {event.name!r} uses a field name of the logger")
        self._by_number[event.number] = event
        self._names.add(event.name)
        return event


EVENTS = EventRegistry()


def event(number: int, name: str, level: LevelName, text: str, doc: str) -> LogEvent:
    """Declare an event in ``EVENTS``; ``doc`` says what it means and what to do."""
    return EVENTS.add(LogEvent(number=number, name=name, level=level, text=text, doc=doc))
