"""The prompts that all VMs sent to the engines of a service within a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

from lagoonlever.decisions.admission.prompt_admission import WINDOW_S, PrefillLoad


@attrs.define(kw_only=True)
class _ServiceWindow:
    prompts: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Time at which each prompt was sent to an engine, and its tokens."""
    engines: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Number of engines at each time that the load was computed."""

    def expire(self, now: float) -> None:
        for entries in (self.prompts, self.engines):
            while entries and now - entries[0][0] > WINDOW_S:
                entries.popleft()


@attrs.define(kw_only=True)
class PrefillWindow:
    """Prompts by service over a sliding window; times are seconds of the monotonic clock."""

    _services: dict[str, _ServiceWindow] = attrs.field(factory=dict)

    def record_prompt(self, service: str, *, tokens: int, now: float) -> None:
        """Record a prompt that was sent to an engine for prefill."""
        window = self._window(service)
        window.prompts.append((now, tokens))
        window.expire(now)

    def load(self, service: str, *, engines: int, token_s: float, now: float) -> PrefillLoad:
        """Return the prefill load of a service.

        ``engines`` is the present number of its engines, ``token_s`` the seconds per prompt
        token. The largest number of engines within the window counts: the engines of a data
        centre that crashes are back within a quarter of it, and worked for most of it.
        """
        window = self._window(service)
        window.engines.append((now, engines))
        window.expire(now)
        max_engines = max(1, *(count for _, count in window.engines))
        tokens = sum(each for _, each in window.prompts)
        share = tokens * token_s / (WINDOW_S * max_engines)
        return PrefillLoad(prompts=len(window.prompts), share=share)

    def _window(self, service: str) -> _ServiceWindow:
        if service not in self._services:
            self._services[service] = _ServiceWindow()
        return self._services[service]
