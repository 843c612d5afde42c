"""Whether engines of one data centre are being lost together.

The load that is answered: a data centre's engines go dark at once, and each attempt
there would wait for its own silence to grow long. An attempt that has given no event
yet is silent anyway, so its loss shows last of all, when its caller's time is nearly
over. Two losses in one data centre within a moment are a reason to ask all its engines
that work for this VM; those that live answer in milliseconds.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

TOGETHER_S = 0.5
"""Engines that are lost within this time are lost together."""


@attrs.define(kw_only=True)
class CorrelatedLoss:
    """Remembers the last loss in each data centre; times are monotonic seconds."""

    _last: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    @MECHANISMS.register(
        "correlated-loss",
        does="two engines of a data centre lost at once have all of them asked",
        without="each silence is judged by itself",
        plain=gives(False),
    )
    def lost(self, engine: str, data_center: str, now: float) -> bool:
        """Note a loss; gives True where another engine of the data centre was just lost."""
        former = self._last.get(data_center)
        self._last[data_center] = (engine, now)
        if former is None:
            return False
        other, at = former
        return other != engine and now - at <= TOGETHER_S
