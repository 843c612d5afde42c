"""What an engine's tokens tell about its spacing: mean, deviation, recent peak, slowness."""

from __future__ import annotations

import attrs

MEAN_WEIGHT = 1 / 64
"""Weight of one step of the engine in the mean and the deviation."""
FAST_WEIGHT = 1 / 4
"""Weight of one step in the spacing of now, which tells a slow engine."""
USUAL_WEIGHT = 1 / 512
"""Weight of one step in the usual spacing that slowness is told against."""
PEAK_LOST = 1 / 6_000
"""Share of the recent peak that is forgotten a step: it halves in about 4,000 steps."""
LEARNT_AFTER = 32.0
"""Steps after which the figures are used."""


@attrs.define(kw_only=True)
class Spacing:
    """Running figures over the gaps between an engine's tokens, in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    peak_s: float = 0.0
    fast_s: float = 0.0
    usual_s: float = 0.0
    steps: float = 0.0

    @property
    def learnt(self) -> bool:
        """Whether enough steps were seen to judge by them."""
        return self.steps >= LEARNT_AFTER

    def observe(self, gap_s: float, *, streams: int, slow: bool) -> None:
        """Take one gap of one of ``streams`` streams, which together make a step.

        The usual spacing learns nothing while the engine is slow: otherwise a
        slow engine would soon be the usual one.
        """
        share = 1 / streams
        self.steps += share
        if not self.usual_s:
            self.mean_s = self.fast_s = self.usual_s = self.peak_s = gap_s
            return
        error = gap_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * share * error
        self.deviation_s += MEAN_WEIGHT * share * (abs(error) - self.deviation_s)
        self.peak_s = max(self.peak_s * (1 - PEAK_LOST * share), gap_s)
        self.fast_s += FAST_WEIGHT * share * (gap_s - self.fast_s)
        if not slow:
            self.usual_s += USUAL_WEIGHT * share * (gap_s - self.usual_s)

    def forget_slowness(self) -> None:
        """Take the engine for as fast as usual: it may have recovered while it was left."""
        self.fast_s = self.usual_s


@attrs.define(kw_only=True)
class Prefill:
    """How an engine's first tokens compare with the time expected for them."""

    ratio_peak: float = 0.0
    observed: int = 0

    def observe(self, *, delay_s: float, expected_s: float) -> None:
        """Take the delay of one first token and the time that was expected for it."""
        self.observed += 1
        ratio = delay_s / max(expected_s, 1e-6)
        self.ratio_peak = max(self.ratio_peak * 0.98, ratio)
