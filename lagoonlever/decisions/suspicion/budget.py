"""Budget that limits what hedged requests may cost.

A hedge recomputes a stream on another engine while its first engine is only
suspected to be dead. If the suspicion was false, that work is wasted. The budget
bounds the waste to a share of the served tokens plus one burst, and refunds the
hedges of engines that turn out to be dead, because that work was needed anyway.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.suspicion.settings import DetectionSettings

REFUND_AFTER_FACTOR = 2.0
"""An engine that sends no token for this many times ``dead_at_most_s`` after a hedge counts as
dead: the cost of its hedges is refunded."""


@attrs.define(kw_only=True)
class _PendingCost:
    """The cost of the hedges of one engine that is not yet known to be alive or dead."""

    tokens: float
    last_spent_at: float
    """Time of the latest hedge, in seconds of the monotonic clock."""


@attrs.define(kw_only=True)
class HedgeBudget:
    """Token bucket that pays for hedges; a share of the served tokens refills it.

    The balance starts at ``hedge_burst_tokens`` and never exceeds it. The cost of
    a hedge is refunded if its engine stays silent, because the hedge then resumed
    work that was lost. So hedges of dead engines never use up the budget, and all
    false suspicions together cost at most the share ``hedge_budget`` of the served
    tokens plus one burst. An engine that sends a token again before the refund was
    suspected falsely, and the cost of its hedges stays spent.
    """

    _settings: DetectionSettings
    _remaining_tokens: float = attrs.field(init=False)
    _pending_costs: dict[str, _PendingCost] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._remaining_tokens = self._settings.hedge_burst_tokens

    @property
    def remaining_tokens(self) -> float:
        """Return the current balance, in engine tokens."""
        return self._remaining_tokens

    def try_spend(self, *, engine: str, tokens: int, now: float) -> bool:
        """Pay for a hedge of one stream of ``engine``; return False if the balance is too low.

        ``tokens`` is the number of tokens that the other engine has to compute, and
        ``now`` is in seconds of the monotonic clock.
        """
        if tokens > self._remaining_tokens:
            return False
        self._remaining_tokens -= tokens
        pending = self._pending_costs.setdefault(
            engine, _PendingCost(tokens=0.0, last_spent_at=now)
        )
        pending.tokens += tokens
        pending.last_spent_at = now
        return True

    def record_served(self, *, engine: str, tokens: int) -> None:
        """Record tokens that an engine sent, and add their share to the balance.

        They prove that the engine is alive, so its pending hedges are not refunded.
        """
        self._pending_costs.pop(engine, None)
        self._add(tokens * self._settings.hedge_budget)

    def refund_dead_engines(self, now: float) -> None:
        """Refund the hedges of engines that have sent no token since, and so count as dead."""
        refund_after_s = REFUND_AFTER_FACTOR * self._settings.dead_at_most_s
        for engine, pending in list(self._pending_costs.items()):
            if now - pending.last_spent_at >= refund_after_s:
                del self._pending_costs[engine]
                self._add(pending.tokens)

    def _add(self, tokens: float) -> None:
        """Add tokens to the balance, up to ``hedge_burst_tokens``."""
        self._remaining_tokens = min(
            self._remaining_tokens + tokens, self._settings.hedge_burst_tokens
        )
