"""Queue of calls to one group of runners of a service: which call goes where, waits, is rejected.

The load is, for example, 142 calls a second from 60 VMs at four runners of six slots. Demand
changes by half of its mean within seconds, machines are slow for moments, and a latency objective
of 300 ms leaves no time for a second attempt. A VM by itself receives a load report of a runner
only every other second, and sends calls behind a queue at one runner while a slot is free at
another. So one VM per group of runners grants their slots, as late as possible: a call waits in
this queue and not at a runner.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Mapping

import attrs

from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityOutcome,
    CapacityRequest,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.admission.rank_shares import RankShares
from lagoonlever.decisions.admission.runner_slots import MAX_SLOT_HELD_S, GrantedSlot, RunnerSlots
from lagoonlever.decisions.admission.runners import UNHEALTHY_FAILURE_EXCESS
from lagoonlever.decisions.targets.reported_load import ReportedLoad

INITIAL_WORK_S = 0.1
"""Work time of a call that is assumed until answers have been measured."""
MAX_QUEUED_PER_RUNNER = 1
"""Calls that a runner may get beyond its slots while others wait in this queue.

Between the end of one call and the start of the next some milliseconds pass on the network, in
which the slot would be idle.
"""
WORK_WEIGHT = 0.05
"""Weight of the latest answer in the moving averages of work time and slot time."""
ARRIVAL_WINDOW_S = 0.5
"""Time over which the arrival rate of requests is measured."""
RENEW_INTERVAL_S = 0.1
"""Interval at which the VM of a waiting attempt repeats its request."""
RENEWAL_TIMEOUT_S = 0.35
"""A waiting attempt that was not renewed for this long is dropped: its VM is gone, or it waits
elsewhere."""
SLOWER_FACTOR = 1.25
"""A machine is slow if its slowdown exceeds another's by this factor; a wait may then be better."""
SLOWDOWN_STEP = 0.25
"""Slowdowns are rounded to multiples of this step, so that similar machines count as equal."""
LOCAL_PREFERENCE_CALLS = 1.5
"""A runner of the caller's data centre is preferred with up to this many calls more than others."""
UNHEALTHY_SAMPLE_EVERY = 10
"""One in this many repeatable calls goes to an unhealthy runner, to notice its recovery."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_CAPACITY_SHARE = 0.2
"""Share of the runners' call rate for which rejected callers' retries are scheduled."""
MAX_LOGGED_AGE_S = 99.0
USABLE_CAPACITY_SHARE = 0.85
"""Share of the runners' call rate that is assumed to be available to late calls."""
FINISH_MARGIN_FACTOR = 1.5
"""A call is expected to end in time if this many times the usual work time is left for it."""


