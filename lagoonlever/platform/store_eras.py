"""How often the platform's store has come back from an older copy, by what its answers say."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from lagoonlever.http.messages import Headers, whole_number
from lagoonlever.store.events import PLATFORM_ERA_UNKNOWN, PLATFORM_RESTORED

log = logbook.Logger(__name__)

ERA = "Store-Era"
"""Of every answer: a whole number that rises by one each time."""


class StoreEras:
    """Reads the era of each answer, and tells when it has risen."""

    def __init__(self, *, on_restored: Callable[[], None]) -> None:
        self._on_restored = on_restored
        self._newest: int | None = None
        self._problem: str | None = None
        """Why the last answer told no era."""

    @property
    def newest(self) -> int:
        """The highest era that an answer told; 0 before the first."""
        return self._newest or 0

    def read(self, headers: Headers) -> int:
        """Give the era of an answer; one that tells none is taken to be of the newest."""
        era = self._read(headers.get(ERA))
        if era is None:
            return self.newest
        if self._newest is not None and era > self._newest:
            PLATFORM_RESTORED.log(log, era=era, former=self._newest)
            self._newest = era
            self._on_restored()
        self._newest = max(era, self.newest)
        return era

    def _read(self, text: str | None) -> int | None:
        """Read the field; what it tells no era by is logged once until it changes."""
        problem, number = None, whole_number(text)
        if text is None:
            problem = "it is missing"
        elif number is None:
            problem = f"{text[:40]!r} is no number"
        if problem is not None and problem != self._problem:
            PLATFORM_ERA_UNKNOWN.log(log, problem=problem, era=self.newest)
        self._problem = problem
        return number
