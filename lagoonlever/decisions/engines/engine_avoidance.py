"""Temporary avoidance of engines that failed recently.

The engines of a data centre crash together, and every stream that they served looks for another
engine at once. An engine that has just failed appears idle and would attract all of them again.
It must not be excluded for good either, as it usually returns within some seconds. So an engine
is avoided for a time that doubles with each further failure.
"""

from __future__ import annotations

from collections import deque

import attrs

INITIAL_AVOID_S = 1.0
"""How long an engine is avoided after its first failure; the time doubles with each further one."""
MAX_AVOID_S = 8.0
"""Upper bound of the time for which a failed engine is avoided."""
LOSSES_WINDOW_S = 15.0
"""Window in which lost engines are counted.

It spans two crashes of data centres where these come often.
"""
BROKEN_ANSWERS_WINDOW_S = 2.0
"""Two broken answers of an engine within this time count as a failure, not as an accident."""


@attrs.define(kw_only=True)
class _Avoided:
    until: float
    for_s: float


@attrs.define(kw_only=True)
class EngineAvoidance:
    """Record of failures by engine; times are seconds of the monotonic clock."""

    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _broken_at: dict[str, float] = attrs.field(factory=dict)
    """Time of the last broken answer, by engine."""
    _failed_at: deque[float] = attrs.field(factory=deque)

    def count_losses(self, now: float) -> int:
        """Return how many engines failed within ``LOSSES_WINDOW_S``."""
        while self._failed_at and now - self._failed_at[0] > LOSSES_WINDOW_S:
            self._failed_at.popleft()
        return len(self._failed_at)

    def is_avoided(self, engine: str, now: float) -> bool:
        """Check whether new runs avoid an engine now."""
        avoided = self._avoided.get(engine)
        return avoided is not None and now < avoided.until

    def record_failure(self, engine: str, now: float) -> None:
        """Avoid an engine for a while, longer each time it fails again.

        A failure of an engine that is already avoided changes nothing.
        """
        known = self._avoided.get(engine)
        if known is not None and now < known.until:
            return
        self._failed_at.append(now)
        for_s = min(MAX_AVOID_S, known.for_s * 2) if known else INITIAL_AVOID_S
        self._avoided[engine] = _Avoided(until=now + for_s, for_s=for_s)

    def record_broken_answer(self, engine: str, now: float) -> None:
        """Record a broken answer of an engine that is up; a second one soon after is a failure."""
        last = self._broken_at.get(engine)
        self._broken_at[engine] = now
        if last is not None and now - last < BROKEN_ANSWERS_WINDOW_S:
            self.record_failure(engine, now)

    def record_success(self, engine: str) -> None:
        """Stop avoiding an engine that has served a run."""
        self._avoided.pop(engine, None)

    def record_restart(self, engine: str) -> None:
        """Clear the failures of an engine whose id now belongs to a new process."""
        self._avoided.pop(engine, None)
        self._broken_at.pop(engine, None)

    def expire(self, now: float) -> None:
        """Remove failures that are too old to influence a decision."""
        self.count_losses(now)
        for engine, avoided in list(self._avoided.items()):
            if now - avoided.until > MAX_AVOID_S:
                del self._avoided[engine]
        for engine, at in list(self._broken_at.items()):
            if now - at > MAX_AVOID_S:
                del self._broken_at[engine]
