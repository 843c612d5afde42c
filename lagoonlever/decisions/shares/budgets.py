"""Budgets for attempts beyond the first: retries and hedges."""

from __future__ import annotations

import attrs

FULL_RATIO = 0.1
"""Extra attempts allowed for each success: amplification is at most 1.1 beside the reserve."""
LEAST_RATIO = 0.005
RATIO_CUT = 0.5
RATIO_STEP = 0.001
RESERVE_TOKENS = 10.0
"""What a quiet budget holds, so that a first failure after a calm can be hedged."""


@attrs.define(kw_only=True)
class RetryBudget:
    """A token bucket that successes fill and extra attempts empty.

    The share that a success adds is cut by half at each sign of overload and
    grows back slowly: extra attempts must not add to the load that made the
    first ones slow.
    """

    _full_ratio: float = FULL_RATIO
    _reserve: float = RESERVE_TOKENS
    _ratio: float = FULL_RATIO
    _tokens: float = RESERVE_TOKENS

    @property
    def tokens(self) -> float:
        """The extra attempts that the budget holds now."""
        return self._tokens

    @property
    def ratio(self) -> float:
        """The share of an extra attempt that each success adds now."""
        return self._ratio

    @property
    def allows(self) -> bool:
        """Whether an extra attempt may be taken now."""
        return self._tokens >= 1.0

    def on_success(self) -> None:
        """Note that an attempt was answered well."""
        self._ratio = min(self._full_ratio, self._ratio + RATIO_STEP)
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def on_overload(self) -> None:
        """Note a refusal or a timeout: a sign that there is too much load already."""
        if not self._full_ratio:
            return
        self._ratio = max(LEAST_RATIO, self._ratio * RATIO_CUT)
        self._tokens = min(self._tokens, self._reserve * self._ratio / self._full_ratio)

    @classmethod
    def of_ratio(cls, ratio: float) -> RetryBudget:
        """Give a budget of so many extra attempts for each success; 0 allows none at all."""
        reserve = RESERVE_TOKENS if ratio else 0.0
        return cls(full_ratio=ratio, ratio=ratio, reserve=reserve, tokens=reserve)

    def withdraw(self) -> None:
        """Take one extra attempt; only after ``allows``."""
        if not self.allows:
            raise ValueError("the budget holds no extra attempt")
        self._tokens -= 1.0


def take_extra(*budgets: RetryBudget) -> bool:
    """Take one extra attempt from all budgets, or from none of them."""
    if not all(budget.allows for budget in budgets):
        return False
    for budget in budgets:
        budget.withdraw()
    return True
