"""One runner as the line of its service sees it: places given out, its own word, its failures.

The load that is answered: machines that are shared, and slow for moments of half a second.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.admission.runners import (
    FAILURE_WEIGHT,
    FIRST_AVOID_S,
    MOST_AVOID_S,
    STALLED_AFTER_LOSSES,
)
from lagoonlever.decisions.targets.reported_load import USUAL, ReportedLoad

SLOTS_UNTOLD = 2.0
"""Of a runner that has not said how many it has."""
WORD_FADES_S = 0.6
"""How long a word of a machine's pace says anything of it."""
OTHERS_FADE_S = 0.3
"""The same of a word of calls that this line gave no place for."""
PLACE_KEPT_S = 3.0
"""The longest that a place is held without its end being heard."""
LEAST_OVERDUE_S = 0.25
OVERDUE_WORKS = 4.0
"""Times the usual work after which a place without an end is overdue."""
LATE_WORKS = 2.0
"""The same, after which it is likely that the machine has turned slow."""
SAME_WORDS = 5
"""Equal counts in a row, while the places changed, that show a count that is stuck."""


@attrs.frozen(kw_only=True)
class Place:
    """A slot that was given to one attempt of a call; times of the monotonic clock."""

    request: str
    given_at: float
    until: float


@attrs.define(kw_only=True)
class LineRunner:
    """State of one process of a runner; counts are calls."""

    name: str
    data_center: str = ""
    places: dict[str, Place] = attrs.field(factory=dict)
    failure_rate: float = 0.0
    """Of late: lost answers, and failures of the runner's own."""
    _load: ReportedLoad | None = None
    _told_at: float = float("-inf")
    _others: float = 0.0
    """Calls beyond the places, by the runner's last word."""
    _same: int = 0
    _places_then: set[int] = attrs.field(factory=set)
    """The numbers of places at which the same count was told."""
    _heard_at: float = float("-inf")
    _losses: int = 0
    _avoid_s: float = FIRST_AVOID_S
    _avoid_until: float = float("-inf")

    @property
    def slots(self) -> float:
        """The calls that it works on at once."""
        return max(1.0, self._load.slots) if self._load is not None else SLOTS_UNTOLD

    @property
    def stalled(self) -> bool:
        """Whether it has let several calls wait and answered none since."""
        return self._losses >= STALLED_AFTER_LOSSES

    def age_s(self, now: float) -> float:
        """Give the seconds since its last word."""
        return now - self._told_at

    def slowness(self, now: float) -> float:
        """Give how many times as long as usual work takes there, as far as its word still says."""
        if self._load is None or self._load.slowness is None:
            return USUAL
        rest = max(0.0, 1.0 - self.age_s(now) / WORD_FADES_S)
        return USUAL + (self._load.slowness - USUAL) * rest

    def busy(self, now: float) -> float:
        """Give the calls that are there or on their way."""
        rest = max(0.0, 1.0 - self.age_s(now) / OTHERS_FADE_S)
        return len(self.places) + self._others * rest

    def free(self, now: float) -> float:
        """Give the slots that are free."""
        return self.slots - self.busy(now)

    def is_silent(self, now: float, *, work_s: float) -> bool:
        """Tell whether places are overdue and nothing was heard since they were."""
        overdue_s = max(LEAST_OVERDUE_S, OVERDUE_WORKS * work_s * self.slowness(now))
        return self._silence_s(now) > overdue_s

    def is_late(self, now: float, *, work_s: float) -> bool:
        """Tell whether an end is due by the pace that was told, and nothing was heard."""
        return self._silence_s(now) > LATE_WORKS * work_s * self.slowness(now)

    def takes(self, now: float, *, work_s: float, queued: int = 0) -> bool:
        """Tell whether a place may be given out, with so many beyond the slots.

        A runner that stalled is probed by one call.
        """
        if self.stalled:
            return now >= self._avoid_until and not self.places
        return self.free(now) + queued >= 1.0 and not self.is_silent(now, work_s=work_s)

    def give(self, place: Place) -> None:
        """Note a place."""
        self.places[place.request] = place

    def release(self, request: str) -> Place | None:
        """Drop a place; gives it, or None where it is gone already."""
        return self.places.pop(request, None)

    def told(self, load: ReportedLoad, now: float, *, work_s: float) -> None:
        """Take the runner's own word, which came with the end of a call that is released."""
        count = load.running + load.waiting
        former = self._load
        same = former is not None and former.running + former.waiting == count
        self._same = self._same + 1 if same else 0
        self._places_then = {*self._places_then, len(self.places)} if same else {len(self.places)}
        self._load, self._told_at, self._heard_at = load, now, now
        stuck = self._same >= SAME_WORDS and len(self._places_then) > 1
        self._others = 0.0 if stuck else max(0.0, count - len(self.places) - 1)
        self._drop_lost(count, now, work_s)

    def answered(self, now: float) -> None:
        """Note an answer: it is well."""
        self._heard_at = now
        self._losses, self._avoid_s, self._avoid_until = 0, FIRST_AVOID_S, float("-inf")
        self._note(failed=False)

    def failed(self, now: float) -> None:
        """Note an answer that tells of its own failure: it is there, and not well."""
        self._heard_at = now
        self._losses = 0
        self._note(failed=True)

    def lost(self, now: float) -> None:
        """Note a call that it did not take, or whose answer did not come."""
        self._note(failed=True)
        self._losses += 1
        if not self.stalled:
            return
        self._avoid_until = now + self._avoid_s
        self._avoid_s = min(MOST_AVOID_S, 2 * self._avoid_s)

    def expire(self, now: float) -> None:
        """Drop places whose end must have been lost."""
        for request in [r for r, place in self.places.items() if now >= place.until]:
            del self.places[request]

    def _silence_s(self, now: float) -> float:
        """Give for how long it has had a call and nothing was heard of it."""
        if not self.places:
            return 0.0
        oldest = min(place.given_at for place in self.places.values())
        return now - max(oldest, self._heard_at)

    def _note(self, *, failed: bool) -> None:
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)

    def _drop_lost(self, count: float, now: float, work_s: float) -> None:
        """Drop overdue places where the runner has fewer calls than there are places."""
        overdue_s = max(LEAST_OVERDUE_S, OVERDUE_WORKS * work_s * self.slowness(now))
        surplus = len(self.places) - int(count)
        for place in sorted(self.places.values(), key=lambda each: each.given_at):
            if surplus <= 0 or now - place.given_at < overdue_s:
                return
            del self.places[place.request]
            surplus -= 1
