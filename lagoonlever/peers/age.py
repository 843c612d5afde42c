"""Tells how old a frame is without a common clock, from the sender's monotonic time in it.

The least difference seen between the receiver's and the sender's clock stands for
a frame that came at once; how much a frame's difference exceeds it is its age.
"""

from __future__ import annotations

import attrs

DRIFT = 0.0002
"""Seconds a second that two monotonic clocks may run apart."""
NORMAL_DELAY_S = 0.5
"""A frame older than this was held up: by a cut, a pause, or a full buffer."""
REBASE_S = 5.0
"""Seconds of nothing but aged frames after which the sender's clock must have stood still."""


@attrs.define(kw_only=True)
class AgeEstimator:
    """Estimates the age of one incarnation's frames; both clocks in seconds.

    Guards against frames that wait in socket buffers while the receiver is paused
    or the link is cut, and arrive minutes later as if they were new. A sender
    whose machine was suspended has lost clock time, and all its frames look aged:
    after ``REBASE_S`` of only such frames the comparison starts anew, while a
    burst of old frames is followed by fresh ones well before that.
    """

    _least: float | None = None
    _least_at: float = 0.0
    _aged_least: float = 0.0
    _aged_since: float | None = None

    def age_s(self, *, sent_at: float, now: float) -> float:
        """Give the age of a frame that has just been read, and learn from it."""
        difference = now - sent_at
        if self._least is None:
            return self._learn(difference, now)
        expected = self._least + DRIFT * (now - self._least_at)
        age = difference - expected
        if age <= 0:
            return self._learn(difference, now)
        if age <= NORMAL_DELAY_S:
            self._aged_since = None
            return age
        return self._age_of_late(difference, age, now)

    def _learn(self, difference: float, now: float) -> float:
        self._least = difference
        self._least_at = now
        self._aged_since = None
        return 0.0

    def _age_of_late(self, difference: float, age: float, now: float) -> float:
        if self._aged_since is None:
            self._aged_since = now
            self._aged_least = difference
        self._aged_least = min(self._aged_least, difference)
        if now - self._aged_since < REBASE_S:
            return age
        least = self._aged_least
        self._learn(least, now)
        return difference - least
