"""Timings of one engine relative to its service, from its last few runs.

Engines of a service differ in speed by a factor of more than two, and each has short slow periods
of its own. A mean over prefills would rate a fast engine with one slow period as an average one; a
median over a few samples does not. Decoding an answer takes seconds and spans many such periods,
so the time of a token in decode tells more than that of a token in prefill, and is preferred.
"""

from __future__ import annotations

import statistics
from collections import deque

import attrs

MAX_SAMPLES = 5
"""Number of the last prefills, and of the last answers, whose timings are kept."""
FRESH_S = 60.0
"""Age up to which a run counts for its engine's speed.

It is long, because an engine that is known to be slow gets few runs.
"""

_Samples = deque[tuple[float, float]]


def _new_samples() -> _Samples:
    return deque(maxlen=MAX_SAMPLES)


@attrs.define(kw_only=True)
class RecentTimings:
    """Seconds per token in the last runs of one engine; times are of the monotonic clock."""

    _prefills: _Samples = attrs.field(factory=_new_samples)
    """Time and seconds per prompt token of the last prefills."""
    _decodes: _Samples = attrs.field(factory=_new_samples)
    """Time and seconds per answer token of the last answers."""

    def add_prefill(self, token_s: float, now: float) -> None:
        """Record the seconds per token of a prefill."""
        self._prefills.append((now, token_s))

    def add_decode(self, token_s: float, now: float) -> None:
        """Record the seconds per token of an answer."""
        self._decodes.append((now, token_s))

    def is_fresh(self, now: float) -> bool:
        """Check whether any sample is younger than ``FRESH_S``."""
        return any(_fresh(samples, now) for samples in (self._prefills, self._decodes))

    def relative_time(self, *, prefill_s: float, decode_s: float, now: float) -> float:
        """Return the ratio of the engine's time per token to its service's, or 0 if unknown.

        ``prefill_s`` and ``decode_s`` are the service's seconds per prompt and answer token.
        """
        return _median_ratio(self._decodes, decode_s, now) or _median_ratio(
            self._prefills, prefill_s, now
        )


def _fresh(samples: _Samples, now: float) -> list[float]:
    return [token_s for at, token_s in samples if now - at <= FRESH_S]


def _median_ratio(samples: _Samples, usual_s: float, now: float) -> float:
    """Return the median of the samples and the usual value, over the usual one; 0 if none."""
    fresh = _fresh(samples, now)
    return statistics.median([*fresh, usual_s]) / usual_s if fresh else 0.0
