"""Policy for the KV-cache copy of a run at a second engine: when it is made again on demand.

If all engines of a data centre crash together every few seconds, a stream is interrupted by several
crashes. The copy that an engine updates while the run continues (an incremental copy) is lost with
its holder, and the next crash then costs the prefill of the whole prompt: a second, and a pause
longer than callers accept. So a run whose holder is lost or leaves is copied again by a call to its
engine (an on-demand copy), and that copy is refreshed before it expires.
"""

from __future__ import annotations

import enum

import attrs

CHECK_INTERVAL_S = 0.2
"""Interval in seconds at which a run's copy is checked."""
REFRESH_SHARE_OF_RETENTION = 0.4
"""Share of an unused copy's retention time after which it is refreshed: two refreshes may fail."""
RETRY_S = 0.5
"""Seconds until a failed copy is tried again: the engine had no capacity, or a copy was being
made."""


class CopyKind(enum.Enum):
    """How a copy is made."""

    NONE = "none"
    """There is no copy."""
    GROWING = "growing"
    """Incremental: the engine keeps the copy up to date by itself."""
    CALLED = "called"
    """On demand: made by a call, and not updated after it."""


LAST_COPY_LEAD_S = 0.6
"""Time in seconds before the run's engine leaves at which a last copy is made.

It leaves time for one call to fail and be retried.
"""


@attrs.define(kw_only=True)
class CopyPolicy:
    """State of the copy of one run; points in time are seconds of the monotonic clock."""

    _retention_s: float
    """How long an engine retains an on-demand copy, in seconds."""
    kind: CopyKind = CopyKind.NONE
    holder: str | None = None
    _made_at: float = float("-inf")
    _retry_at: float = float("-inf")
    _leaves_at: float = float("inf")

    def record_incremental_copy(self, holder: str | None) -> None:
        """Record a new attempt whose engine copies the run to ``holder``; None for no copy."""
        self.kind = CopyKind.GROWING if holder else CopyKind.NONE
        self.holder = holder

    def is_copy_due(self, now: float, *, holder_usable: bool) -> bool:
        """Check whether an on-demand copy of the run is due.

        ``holder_usable`` is false if the holder of the present copy is lost or leaves.
        """
        if now < self._retry_at:
            return False
        if self.kind is CopyKind.NONE or not holder_usable:
            return True
        if self.kind is not CopyKind.CALLED:
            return False
        last_at = self._leaves_at - LAST_COPY_LEAD_S
        stale = now - self._made_at >= REFRESH_SHARE_OF_RETENTION * self._retention_s
        return stale or self._made_at < last_at <= now

    def set_engine_departure(self, at: float) -> None:
        """Record when the run's own engine leaves, so that a last copy is made before that."""
        self._leaves_at = at

    def record_copy(self, holder: str, now: float) -> None:
        """Record an on-demand copy that succeeded."""
        self.kind = CopyKind.CALLED
        self.holder = holder
        self._made_at = now

    def record_failure(self, now: float) -> None:
        """Record an on-demand copy that failed, and delay the next one."""
        self._retry_at = now + RETRY_S