class CallEnd(enum.Enum):
    """Result of an attempt that was granted a slot."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The runner reported its own failure."""
    LOST = "lost"
    """The runner could not be reached, refused the call, or did not answer."""
    REFUSED = "refused"
    """The runner, which is brittle, had no room for the call."""
    UNUSED = "unused"
    """The attempt was not sent, through no fault of the runner, or its caller left."""


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Request of one attempt for a slot; its ``request_id`` is unique to the attempt."""

    capacity: CapacityRequest
    data_center: str = ""
    avoid: frozenset[str] = frozenset()
    """Runners to which the call was sent in former attempts."""


@attrs.frozen(kw_only=True)
class QueueDecision:
    """Decision about an attempt that waited."""

    request_id: str
    outcome: CapacityGranted | RejectedWithRetryAfter
    waited_s: float


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    """Attempt that waits in the queue."""

    request: SlotRequest
    number: int
    """Sequence number of the request, which breaks ties."""
    since: float
    renewed_at: float
    late: bool = False
    """Whether it is not expected to meet its objective; it goes after all that are."""

    @property
    def order(self) -> tuple[bool, int, float, bool, int]:
        """The sort key; lower values go first, after those that have a claim."""
        capacity = self.request.capacity
        return (self.late, capacity.rank, capacity.start_by, capacity.repeatable, self.number)

    @property
    def rank(self) -> int:
        """The urgency of the call; 0 is the most urgent."""
        return self.request.capacity.rank


@attrs.define(kw_only=True)
class CallQueue:
    """Slots of a group of runners, and the calls that wait for them.

    Times are seconds of one monotonic clock.
    """

    _runners: dict[str, RunnerSlots] = attrs.field(factory=dict)
    _waiting: dict[str, _Waiter] = attrs.field(factory=dict)
    _decisions: list[QueueDecision] = attrs.field(factory=list)
    """Decisions that ``tick`` has not returned yet."""
    _shares: RankShares = attrs.field(factory=RankShares)
    _work_s: float = INITIAL_WORK_S
    _slot_s: float = INITIAL_WORK_S
    """Time for which a call holds a slot, network both ways included, at the usual speed."""
    _arrival_rate: float = 0.0
    """Requests per second, as of ``_arrival_rate_at``."""
    _arrival_rate_at: float = 0.0
    _short_since: float | None = None
    """Start of the current capacity shortage, in which calls have been rejected or late."""
    _last_retry_at: float = float("-inf")
    """The latest time for which a retry was scheduled."""
    _samples: int = 0
    _request_count: int = 0

    @property
    def work_s(self) -> float:
        """The usual work time of a call at the usual speed, in seconds."""
        return self._work_s

    @property
    def waiting(self) -> int:
        """The number of attempts that wait."""
        return len(self._waiting)

    def runner(self, name: str) -> RunnerSlots | None:
        """Return the state of a runner, or None if it is not in this group."""
        return self._runners.get(name)

    def calls_per_s(self, now: float) -> float:
        """Return the calls per second that the usable runners can do at their present speed."""
        usable = (each for each in self._runners.values() if self._is_usable(each, now))
        return sum(self._calls_per_s_of(each, now) for each in usable)

    def describe(self, now: float) -> str:
        """Return each runner's calls, slots, slowdown and age of its load report, for the log."""
        return ", ".join(
            f"{each.name} {each.busy_slots(now):.0f}/{each.slots:g} x{each.slowdown(now):.2f}"
            f" {min(each.report_age_s(now), MAX_LOGGED_AGE_S):.2f} s"
            for each in self._runners.values()
        )

    def retain(self, data_centers: Mapping[str, str]) -> None:
        """Replace the group by these runners; ``data_centers`` maps names to data centres."""
        for name in self._runners.keys() - data_centers.keys():
            del self._runners[name]
        for name, data_center in data_centers.items():
            if name not in self._runners:
                self._runners[name] = RunnerSlots(name=name, data_center=data_center)

    def set_brittle(self, borne: Mapping[str, int | None]) -> None:
        """Set how many refusals a second each runner bears; None for one that isn't brittle."""
        for name, refusals_per_s in borne.items():
            if name in self._runners:
                self._runners[name].borne_refusals_per_s = refusals_per_s

    def set_spared(self, names: Collection[str]) -> None:
        """Set which brittle runners are spared by the refusals that any VM has heard."""
        for runner in self._runners.values():
            runner.spared_by_all = runner.name in names

    def record_restart(self, name: str) -> None:
        """Discard a runner's state, as a new process has taken over its id.

        The granted slots go with it, as the calls that held them were at the former process.
        """
        former = self._runners.pop(name, None)
        if former is not None:
            self._runners[name] = RunnerSlots(name=name, data_center=former.data_center)

    def request_slot(self, request: SlotRequest, now: float) -> CapacityOutcome:
        """Grant a slot to an attempt, queue it, or reject it.

        The call is idempotent: an attempt that asks again renews its wait, and holds one slot
        at most.
        """
        request_id = request.capacity.request_id
        granted = self._granted_to(request_id)
        if granted is not None:
            return CapacityGranted(target=granted.name)
        waiter = self._waiting.get(request_id)
        if waiter is not None:
            waiter.renewed_at = now
            return self._queued(waiter)
        self._count_arrival(now)
        self._shares.record_request(request.capacity.rank)
        self._release_expired(now)
        self._request_count += 1
        return self._enqueue(
            _Waiter(request=request, number=self._request_count, since=now, renewed_at=now), now
        )

    def request_second_slot(
        self, request: SlotRequest, *, first: str, now: float
    ) -> CapacityGranted | QueuedForCapacity:
        """Grant a slot for a hedge if runner ``first`` of the first attempt is in trouble.

        A hedge never takes a slot for which an attempt waits.
        """
        granted = self._granted_to(request.capacity.request_id)
        if granted is not None:
            return CapacityGranted(target=granted.name)
        best = (
            None
            if self._waiting or not self._in_trouble(first, now)
            else self._best_runner(request, now)
        )
        if best is None:
            return QueuedForCapacity(seconds=RENEW_INTERVAL_S)
        return self._grant(request, best, now)

    def withdraw(self, request_id: str) -> None:
        """Remove an attempt from the queue, and release its slot."""
        self._waiting.pop(request_id, None)
        for runner in self._runners.values():
            runner.release(request_id)

    def record_end(
        self,
        request_id: str,
        runner: str,
        end: CallEnd,
        now: float,
        *,
        seconds: float = 0.0,
        load: ReportedLoad | None = None,
    ) -> None:
        """Record the end of an attempt, and release its slot.

        ``seconds`` is the work time of an answered attempt at the runner, ``load`` the runner's
        load report that came with the answer.
        """
        self.withdraw(request_id)
        known = self._runners.get(runner)
        if known is None:
            return
        slot = known.release(request_id)
        if end is CallEnd.ANSWERED:
            known.record_answer(now)
            slot_s = now - slot.granted_at if slot else seconds
            # With more calls than slots, part of the time was spent in the runner's own queue.
            slot_s /= max(1.0, (len(known.granted) + 1) / known.slots)
            self._update_averages(seconds / known.slowdown(now), slot_s / known.slowdown(now))
        elif end is CallEnd.FAILED:
            known.record_failure(now)
        elif end is CallEnd.LOST:
            known.record_loss(now)
        elif end is CallEnd.REFUSED:
            known.record_refusal(request_id, now)
        if load is not None:
            known.record_load(load, now, work_s=self._work_s)

    def tick(self, now: float) -> tuple[QueueDecision, ...]:
        """Drop expired attempts, grant free slots, and return the decisions since the last call."""
        self._release_expired(now)
        for waiter in list(self._waiting.values()):
            if now - waiter.renewed_at > RENEWAL_TIMEOUT_S:
                self.withdraw(waiter.request.capacity.request_id)
            elif self._is_unservable(waiter, now):
                self._decide(waiter, self._rejection(waiter.request, now), now)
        self._grant_free_slots(now)
        decisions, self._decisions = tuple(self._decisions), []
        return decisions

    def _release_expired(self, now: float) -> None:
        for runner in self._runners.values():
            runner.release_expired(now)

    def _enqueue(self, waiter: _Waiter, now: float) -> CapacityOutcome:
        """Add an attempt, and decide on it at once if it is served or can't be served in time."""
        request_id = waiter.request.capacity.request_id
        self._waiting[request_id] = waiter
        self._grant_free_slots(now)
        if request_id not in self._waiting:
            self._decisions = [each for each in self._decisions if each.request_id != request_id]
            granted = self._granted_to(request_id)
            assert granted is not None
            return CapacityGranted(target=granted.name)
        if self._expected_start(waiter, now) <= waiter.request.capacity.start_by:
            return self._queued(waiter)
        waiter.late = True
        if self._ends_in_time(waiter, now):
            return self._queued(waiter)
        self.withdraw(request_id)
        return self._rejection(waiter.request, now)

    def _queued(self, waiter: _Waiter) -> QueuedForCapacity:
        return QueuedForCapacity(seconds=RENEW_INTERVAL_S, ahead=self._count_ahead(waiter))

    def _in_order(self) -> list[_Waiter]:
        """Return the waiters, the next one first."""
        ordered = sorted(self._waiting.values(), key=lambda each: each.order)
        return self._shares.claimants_first(ordered, lambda each: each.rank)

    def _count_ahead(self, waiter: _Waiter) -> int:
        return self._in_order().index(waiter)

    def _count_peers_ahead(self, waiter: _Waiter) -> int:
        peers = (each for each in self._waiting.values() if each.rank == waiter.rank)
        return sum(1 for each in peers if each.order < waiter.order)

    def _expected_start(self, waiter: _Waiter, now: float) -> float:
        """Return the time at which a waiter's turn comes; infinity if no runner is usable.

        Its turn comes by its place in the order, or by a claim of its rank if that is sooner.
        """
        ahead = min(self._count_ahead(waiter), self._grants_until_claim(waiter))
        per_s = self.calls_per_s(now)
        return now + (ahead + 1) / per_s if per_s else float("inf")

    def _grants_until_claim(self, waiter: _Waiter) -> float:
        before = self._count_peers_ahead(waiter)
        return self._shares.grants_until_claim(waiter.rank, before=before)

    def _ends_in_time(self, waiter: _Waiter, now: float) -> bool:
        """Check whether a late waiter is expected to be answered before its caller's deadline.

        Late calls get only the capacity that calls on time leave over: none while demand exceeds
        the runners' rate, unless their rank has a claim.
        """
        least_s = FINISH_MARGIN_FACTOR * self._work_s
        if self._count_peers_ahead(waiter) < self._shares.claims(waiter.rank):
            return self._expected_start(waiter, now) + least_s <= waiter.request.capacity.end_by
        left_per_s = USABLE_CAPACITY_SHARE * self.calls_per_s(now) - self._arrivals_per_s(now)
        if left_per_s <= 0:
            return False
        late = sum(1 for other in self._waiting.values() if other.late)
        ahead_s = len(self._waiting) / self.calls_per_s(now) + late / left_per_s
        return now + ahead_s + least_s <= waiter.request.capacity.end_by

    def _is_unservable(self, waiter: _Waiter, now: float) -> bool:
        """Check whether a waiter can't be answered in time any more; mark it late if due.

        A late waiter goes after the others. If it kept its turn, late calls would make all
        calls behind them late as well.
        """
        capacity = waiter.request.capacity
        if now + self._work_s > capacity.end_by:
            return True
        if waiter.late or now <= capacity.start_by + self._work_s:
            return False
        waiter.late = True
        return not self._ends_in_time(waiter, now)

    def _grant_free_slots(self, now: float) -> None:
        """Grant slots in order, up to the first waiter for which there is none.

        A waiter that avoids some runners does not hold up those behind it.
        """
        waiting = sorted(self._waiting.values(), key=lambda each: each.order)
        while waiting:
            waiter = self._shares.next_in_turn(waiting, lambda each: each.rank)
            waiting.remove(waiter)
            best = self._best_runner(waiter.request, now) or self._best_runner(
                waiter.request, now, queued=MAX_QUEUED_PER_RUNNER
            )
            if best is None and not waiter.request.avoid:
                return
            if best is not None and not self._should_wait_for_faster(waiter, best, now):
                self._shares.record_grant(waiter.rank)
                self._decide(waiter, self._grant(waiter.request, best, now), now)
        if not self._waiting:
            self._short_since = None

    def _decide(
        self, waiter: _Waiter, outcome: CapacityGranted | RejectedWithRetryAfter, now: float
    ) -> None:
        """Remove a waiter from the queue, and record the decision for ``tick``."""
        request_id = waiter.request.capacity.request_id
        del self._waiting[request_id]
        self._decisions.append(
            QueueDecision(request_id=request_id, outcome=outcome, waited_s=now - waiter.since)
        )

    def _best_runner(
        self, request: SlotRequest, now: float, *, queued: int = 0
    ) -> RunnerSlots | None:
        """Return the runner with the lowest cost (see ``_cost``), or None if none may get the call.

        ``queued`` is the number of calls that a runner may get beyond its slots.
        """
        allowed = [each for each in self._runners.values() if each.name not in request.avoid]
        free = [each for each in allowed if each.can_grant(now, work_s=self._work_s, queued=queued)]
        if not any(self._is_usable(each, now) for each in self._runners.values()):
            # If every runner looks stalled, trying one of them is still better than a rejection.
            free = [
                each for each in allowed if each.free_slots(now) >= 1.0 and not each.is_spared(now)
            ]
        free = self._healthy(free, repeatable=request.capacity.repeatable)
        return min(free, key=lambda each: self._cost(each, request, now), default=None)

    def _cost(
        self, runner: RunnerSlots, request: SlotRequest, now: float
    ) -> tuple[bool, int, float]:
        """Return the sort key of a runner: late answers, slowdown, then load per slot."""
        late = runner.is_late(now, work_s=self._work_s)
        slowdown = round(runner.slowdown(now) / SLOWDOWN_STEP)
        local = LOCAL_PREFERENCE_CALLS if request.data_center == runner.data_center else 0.0
        return (late, slowdown, (runner.busy_slots(now) - local) / runner.slots)

    def _healthy(self, runners: list[RunnerSlots], *, repeatable: bool) -> list[RunnerSlots]:
        """Leave out runners that fail far more often than the best one.

        One in ``UNHEALTHY_SAMPLE_EVERY`` repeatable calls gets only the unhealthy ones instead, to
        notice their recovery.
        """
        if not runners:
            return runners
        lowest = min(each.failure_rate for each in self._runners.values())
        healthy = [
            each for each in runners if each.failure_rate <= lowest + UNHEALTHY_FAILURE_EXCESS
        ]
        if len(healthy) == len(runners):
            return runners
        self._samples += repeatable
        if repeatable and self._samples % UNHEALTHY_SAMPLE_EVERY == 0:
            return [each for each in runners if each not in healthy]
        return healthy or runners

    def _should_wait_for_faster(self, waiter: _Waiter, best: RunnerSlots, now: float) -> bool:
        """Check whether a faster runner that is full now would still end the call sooner."""
        slowdown = best.slowdown(now)
        faster = [
            each
            for each in self._runners.values()
            if self._is_usable(each, now)
            and each.name not in waiter.request.avoid
            and each.slowdown(now) * SLOWER_FACTOR < slowdown
        ]
        per_s = sum(self._calls_per_s_of(each, now) for each in faster)
        if not per_s:
            return False
        wait_s = (self._count_ahead(waiter) + 1) / per_s
        slowest = max(each.slowdown(now) for each in faster)
        ends_sooner = wait_s + slowest * self._work_s < slowdown * self._work_s
        return ends_sooner and now + wait_s <= waiter.request.capacity.start_by

    def _grant(self, request: SlotRequest, runner: RunnerSlots, now: float) -> CapacityGranted:
        capacity = request.capacity
        expires_at = min(capacity.end_by, now + MAX_SLOT_HELD_S)
        runner.grant(
            GrantedSlot(request_id=capacity.request_id, granted_at=now, expires_at=expires_at)
        )
        return CapacityGranted(target=runner.name)

    def _granted_to(self, request_id: str) -> RunnerSlots | None:
        """Return the runner at which an attempt holds a slot, or None."""
        return next((each for each in self._runners.values() if request_id in each.granted), None)

    def _is_usable(self, runner: RunnerSlots, now: float) -> bool:
        return not runner.stalled and not runner.is_silent(now, work_s=self._work_s)

    def _in_trouble(self, name: str, now: float) -> bool:
        """Check whether a call at a runner is likely to be answered late or never."""
        runner = self._runners.get(name)
        if runner is None or runner.stalled or runner.is_late(now, work_s=self._work_s):
            return True
        slowdowns = [each.slowdown(now) for each in self._runners.values()]
        return runner.slowdown(now) > SLOWER_FACTOR * min(slowdowns) or runner.free_slots(now) < 0

    def _rejection(self, request: SlotRequest, now: float) -> RejectedWithRetryAfter:
        """Return a rejection whose retry is scheduled after the expected end of the shortage.

        Retries are spaced evenly one after the other, so that they don't arrive as a burst.
        """
        if self._short_since is None:
            self._short_since = now
        per_s = max(self.calls_per_s(now), 1.0)
        drained_s = max(MIN_RETRY_AFTER_S, len(self._waiting) / per_s, now - self._short_since)
        earliest = now + min(drained_s, MAX_RETRY_AFTER_S / 2)
        self._last_retry_at = max(
            self._last_retry_at + 1 / (RETRY_CAPACITY_SHARE * per_s), earliest
        )
        useful_s = request.capacity.end_by - now - FINISH_MARGIN_FACTOR * self._work_s
        retry_after_s = min(
            self._last_retry_at - now, max(MIN_RETRY_AFTER_S, useful_s), MAX_RETRY_AFTER_S
        )
        detail = f"{len(self._waiting)} calls wait for runners that do {per_s:.0f} a second"
        return RejectedWithRetryAfter(detail=detail, retry_after_s=round(retry_after_s, 2))

    def _update_averages(self, work_s: float, slot_s: float) -> None:
        self._work_s += WORK_WEIGHT * (work_s - self._work_s)
        self._slot_s += WORK_WEIGHT * (slot_s - self._slot_s)

    def _calls_per_s_of(self, runner: RunnerSlots, now: float) -> float:
        return runner.slots / (self._slot_s * runner.slowdown(now))

    def _count_arrival(self, now: float) -> None:
        self._arrival_rate = self._arrivals_per_s(now) + 1 / ARRIVAL_WINDOW_S
        self._arrival_rate_at = now

    def _arrivals_per_s(self, now: float) -> float:
        """Return the requests per second; each one's weight falls to zero in the window."""
        return self._arrival_rate * max(0.0, 1 - (now - self._arrival_rate_at) / ARRIVAL_WINDOW_S)
