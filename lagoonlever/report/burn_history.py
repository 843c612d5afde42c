"""Tallies of good and bad events out of recorded histories."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_objectives import ObjectiveCounted
from lagoonlever.report.burn import SeriesKey, Tally


def tallies_of_history(events: Iterable[HistoryEvent]) -> Iterator[Tally]:
    """Give the tally of each event that counted towards an objective."""
    for event in events:
        if not isinstance(event, ObjectiveCounted):
            continue
        key = SeriesKey(organisation=event.organisation, objective=event.objective)
        yield Tally(at=event.at, key=key, good=int(event.good), bad=int(not event.good))
