"""The budget of false suspicions: what hedges may cost while no engine dies."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.suspicion_settings import DetectionSettings


@attrs.define(kw_only=True)
class HedgeBudget:
    """Engine tokens that hedges may still cost; served tokens earn a share of themselves.

    A hedge of an engine that proved dead is paid back: it was resumed work and no
    waste. So true deaths never use up the budget, and false suspicions together
    cost at most the share that settings allow, and one burst.
    """

    _settings: DetectionSettings
    _left_tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._left_tokens = self._settings.hedge_burst_tokens

    @property
    def left_tokens(self) -> float:
        """What may be spent now, in engine tokens."""
        return self._left_tokens

    def served(self, tokens: int) -> None:
        """Earn by tokens that engines computed for callers."""
        earned = self._left_tokens + tokens * self._settings.hedge_budget
        self._left_tokens = min(earned, self._settings.hedge_burst_tokens)

    def try_spend(self, tokens: int) -> bool:
        """Pay for one hedge; False when the budget doesn't hold it."""
        if tokens > self._left_tokens:
            return False
        self._left_tokens -= tokens
        return True

    def pay_back(self, tokens: int) -> None:
        """Return what a hedge cost whose engine proved dead."""
        back = self._left_tokens + tokens
        self._left_tokens = min(back, self._settings.hedge_burst_tokens)
