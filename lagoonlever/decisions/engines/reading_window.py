"""How many prompts the engines of a service were given of late, by all VMs."""

from __future__ import annotations

from collections import deque

import attrs

from lagoonlever.decisions.admission.prompt_admission import WINDOW_S, PrefillLoad


@attrs.define(kw_only=True)
class _ServiceWindow:
    prompts: deque[tuple[float, int]] = attrs.field(factory=deque)
    """When each was given, and its tokens."""
    engines: deque[tuple[float, int]] = attrs.field(factory=deque)
    """How many there were, whenever it was asked."""

    def forget(self, now: float) -> None:
        for kept in (self.prompts, self.engines):
            while kept and now - kept[0][0] > WINDOW_S:
                kept.popleft()


@attrs.define(kw_only=True)
class ReadingWindow:
    """Counts by service over a sliding window; times are seconds of the monotonic clock."""

    _services: dict[str, _ServiceWindow] = attrs.field(factory=dict)

    def given(self, service: str, *, tokens: int, now: float) -> None:
        """Note a prompt that an engine was given to read."""
        window = self._window(service)
        window.prompts.append((now, tokens))
        window.forget(now)

    def load(self, service: str, *, engines: int, token_s: float, now: float) -> PrefillLoad:
        """Give the load, with so many engines there now and so long for a token of a prompt.

        The most engines within the window count: those of a data centre that crashes are
        back in a quarter of it, and took part in the reading for most of it.
        """
        window = self._window(service)
        window.engines.append((now, engines))
        window.forget(now)
        most_engines = max(1, *(count for _, count in window.engines))
        tokens = sum(each for _, each in window.prompts)
        share = tokens * token_s / (WINDOW_S * most_engines)
        return PrefillLoad(prompts=len(window.prompts), share=share)

    def _window(self, service: str) -> _ServiceWindow:
        if service not in self._services:
            self._services[service] = _ServiceWindow()
        return self._services[service]
