"""Remembers that this process was paused, for the checks that come soon after."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import attrs

from lagoonlever.timers import Tick, TimerService

DOUBT_S = 1.0
"""How long after a pause its traces are still met: old bytes in sockets, old views."""


@attrs.define(kw_only=True)
class PauseWatch:
    """Tells how long this process was paused, until ``DOUBT_S`` after it woke."""

    _timers: TimerService
    _ended_at: float | None = None
    _paused_s: float = 0.0

    @property
    def recent_pause_s(self) -> float:
        """The seconds of a pause that ended just now, or 0.

        Asks the timer service as well: after SIGCONT another task may run
        before the tick that shows the pause.
        """
        unseen_s = self._timers.pause_since_last_tick()
        if unseen_s > 0:
            return unseen_s
        if self._ended_at is None or self._timers.now - self._ended_at >= DOUBT_S:
            return 0.0
        return self._paused_s

    def arrival_of(self, now: float) -> float:
        """Give the earliest time at which a request read now can have arrived.

        What arrives at a stopped process waits in its sockets. Read after the
        process wakes, it looks new, and a bid would be sent long after its
        deadline; so its time counts from the start of the pause.
        """
        return now - self.recent_pause_s

    @contextlib.contextmanager
    def watching(self) -> Iterator[None]:
        """Watch for pauses while the block runs."""
        with self._timers.subscribed(self._on_tick, period_s=DOUBT_S):
            yield

    def _on_tick(self, tick: Tick) -> None:
        if tick.paused_s > 0:
            self._ended_at = tick.now
            self._paused_s = tick.paused_s
