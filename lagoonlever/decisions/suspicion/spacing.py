"""Running statistics of an engine's token timing, learnt from the tokens of its streams.

Engines differ in speed, and the speed of one engine varies with its load. The
detectors therefore derive their timeouts from what each engine was seen to do:
the mean, deviation and recent peak of the time between tokens, its recent and
its usual value (to detect a slow engine), and the delay of first tokens.

A step is one decode iteration of the engine, which yields one token for each
running stream. The gap of one of N streams therefore counts as 1/N step.
"""

from __future__ import annotations

import attrs

MEAN_WEIGHT = 1 / 64
"""Weight of one step in the moving averages of the spacing and of its deviation."""
RECENT_WEIGHT = 1 / 4
"""Weight of one step in the recent spacing, by which a slow engine is detected."""
USUAL_WEIGHT = 1 / 512
"""Weight of one step in the usual spacing, with which the recent spacing is compared."""
PEAK_DECAY_PER_STEP = 1 / 6_000
"""Fraction by which the recent peak decays in each step: it halves in about 4,000 steps."""
MIN_STEPS = 32.0
"""Number of steps that must have been observed before the statistics are used."""


@attrs.define(kw_only=True)
class SpacingStats:
    """Running statistics of the time between two tokens of a stream at one engine."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    """Mean absolute deviation from ``mean_s``."""
    peak_s: float = 0.0
    """Longest gap seen, which decays with each step."""
    recent_s: float = 0.0
    """Fast moving average: the spacing over the last few steps."""
    usual_s: float = 0.0
    """Slow moving average: the spacing that is normal for this engine."""
    steps: float = 0.0

    @property
    def has_enough_steps(self) -> bool:
        """Whether enough steps were observed for the statistics to be used."""
        return self.steps >= MIN_STEPS

    def observe(self, gap_s: float, *, streams: int, slow: bool) -> None:
        """Update the statistics with a gap between two tokens of one stream.

        ``streams`` is the number of streams that receive tokens from the engine;
        their gaps together make one step. While the engine is ``slow``, the usual
        spacing isn't updated: otherwise the slow speed would soon count as usual.
        """
        share = 1 / streams
        self.steps += share
        if not self.usual_s:
            self.mean_s = self.recent_s = self.usual_s = self.peak_s = gap_s
            return
        error = gap_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * share * error
        self.deviation_s += MEAN_WEIGHT * share * (abs(error) - self.deviation_s)
        self.peak_s = max(self.peak_s * (1 - PEAK_DECAY_PER_STEP * share), gap_s)
        self.recent_s += RECENT_WEIGHT * share * (gap_s - self.recent_s)
        if not slow:
            self.usual_s += USUAL_WEIGHT * share * (gap_s - self.usual_s)

    def reset_recent(self) -> None:
        """Reset the recent spacing to the usual one.

        An idle engine may have recovered from a slow phase, and without tokens the
        recent spacing can't show it.
        """
        self.recent_s = self.usual_s


@attrs.define(kw_only=True)
class PrefillStats:
    """Running statistics of an engine's first-token delays, relative to the expected ones."""

    peak_ratio: float = 0.0
    """Highest ratio of actual to expected delay, which decays by 2 % with each first token."""
    observed: int = 0
    """Number of first tokens."""

    def observe(self, *, delay_s: float, expected_s: float) -> None:
        """Update the statistics with the actual and the expected delay of a first token."""
        self.observed += 1
        ratio = delay_s / max(expected_s, 1e-6)
        self.peak_ratio = max(self.peak_ratio * 0.98, ratio)
