"""An estimate of a figure of an engine, from observations of which a few are outliers.

Most observations are right within a few percent, and now and then one is off by a factor of
several, because a packet was lost or a process was paused. A mean over all observations would
carry such an outlier for long, and a median over a few of them needs many. So each observation is
clamped to a range around the current estimate, and then moves the estimate by a small part.
"""

from __future__ import annotations

import attrs

NEWEST_WEIGHT = 0.2
"""Weight of the newest observation: five that agree make up most of a change."""
MAX_RATIO = 2.0
"""Observations are clamped to between the estimate divided by this ratio and multiplied by it.

So an outlier moves the estimate by a fifth at most.
"""
MAX_INITIAL_RATIO = 8.0
"""The same ratio for the first observation, as the prior is only a guess."""
DERIVED_OBSERVATIONS = 4
"""Upper bound of the observations that the prior of a derived estimate counts as."""
FRESH_S = 30.0
"""Age up to which an observation counts as the engine's present behaviour."""


@attrs.define(kw_only=True)
class RobustEstimate:
    """Estimate of a positive figure in any unit; times are seconds of the monotonic clock."""

    _value: float
    """The prior, until the first observation."""
    _observed: int = 0
    """Number of observations."""
    _last_at: float = float("-inf")
    """Time of the last observation."""

    @property
    def value(self) -> float:
        """The current estimate."""
        return self._value

    @property
    def is_prior(self) -> bool:
        """Whether there has been no observation yet."""
        return self._observed == 0

    def derive(self) -> RobustEstimate:
        """Return an estimate for one member of the group that this one describes.

        It starts with the value of the group. The value counts as up to ``DERIVED_OBSERVATIONS``
        observations, so that the first one of the member does not make it an outlier.
        """
        return RobustEstimate(value=self._value, observed=min(self._observed, DERIVED_OBSERVATIONS))

    def is_fresh(self, now: float) -> bool:
        """Check whether the last observation is recent enough to describe a single engine."""
        return now - self._last_at <= FRESH_S

    def observe(self, value: float, now: float) -> None:
        """Update the estimate with an observation; one that is not positive is ignored."""
        if value <= 0.0:
            return
        ratio = MAX_RATIO if self._observed else MAX_INITIAL_RATIO
        clamped = min(self._value * ratio, max(self._value / ratio, value))
        self._observed += 1
        self._value += max(NEWEST_WEIGHT, 1.0 / self._observed) * (clamped - self._value)
        self._last_at = now
