"""Detection of engines of one data centre that are lost together.

When a data centre fails, all its engines fall silent at once, and each attempt there would wait
until its own silence is long enough to be judged. An attempt that has given no event yet is
silent anyway, so its loss is detected last, when its caller's time is nearly over. So two losses
in one data centre within a short time cause all of its engines that work for this VM to be
probed; those that are alive answer within milliseconds.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

CORRELATION_WINDOW_S = 0.5
"""Engines of one data centre that are lost within this time are taken to be lost together."""


@attrs.define(kw_only=True)
class CorrelatedLoss:
    """The last loss in each data centre; times are seconds of the monotonic clock."""

    _last: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    """Lost engine and time of the loss, by data centre."""

    @MECHANISMS.register(
        "correlated-loss",
        does="two engines lost at once in a data centre have all engines there probed",
        without="the silence of each engine is judged by itself",
        plain=gives(False),
    )
    def record_loss(self, engine: str, data_center: str, now: float) -> bool:
        """Record a loss; return True if another engine of the data centre was just lost."""
        former = self._last.get(data_center)
        self._last[data_center] = (engine, now)
        if former is None:
            return False
        other, at = former
        return other != engine and now - at <= CORRELATION_WINDOW_S
