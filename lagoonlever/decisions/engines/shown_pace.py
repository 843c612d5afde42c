"""How fast one engine is beside its service, by what it showed in its last few runs.

The load that is answered: engines of a service differ by more than two, and each is slow for
moments of its own. A mean of readings takes a fast engine with one slow moment for a middling
one; a median of a few does not. Making an answer takes seconds and spans many moments, so
the pace of tokens tells more than that of a reading, and goes first.
"""

from __future__ import annotations

import statistics
from collections import deque

import attrs

MOST_SHOWN = 5
FRESH_S = 60.0
"""For so long a run tells how fast its engine is; one that is known as slow gets few runs."""

_Seen = deque[tuple[float, float]]


def _few() -> _Seen:
    return deque(maxlen=MOST_SHOWN)


@attrs.define(kw_only=True)
class ShownPace:
    """Seconds a token of the last runs of one engine; times are of the monotonic clock."""

    _readings: _Seen = attrs.field(factory=_few)
    _makings: _Seen = attrs.field(factory=_few)

    def read(self, token_s: float, now: float) -> None:
        """Note what a token of a prompt took."""
        self._readings.append((now, token_s))

    def made(self, token_s: float, now: float) -> None:
        """Note what a token of an answer took."""
        self._makings.append((now, token_s))

    def is_fresh(self, now: float) -> bool:
        """Tell whether it has shown anything of late."""
        return any(_fresh(seen, now) for seen in (self._readings, self._makings))

    def relative(self, *, reading_s: float, making_s: float, now: float) -> float:
        """Give how many times as long it takes as its service, whose figures are given."""
        return _beside(self._makings, making_s, now) or _beside(self._readings, reading_s, now)


def _fresh(seen: _Seen, now: float) -> list[float]:
    return [figure for at, figure in seen if now - at <= FRESH_S]


def _beside(seen: _Seen, usual: float, now: float) -> float:
    """Give the median, with what is usual as one of the figures; 0 where there are none."""
    fresh = _fresh(seen, now)
    return statistics.median([*fresh, usual]) / usual if fresh else 0.0
