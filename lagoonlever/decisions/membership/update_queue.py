"""The changes of members that this VM still has to send to its peers.

Each change travels in two ways: it is flooded to the neighbours as soon as the flood interval
allows, and it is added to (piggybacks on) a few of the next pings and acks, for the peers that
the flood did not reach. All sizes are bounded, so that the failure of many members at once
does not cause a burst of messages.
"""

from __future__ import annotations

import attrs

PIGGYBACK_REPEATS = 3
"""The number of pings and acks that carry a change, for neighbours that missed its flood."""
MAX_PIGGYBACK_CHANGES = 6
"""The maximum number of changes that one ping or ack carries."""
MAX_FLOOD_CHANGES = 24
"""The maximum number of changes in one flood. With the interval it bounds the traffic that the
failure of many members at once may cause; the remaining changes follow in the next floods."""
FLOOD_INTERVAL_S = 0.1
"""The minimum interval between two floods."""


@attrs.frozen(kw_only=True)
class QueuedChange:
    """A change to flood; ``full`` if the receivers may not know the incarnation at all."""

    name: str
    full: bool


@attrs.define(kw_only=True)
class UpdateQueue:
    """The names of changed members: those to flood to the neighbours, and those to piggyback."""

    _to_flood: dict[str, bool] = attrs.field(factory=dict, init=False)
    """By name, whether the full entry of the member is sent."""
    _to_piggyback: dict[str, int] = attrs.field(factory=dict, init=False)
    """By name, the number of messages that are still to carry the change."""
    _flooded_at: float = attrs.field(default=float("-inf"), init=False)

    def add(self, name: str, *, full: bool) -> None:
        """Add a change of a member; ``full`` if its incarnation has just become known."""
        self._to_flood[name] = full or self._to_flood.get(name, False)
        self._to_piggyback[name] = PIGGYBACK_REPEATS

    def take_flood(self, now: float) -> list[QueuedChange]:
        """Remove and return the changes to flood now, oldest first; none within the interval."""
        if not self._to_flood or now - self._flooded_at < FLOOD_INTERVAL_S:
            return []
        self._flooded_at = now
        names = list(self._to_flood)[:MAX_FLOOD_CHANGES]
        return [QueuedChange(name=name, full=self._to_flood.pop(name)) for name in names]

    def take_piggyback(self) -> list[str]:
        """Return the names that the next message carries, least often sent first.

        Each name counts as sent once more, and is removed after ``PIGGYBACK_REPEATS`` messages.
        """
        ordered = sorted(self._to_piggyback, key=self._to_piggyback.__getitem__, reverse=True)
        names = ordered[:MAX_PIGGYBACK_CHANGES]
        for name in names:
            self._to_piggyback[name] -= 1
            if self._to_piggyback[name] <= 0:
                del self._to_piggyback[name]
        return names
