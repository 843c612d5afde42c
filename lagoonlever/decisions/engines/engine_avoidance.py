"""Which engines are passed over for a while, because they failed of late.

The load pattern: the engines of a data centre crash together, and each of their streams
looks for another place at once. An engine that has just failed looks idle and would get
them all again; one that is passed over for good would be missed when it is back, which
takes some seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

FIRST_AVOID_S = 1.0
MOST_AVOID_S = 8.0
"""How long an engine is passed over after it failed; doubled each time, up to this."""
LOSSES_WINDOW_S = 15.0
"""In which losses are counted: two crashes of data centres, where those come often."""
BROKE_AGAIN_S = 2.0
"""Two broken answers within this time are no accident."""


@attrs.define(kw_only=True)
class _Avoided:
    until: float
    for_s: float


@attrs.define(kw_only=True)
class EngineAvoidance:
    """Remembers failures by engine; times are seconds of the monotonic clock."""

    _avoided: dict[str, _Avoided] = attrs.field(factory=dict)
    _broke_at: dict[str, float] = attrs.field(factory=dict)
    _failed_at: deque[float] = attrs.field(factory=deque)

    def losses(self, now: float) -> int:
        """Give how many engines failed within ``LOSSES_WINDOW_S``."""
        while self._failed_at and now - self._failed_at[0] > LOSSES_WINDOW_S:
            self._failed_at.popleft()
        return len(self._failed_at)

    def is_avoided(self, engine: str, now: float) -> bool:
        """Tell whether an engine is passed over now."""
        avoided = self._avoided.get(engine)
        return avoided is not None and now < avoided.until

    def failed(self, engine: str, now: float) -> None:
        """Pass an engine over for a while, longer each time it fails again."""
        known = self._avoided.get(engine)
        if known is not None and now < known.until:
            return
        self._failed_at.append(now)
        for_s = min(MOST_AVOID_S, known.for_s * 2) if known else FIRST_AVOID_S
        self._avoided[engine] = _Avoided(until=now + for_s, for_s=for_s)

    def broke(self, engine: str, now: float) -> None:
        """Note a broken answer of an engine that lives; one that goes on so is passed over."""
        last = self._broke_at.get(engine)
        self._broke_at[engine] = now
        if last is not None and now - last < BROKE_AGAIN_S:
            self.failed(engine, now)

    def served(self, engine: str) -> None:
        """Note that an engine works: it is passed over no longer."""
        self._avoided.pop(engine, None)

    def started_again(self, engine: str) -> None:
        """Note that another process has an engine's id: it has not failed yet."""
        self._avoided.pop(engine, None)
        self._broke_at.pop(engine, None)

    def expire(self, now: float) -> None:
        """Forget failures that say nothing any more."""
        self.losses(now)
        for engine, avoided in list(self._avoided.items()):
            if now - avoided.until > MOST_AVOID_S:
                del self._avoided[engine]
        for engine, at in list(self._broke_at.items()):
            if now - at > MOST_AVOID_S:
                del self._broke_at[engine]
