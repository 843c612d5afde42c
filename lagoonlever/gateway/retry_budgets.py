"""The windows of attempts beyond the first, one a service."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.retry_window import RetryWindow
from lagoonlever.gateway.settings import RetryBudgetBounds


@attrs.define(kw_only=True, eq=False)
class RetryBudgets:
    """Gives each service its window, by the bounds of the settings."""

    _bounds: RetryBudgetBounds
    _windows: dict[str, RetryWindow] = attrs.field(factory=dict)

    def rebound(self, bounds: RetryBudgetBounds) -> None:
        """Take other bounds; what was counted by the former ones is forgotten."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._windows.clear()

    def of_service(self, service: str) -> RetryWindow:
        """Give the window of a service."""
        if service not in self._windows:
            self._windows[service] = RetryWindow(
                ratio=self._bounds.ratio,
                window_s=self._bounds.window_s,
                slack=self._bounds.slack,
            )
        return self._windows[service]
