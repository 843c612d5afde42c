"""The windows of attempts beyond the first, one a service for calls and one for runs."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.gateway.settings import RetryBudgetBounds


@attrs.define(kw_only=True, eq=False)
class RetryBudgets:
    """Holds the window of each service, by the bounds of the settings."""

    _bounds: RetryBudgetBounds
    _calls: dict[str, RetryWindow] = attrs.field(factory=dict)
    _runs: dict[str, RetryWindow] = attrs.field(factory=dict)

    def rebound(self, bounds: RetryBudgetBounds) -> None:
        """Take other bounds; what was counted by the former ones is forgotten."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._calls.clear()
            self._runs.clear()

    def of_calls(self, service: str) -> RetryWindow:
        """Return the window of this VM's calls to a service."""
        return self._window(self._calls, service)

    def of_runs(self, service: str) -> RetryWindow:
        """Return the window of all VMs' runs at the engines of a service."""
        return self._window(self._runs, service)

    def _window(self, windows: dict[str, RetryWindow], service: str) -> RetryWindow:
        if service not in windows:
            windows[service] = RetryWindow(
                ratio=self._bounds.ratio,
                window_s=self._bounds.window_s,
                slack=self._bounds.slack,
            )
        return windows[service]
