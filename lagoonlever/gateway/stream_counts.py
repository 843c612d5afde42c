"""Counts what an attempt of a stream says of its engine's version, while one is rolled out."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.totals import Lane
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.rollouts import Rollouts


@attrs.define(kw_only=True, eq=False)
class StreamCounts:
    """Of one attempt; times are seconds of the monotonic clock."""

    _rollouts: Rollouts
    _engine: ListedTarget
    _route: str
    _lane: Lane | None = None
    _first_at: float = 0.0
    _events: int = 0

    def sent(self, *, whole_answer: bool) -> None:
        """Count the attempt; one that goes on from elsewhere tells nothing of its first event."""
        lane = self._rollouts.sent(self._engine, self._route)
        self._lane = lane if whole_answer else None

    def first_event(self, now: float, *, sent_at: float) -> None:
        """Count how long the first event took."""
        self._first_at = now
        self._rollouts.answered(self._engine.service, self._lane, now - sent_at)

    def event(self) -> None:
        """Record an event that was passed on."""
        self._events += 1

    def whole(self, now: float) -> None:
        """Count how fast the events came, as a kind of answer of its own."""
        if self._lane is None or not self._events:
            return
        kind, phase = self._lane
        lane, seconds = (f"{kind}, pace", phase), now - self._first_at
        self._rollouts.answered(self._engine.service, lane, seconds, pieces=self._events)

    def failed(self) -> None:
        """Count an answer that broke off or failed, at an engine that lives."""
        self._rollouts.failed(self._engine.service, self._lane)
