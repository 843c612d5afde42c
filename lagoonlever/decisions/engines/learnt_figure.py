"""A figure of somebody's machines, learnt from observations of which some are odd.

The load pattern: most observations tell the truth within a few parts in a hundred, and
now and then one is several times off, as a packet was lost or a process was paused. A mean
of all would carry the odd one for long; a median of few needs many. So each observation is
held within a bound around what is known, and then moves it by a small part.
"""

from __future__ import annotations

import attrs

WEIGHT = 0.2
"""Of the newest observation: five agree before most of a change is believed."""
MOST_TIMES = 2.0
"""An observation counts for no more than this times what is known, nor for less than its
inverse: one that is odd moves the figure by a fifth at most."""
FIRST_MOST_TIMES = 8.0
"""The same for the first one, as a prior is a guess."""
LIKE_IT = 4
"""Observations that what is believed of all counts for, in the figure of one."""
FRESH_S = 30.0
"""For so long an observation tells what an engine does now."""


@attrs.define(kw_only=True)
class LearntFigure:
    """A positive figure in any unit; times are seconds of the monotonic clock."""

    _value: float
    """The prior, until something was observed."""
    _observed: int = 0
    _at: float = float("-inf")

    @property
    def value(self) -> float:
        """What is believed."""
        return self._value

    @property
    def is_prior(self) -> bool:
        """Whether nothing was observed yet."""
        return self._observed == 0

    def like_it(self) -> LearntFigure:
        """Give a figure for one of those that this one is of: it begins with what is believed.

        Its first observation counts as any other: by it alone no engine is known as odd.
        """
        return LearntFigure(value=self._value, observed=min(self._observed, LIKE_IT))

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last observation is young enough to be believed of one engine."""
        return now - self._at <= FRESH_S

    def observe(self, value: float, now: float) -> None:
        """Take an observation; one that is not positive says nothing."""
        if value <= 0.0:
            return
        times = MOST_TIMES if self._observed else FIRST_MOST_TIMES
        held = min(self._value * times, max(self._value / times, value))
        self._observed += 1
        self._value += max(WEIGHT, 1.0 / self._observed) * (held - self._value)
        self._at = now
