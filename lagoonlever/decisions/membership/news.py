"""Which changes a member still has to pass on, and when."""

from __future__ import annotations

import attrs

REPEATS = 3
"""Times that a change also rides on pings and acks, for the neighbours that a flood missed."""
PIGGYBACK = 6
"""Changes that ride on one message."""
FLOOD_NEWS = 24
"""Changes in one flood; with the interval it bounds what a mass failure may cost."""
FLOOD_INTERVAL_S = 0.1


@attrs.frozen(kw_only=True)
class Change:
    """A change to flood; ``whole`` if the receivers may not know the life at all."""

    name: str
    whole: bool


@attrs.define(kw_only=True)
class NewsQueue:
    """Names of changed members: to flood to the neighbours at once, and to piggyback."""

    _to_flood: dict[str, bool] = attrs.field(factory=dict, init=False)
    _to_piggyback: dict[str, int] = attrs.field(factory=dict, init=False)
    _flooded_at: float = attrs.field(default=float("-inf"), init=False)

    def add(self, name: str, *, whole: bool) -> None:
        """Note a change of a member; ``whole`` if its life has just been heard of."""
        self._to_flood[name] = whole or self._to_flood.get(name, False)
        self._to_piggyback[name] = REPEATS

    def take_flood(self, now: float) -> list[Change]:
        """Give the changes to flood now, oldest first, and forget them."""
        if not self._to_flood or now - self._flooded_at < FLOOD_INTERVAL_S:
            return []
        self._flooded_at = now
        names = list(self._to_flood)[:FLOOD_NEWS]
        return [Change(name=name, whole=self._to_flood.pop(name)) for name in names]

    def take_piggyback(self) -> list[str]:
        """Give the names that ride on the next message, least told first."""
        ordered = sorted(self._to_piggyback, key=self._to_piggyback.__getitem__, reverse=True)
        names = ordered[:PIGGYBACK]
        for name in names:
            self._to_piggyback[name] -= 1
            if self._to_piggyback[name] <= 0:
                del self._to_piggyback[name]
        return names
