"""The prompts that all VMs sent to the engines of a service within a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

from lagoonlever.decisions.admission.prompt_admission import WINDOW_S, PrefillLoad


@attrs.define(kw_only=True)
class _Prompt:
    request: str
    sent_at: float
    tokens: float
    """What its engine reads of it, at most."""


@attrs.define(kw_only=True)
class _ServiceWindow:
    prompts: deque[_Prompt] = attrs.field(factory=deque)
    engines: deque[tuple[float, int]] = attrs.field(factory=deque)
    """Number of engines at each time that the load was computed."""

    def expire(self, now: float) -> list[_Prompt]:
        """Remove what is older than the window; return the prompts of it."""
        while self.engines and now - self.engines[0][0] > WINDOW_S:
            self.engines.popleft()
        gone = []
        while self.prompts and now - self.prompts[0].sent_at > WINDOW_S:
            gone.append(self.prompts.popleft())
        return gone


@attrs.define(kw_only=True)
class PrefillWindow:
    """Prompts by service over a sliding window; times are seconds of the monotonic clock."""

    _services: dict[str, _ServiceWindow] = attrs.field(factory=dict)
    _unread: dict[str, _Prompt] = attrs.field(factory=dict)
    """The prompts that engines have not read yet, by request."""

    def record_prompt(
        self, service: str, *, request: str, tokens: int, token_s: float, now: float
    ) -> None:
        """Record a prompt that was sent to an engine for prefill.

        A former engine of the request reads no more of it, and has read at most what it could
        in the time between, at ``token_s`` seconds per token.
        """
        self._leave(request, token_s=token_s, now=now)
        prompt = _Prompt(request=request, sent_at=now, tokens=tokens)
        window = self._window(service)
        window.prompts.append(prompt)
        self._unread[request] = prompt
        self._expire(window, now)

    def record_read(self, request: str) -> None:
        """Record that an engine has read the whole prompt of a request."""
        self._unread.pop(request, None)

    def load(self, service: str, *, engines: int, token_s: float, now: float) -> PrefillLoad:
        """Return the prefill load of a service.

        ``engines`` is the present number of its engines, ``token_s`` the seconds per prompt
        token. The largest number of engines within the window counts: the engines of a data
        centre that crashes are back within a quarter of it, and worked for most of it.
        """
        window = self._window(service)
        window.engines.append((now, engines))
        self._expire(window, now)
        max_engines = max(1, *(count for _, count in window.engines))
        tokens = sum(each.tokens for each in window.prompts)
        share = tokens * token_s / (WINDOW_S * max_engines)
        return PrefillLoad(prompts=len(window.prompts), share=share)

    def _leave(self, request: str, *, token_s: float, now: float) -> None:
        prompt = self._unread.pop(request, None)
        if prompt is not None and token_s > 0:
            prompt.tokens = min(prompt.tokens, (now - prompt.sent_at) / token_s)

    def _expire(self, window: _ServiceWindow, now: float) -> None:
        for gone in window.expire(now):
            if self._unread.get(gone.request) is gone:
                del self._unread[gone.request]

    def _window(self, service: str) -> _ServiceWindow:
        if service not in self._services:
            self._services[service] = _ServiceWindow()
        return self._services[service]
