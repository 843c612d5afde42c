"""The budget of false suspicions: what hedges may cost while no engine dies."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.suspicion.settings import DetectionSettings

REFUND_AFTER_FACTOR = 2.0
"""An engine silent for so many times ``dead_at_most_s`` after a hedge has proved dead."""


@attrs.define(kw_only=True)
class _Unsettled:
    tokens: float
    since: float


@attrs.define(kw_only=True)
class HedgeBudget:
    """Engine tokens that hedges may still cost; served tokens earn a share of themselves.

    What a hedge costs is paid back if its engine stays silent: it was resumed
    work and no waste. So true deaths never use up the budget, and false
    suspicions together cost at most the share that settings allow, and one
    burst. An engine that moves again within the time was suspected falsely.
    """

    _settings: DetectionSettings
    _left_tokens: float = attrs.field(init=False)
    _unsettled: dict[str, _Unsettled] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._left_tokens = self._settings.hedge_burst_tokens

    @property
    def remaining_tokens(self) -> float:
        """What may be spent now, in engine tokens."""
        return self._left_tokens

    def try_spend(self, *, engine: str, tokens: int, now: float) -> bool:
        """Pay for one hedge of a stream of ``engine``; False when the budget doesn't hold it."""
        if tokens > self._left_tokens:
            return False
        self._left_tokens -= tokens
        unsettled = self._unsettled.setdefault(engine, _Unsettled(tokens=0.0, since=now))
        unsettled.tokens += tokens
        unsettled.since = now
        return True

    def record_served(self, *, engine: str, tokens: int) -> None:
        """Take that an engine gave tokens: they earn, and prove that it lives."""
        self._unsettled.pop(engine, None)
        self._earn(tokens * self._settings.hedge_budget)

    def refund_dead_engines(self, now: float) -> None:
        """Pay back the hedges of engines that have stayed silent since."""
        proved_s = REFUND_AFTER_FACTOR * self._settings.dead_at_most_s
        for engine, unsettled in list(self._unsettled.items()):
            if now - unsettled.since >= proved_s:
                del self._unsettled[engine]
                self._earn(unsettled.tokens)

    def _earn(self, tokens: float) -> None:
        self._left_tokens = min(self._left_tokens + tokens, self._settings.hedge_burst_tokens)
