"""What a VM that was told to stop may still begin.

The directory names a VM no more as soon as it stops, but callers keep its address for some
lifetimes of an answer, and for longer while no VM names any, as when all VMs of a small fleet are
restarted within seconds. So requests come until the process ends. One that is begun and can't end
by then is cut midway, though its caller could have been told at once to come back.

While callers still learn of the stop, a stream that may be resumed is begun all the same: its
caller has events at once, and goes on with them elsewhere after the end. Turned away, many callers
would spend their one return on another VM that stops as well.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

ELSEWHERE_S = 0.05
"""When a caller may come back if other VMs serve: at once, but not all in the same instant."""
RESTART_S = 0.8
"""From the end of a process until the one that follows it serves."""
LEARN_S = 2.8
"""After the order to stop, how long callers may still use addresses that were told before it."""


@attrs.define(kw_only=True)
class Departure:
    """When this VM ends, once it was told to stop; times are monotonic seconds."""

    _ends_at: float | None = None
    _lasts_s: float = 0.0

    def begin(self, now: float, *, lasts_s: float) -> None:
        """Record that the process closes within ``lasts_s`` whatever is still open."""
        self._ends_at = now + lasts_s
        self._lasts_s = lasts_s

    def can_begin_stream(self, now: float, *, seconds: float, resumable: bool) -> bool:
        """Check whether to begin a stream that is expected to take so many seconds at most."""
        if not self.is_over_by(now + seconds):
            return True
        assert self._ends_at is not None
        return resumable and now < self._ends_at - self._lasts_s + LEARN_S

    def is_over_by(self, at: float) -> bool:
        """Check whether the process may have ended at a time."""
        return self._ends_at is not None and at > self._ends_at

    def retry_after_s(
        self, now: float, *, others_serve: bool, others_left_at: Iterable[float] = ()
    ) -> float:
        """Return the seconds after which a caller that is turned away should come back.

        Where no VM serves, that is when the first one is back. ``others_left_at`` are the times
        at which other VMs were told to stop.
        """
        if self._ends_at is None or others_serve:
            return ELSEWHERE_S
        first_ends_at = min([self._ends_at, *(at + self._lasts_s for at in others_left_at)])
        return max(0.0, first_ends_at - now) + RESTART_S
