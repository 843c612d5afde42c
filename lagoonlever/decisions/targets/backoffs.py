"""Targets that rejected a request and requested a back-off, and until when it lasts.

A target rejects some of the requests that arrive and serves the rest. If it was avoided only by
its recorded failures, it would be tried again within half a second, and each request that it
serves then would bring further ones, during the time in which it accepts none.
"""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class BackoffTargets:
    """Until when each target accepts no requests from this VM; times in monotonic seconds."""

    _until: dict[str, float] = attrs.field(factory=dict)

    def record(self, target: str, backoff_s: float, now: float) -> None:
        """Record a back-off that a target requested; a longer one from before stays."""
        self._until[target] = max(now + backoff_s, self._until.get(target, now))

    def remaining_s(self, target: str, now: float) -> float:
        """Return the seconds until a target's back-off ends; 0 if there is none."""
        return max(0.0, self._until.get(target, now) - now)

    def forget(self, target: str) -> None:
        """Remove the back-off of a target that has restarted as another process."""
        self._until.pop(target, None)

    def expire(self, now: float) -> None:
        """Remove back-offs that have ended."""
        for target in [t for t, until in self._until.items() if now >= until]:
            del self._until[target]
