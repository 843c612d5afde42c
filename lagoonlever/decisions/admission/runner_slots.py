"""State of one runner as a call queue sees it: granted slots, reported load, failures.

Runners share machines with other work, and a machine can be slow for about half a second at a
time. So the slots that a queue has granted are combined with the runner's own load reports, whose
weight fades within a fraction of a second.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.admission.runners import (
    FAILURE_WEIGHT,
    INITIAL_AVOID_S,
    MAX_AVOID_S,
    STALLED_AFTER_LOSSES,
)
from lagoonlever.decisions.targets.brittle_targets import RecentRefusals
from lagoonlever.decisions.targets.reported_load import USUAL_SLOWNESS, ReportedLoad

DEFAULT_SLOTS = 2.0
"""Slots of a runner that has not reported how many it has."""
SLOWDOWN_FADE_S = 0.6
"""The slowdown in a load report fades to the usual speed within this time."""
OTHER_CALLS_FADE_S = 0.3
"""The count of calls for which this queue granted no slot fades to zero within this time."""
MAX_SLOT_HELD_S = 3.0
"""A slot is released after this time at the latest, even if no end of its call was reported."""
MIN_OVERDUE_S = 0.25
OVERDUE_WORK_FACTOR = 4.0
"""A call is overdue after this many times the usual work time, as slowed down on the runner."""
LATE_WORK_FACTOR = 2.0
"""After this many times the usual work time the machine has probably become slow."""
STUCK_REPORT_COUNT = 5
"""A call count is stuck if this many reports in a row repeat it while the granted slots change."""


@attrs.frozen(kw_only=True)
class GrantedSlot:
    """Slot that was granted to one attempt of a call; times are monotonic seconds."""

    request_id: str
    granted_at: float
    expires_at: float


@attrs.define(kw_only=True)
class RunnerSlots:
    """Slots and health of one process of a runner; counts are calls."""

    name: str
    data_center: str = ""
    granted: dict[str, GrantedSlot] = attrs.field(factory=dict)
    """Slots in use, by the id of the attempt."""
    borne_refusals_per_s: int | None = None
    """Calls a second that the runner may turn away before it falls over; None if it isn't
    brittle."""
    spared_by_all: bool = False
    """Whether all VMs together have heard so many refusals of the runner that it is spared."""
    failure_rate: float = 0.0
    """Moving average of lost answers and of failures of the runner itself, from 0 to 1."""
    _load: ReportedLoad | None = None
    _reported_at: float = float("-inf")
    _other_calls: float = 0.0
    """Calls beyond the granted slots, by the runner's last load report."""
    _same_count_reports: int = 0
    """Consecutive load reports that repeated the former call count."""
    _granted_at_same_count: set[int] = attrs.field(factory=set)
    """The numbers of granted slots at which the repeated call count was reported."""
    _last_sign_of_life: float = float("-inf")
    _losses: int = 0
    _avoid_s: float = INITIAL_AVOID_S
    _avoid_until: float = float("-inf")
    _refusals: RecentRefusals = attrs.field(factory=RecentRefusals)

    @property
    def slots(self) -> float:
        """The number of calls that the runner works on at once."""
        return max(1.0, self._load.slots) if self._load is not None else DEFAULT_SLOTS

    @property
    def stalled(self) -> bool:
        """Whether the runner has lost several calls and answered none since."""
        return self._losses >= STALLED_AFTER_LOSSES

    def report_age_s(self, now: float) -> float:
        """Return the seconds since the runner's last load report."""
        return now - self._reported_at

    def slowdown(self, now: float) -> float:
        """Return the slowdown factor of the runner's machine; 1.0 is the usual speed.

        A reported slowdown fades, as machines are slow for moments only.
        """
        if self._load is None or self._load.slowness is None:
            return USUAL_SLOWNESS
        weight = max(0.0, 1.0 - self.report_age_s(now) / SLOWDOWN_FADE_S)
        return USUAL_SLOWNESS + (self._load.slowness - USUAL_SLOWNESS) * weight

    def busy_slots(self, now: float) -> float:
        """Return the number of calls that are at the runner or on their way to it."""
        weight = max(0.0, 1.0 - self.report_age_s(now) / OTHER_CALLS_FADE_S)
        return len(self.granted) + self._other_calls * weight

    def free_slots(self, now: float) -> float:
        """Return the number of free slots; negative if calls queue at the runner."""
        return self.slots - self.busy_slots(now)

    def is_silent(self, now: float, *, work_s: float) -> bool:
        """Check whether calls are overdue and nothing was received from the runner meanwhile."""
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_WORK_FACTOR * work_s * self.slowdown(now))
        return self._silence_s(now) > overdue_s

    def is_late(self, now: float, *, work_s: float) -> bool:
        """Check whether an answer is due at the reported speed and nothing was received."""
        return self._silence_s(now) > LATE_WORK_FACTOR * work_s * self.slowdown(now)

    def can_grant(self, now: float, *, work_s: float, queued: int = 0) -> bool:
        """Check whether a slot may be granted, with up to ``queued`` calls beyond the slots.

        A stalled runner is probed by one call at a time.
        """
        if self.is_spared(now):
            return False
        if self.stalled:
            return now >= self._avoid_until and not self.granted
        if self.borne_refusals_per_s is not None:
            queued = 0
        return self.free_slots(now) + queued >= 1.0 and not self.is_silent(now, work_s=work_s)

    def is_spared(self, now: float) -> bool:
        """Check whether the runner is brittle and has turned away half of what it bears."""
        borne_per_s = self.borne_refusals_per_s
        if borne_per_s is None:
            return False
        return self.spared_by_all or self._refusals.spares(now, borne_per_s=borne_per_s)

    def grant(self, slot: GrantedSlot) -> None:
        """Record a granted slot."""
        self.granted[slot.request_id] = slot

    def release(self, request_id: str) -> GrantedSlot | None:
        """Release and return a slot; None if it is not held any more."""
        return self.granted.pop(request_id, None)

    def record_load(self, load: ReportedLoad, now: float, *, work_s: float) -> None:
        """Record the runner's load report, which came with the end of a call already released.

        A count that stays the same while the granted slots change is stuck and says nothing
        about calls of others.
        """
        count = load.running + load.waiting
        former = self._load
        same = former is not None and former.running + former.waiting == count
        self._same_count_reports = self._same_count_reports + 1 if same else 0
        self._granted_at_same_count = (
            {*self._granted_at_same_count, len(self.granted)} if same else {len(self.granted)}
        )
        self._load, self._reported_at, self._last_sign_of_life = load, now, now
        stuck = (
            self._same_count_reports >= STUCK_REPORT_COUNT and len(self._granted_at_same_count) > 1
        )
        self._other_calls = 0.0 if stuck else max(0.0, count - len(self.granted) - 1)
        self._release_lost(count, now, work_s)

    def record_answer(self, now: float) -> None:
        """Record an answer, after which the runner counts as healthy."""
        self._last_sign_of_life = now
        self._losses, self._avoid_s, self._avoid_until = 0, INITIAL_AVOID_S, float("-inf")
        self._record_outcome(failed=False)

    def record_failure(self, now: float) -> None:
        """Record an answer that reports the runner's own failure: it is reachable but unhealthy."""
        self._last_sign_of_life = now
        self._losses = 0
        self._record_outcome(failed=True)

    def record_loss(self, now: float) -> None:
        """Record a call that the runner did not accept or did not answer.

        A stalled runner is avoided for a time that doubles with each further loss.
        """
        self._record_outcome(failed=True)
        self._losses += 1
        if not self.stalled:
            return
        self._avoid_until = now + self._avoid_s
        self._avoid_s = min(MAX_AVOID_S, 2 * self._avoid_s)

    def record_refusal(self, request_id: str, now: float) -> None:
        """Record that the runner, which is brittle, had no room for a call; it is not stalled."""
        self._refusals.record(request_id, now)

    def release_expired(self, now: float) -> None:
        """Release slots whose end was not reported in time; that message must have been lost."""
        for request_id in [r for r, slot in self.granted.items() if now >= slot.expires_at]:
            del self.granted[request_id]

    def _silence_s(self, now: float) -> float:
        """Return the seconds for which the runner has had a call and sent nothing."""
        if not self.granted:
            return 0.0
        oldest = min(slot.granted_at for slot in self.granted.values())
        return now - max(oldest, self._last_sign_of_life)

    def _record_outcome(self, *, failed: bool) -> None:
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)

    def _release_lost(self, count: float, now: float, work_s: float) -> None:
        """Release overdue slots, oldest first, while the runner has fewer calls than slots."""
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_WORK_FACTOR * work_s * self.slowdown(now))
        surplus = len(self.granted) - int(count)
        for slot in sorted(self.granted.values(), key=lambda each: each.granted_at):
            if surplus <= 0 or now - slot.granted_at < overdue_s:
                return
            del self.granted[slot.request_id]
            surplus -= 1
