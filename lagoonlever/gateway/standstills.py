"""When this process stood still, so that what it waited for seems to have taken longer than it did.

A process that was suspended, or had no processor, finds each answer late at its next turn. That
says nothing of the target that gave it.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator

import attrs

from lagoonlever.timers import Tick, TimerService

LOOK_PERIOD_S = 0.1
STANDSTILL_S = 0.15
"""So much later than planned a turn comes after a standstill; a busy process is late by less."""
MAX_STANDSTILLS = 64
"""Upper bound of those that are remembered."""


@attrs.frozen(kw_only=True)
class _Standstill:
    """Times in seconds of the monotonic clock."""

    seconds: float
    ended_at: float


@attrs.define(kw_only=True, eq=False)
class Standstills:
    """Remembers the last standstills; times are seconds of the monotonic clock."""

    _timers: TimerService
    _looked_at: float | None = None
    _known: deque[_Standstill] = attrs.field(factory=lambda: deque(maxlen=MAX_STANDSTILLS))

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Look at the clock all the while."""
        with self._timers.subscribed(self._on_tick, period_s=LOOK_PERIOD_S):
            yield

    def seconds_since(self, began: float) -> float:
        """Return for how long the process has stood still since a moment."""
        self._look(self._timers.now)
        return sum(
            min(each.seconds, each.ended_at - began)
            for each in self._known
            if each.ended_at > began
        )

    def _on_tick(self, tick: Tick) -> None:
        self._look(tick.now)

    def _look(self, now: float) -> None:
        looked_at, self._looked_at = self._looked_at, now
        if looked_at is None:
            return
        late_s = now - looked_at - LOOK_PERIOD_S
        if late_s > STANDSTILL_S:
            self._known.append(_Standstill(seconds=late_s, ended_at=now))
