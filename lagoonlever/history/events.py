"""What was seen in a run, as typed events; one registry, and one module a part.

A part adds its events in ``history/events_<part>.py`` by decorating a subclass
of ``HistoryEvent`` with ``HISTORY.message``; ``load_events`` imports them all.
"""

from __future__ import annotations

import importlib
import pkgutil

import attrs

from lagoonlever import history
from lagoonlever.codec import MessageRegistry

HISTORY = MessageRegistry()
EVENT_MODULES = "events_"


@attrs.frozen(kw_only=True)
class HistoryEvent:
    """Base of all events: when (monotonic seconds of the machine) and in which process."""

    at: float
    process: str


def load_events() -> None:
    """Import every module of events, so that histories of all parts can be read."""
    for module in pkgutil.iter_modules(history.__path__):
        if module.name.startswith(EVENT_MODULES):
            importlib.import_module(f"{history.__name__}.{module.name}")


@HISTORY.message("run-ended")
@attrs.frozen(kw_only=True)
class RunEnded(HistoryEvent):
    """The run is over: whatever has not happened by now never will."""
