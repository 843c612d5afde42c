"""Whether a run's memory is safe at a second engine, and when it is copied again.

The load that is answered: all engines of a data centre crash together every few
seconds, and a stream lives as long as that. A copy that an engine makes while the run
goes on (a growing copy) is lost with its holder, and the next crash then costs the
whole prompt: a second of reading and a pause beyond what callers allow. So a run whose
holder is lost or leaves is copied once more, by a call, and that copy is refreshed
before it lapses.
"""

from __future__ import annotations

import enum

import attrs

CHECK_S = 0.2
"""How often a run's copy is looked at."""
REFRESH_SHARE = 0.4
"""Of the time that an engine keeps a copy nobody uses: two refreshes may fail."""
RETRY_S = 0.5
"""After a copy that failed: the engine had no room, or a copy was being made."""


class CopyKind(enum.Enum):
    """How a copy came to be."""

    NONE = "none"
    GROWING = "growing"
    """The engine keeps it up to date by itself."""
    CALLED = "called"
    """Made by a call; as old as that."""


LAST_COPY_S = 0.6
"""Before the run's engine leaves: one call may fail and be tried again."""


@attrs.define(kw_only=True)
class CopyKeeping:
    """The copy of one run; times are seconds of the monotonic clock."""

    _kept_s: float
    """How long an engine keeps a called copy."""
    kind: CopyKind = CopyKind.NONE
    holder: str | None = None
    _made_at: float = float("-inf")
    _retry_at: float = float("-inf")
    _leaves_at: float = float("inf")

    def growing(self, holder: str | None) -> None:
        """Note that a new attempt has its engine copy the run to a holder."""
        self.kind = CopyKind.GROWING if holder else CopyKind.NONE
        self.holder = holder

    def due(self, now: float, *, holder_usable: bool) -> bool:
        """Tell whether the run is to be copied by a call now."""
        if now < self._retry_at:
            return False
        if self.kind is CopyKind.NONE or not holder_usable:
            return True
        if self.kind is not CopyKind.CALLED:
            return False
        last_at = self._leaves_at - LAST_COPY_S
        stale = now - self._made_at >= REFRESH_SHARE * self._kept_s
        return stale or self._made_at < last_at <= now

    def engine_leaves(self, at: float) -> None:
        """Note when the run's own engine leaves: the copy has to be fresh by then."""
        self._leaves_at = at

    def called(self, holder: str, now: float) -> None:
        """Note that a call has copied the run."""
        self.kind = CopyKind.CALLED
        self.holder = holder
        self._made_at = now

    def failed(self, now: float) -> None:
        """Note that a call has not copied it."""
        self._retry_at = now + RETRY_S
