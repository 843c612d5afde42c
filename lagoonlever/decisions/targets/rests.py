"""Targets that turned a request away and asked for rest: what this VM sends them meanwhile.

The load that is answered: a target sheds some of what arrives and serves the rest. Passed over
by its failures alone, it would be tried again within half a second, and each try that is served
would bring further requests, in the time in which it wants none.
"""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class RestingTargets:
    """Until when each target wants nothing from this VM; times in monotonic seconds."""

    _until: dict[str, float] = attrs.field(factory=dict)

    def asked(self, target: str, rest_s: float, now: float) -> None:
        """Take how long a target wants nothing; a longer rest that it asked for before stays."""
        self._until[target] = max(now + rest_s, self._until.get(target, now))

    def left_s(self, target: str, now: float) -> float:
        """Give how long a target is to rest yet; 0 where it does not."""
        return max(0.0, self._until.get(target, now) - now)

    def forget(self, target: str) -> None:
        """Drop what a target has asked for: its process is another one now."""
        self._until.pop(target, None)

    def expire(self, now: float) -> None:
        """Drop rests that are over."""
        for target in [t for t, until in self._until.items() if now >= until]:
            del self._until[target]
