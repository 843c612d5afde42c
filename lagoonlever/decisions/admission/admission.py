"""Admission to one pool of engines: which requests wait, start next, or are rejected.

A rejection has a time after which to retry. A leaf is a node of the share tree without children;
each request belongs to one. All VMs run the same decisions, each over its own queues and over the
usage totals that the VMs exchange. The caller of this module passes in the time, carries out what
``poll`` decides, and reports the usage and the end of each request.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

import attrs

from lagoonlever.decisions.admission.limits import NodeLimits, overloaded_outcome
from lagoonlever.decisions.admission.queues import LeafQueue, QueuedRequest
from lagoonlever.decisions.shares.book import ShareBook
from lagoonlever.decisions.shares.exchange import SumsNews
from lagoonlever.decisions.shares.shares import ShareTree, work_of
from lagoonlever.decisions.shares.slots import PoolReport
from lagoonlever.identity import Incarnation
from lagoonlever.outcomes import NotRun

QUEUE_PATIENCE = 2.0
"""A queued request is refused if its expected wait exceeds this many times its time left."""
QUEUE_CHECK_S = 0.25
"""Interval at which queues are checked for requests that can't start in time."""
RESUMES_PER_S_PER_SLOT = 0.25
"""Resumed generations that may start per second ahead of new work, per slot of this VM."""
MIN_RESUMES_PER_S = 2.0
COMMIT_AHEAD = 64.0
"""Maximum work charged ahead of its use; it bounds the error that remains if this VM dies."""
CHARGE_STEP = 16.0
"""Work is charged in steps of this size, as a charge for each token would cost too much."""
DEFAULT_WORK = 128.0
"""Work expected of a request whose leaf has had no request end yet."""
MEAN_WEIGHT = 0.1
"""Weight of the latest ended request in a leaf's moving averages."""
NO_LIMITS = NodeLimits()
PRIORITY_PER_S = 10.0
"""Priority steps per second by which the organisation is ahead of or behind its share."""
MAX_PRIORITY_LAG_S = 20.0
"""The lag behind or ahead of the share counts up to this many seconds."""
FILL_PRIORITY = 200.0
"""Priority steps by which a leaf with none of its slots in use goes before one with all in use."""
RESUME_PRIORITY = -1000
"""Engine priority of resumed generations, which go before all new work."""


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """Request for one slot of a pool; ``deadline_s`` is the time left to start it."""

    path: str
    pool: str
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    resume: bool = False


@attrs.frozen(kw_only=True)
class Granted:
    """Decision to dispatch a request now; engines run lower ``priority`` first."""

    ticket: int
    waited_s: float
    priority: int


@attrs.frozen(kw_only=True)
class Refused:
    """Decision to refuse a request, which was removed from its queue and never ran."""

    ticket: int
    answer: NotRun


Decision = Granted | Refused


@attrs.define(kw_only=True)
class _Running:
    """Request that was granted and not released; work is in units of ``work_of``."""

    leaf: str
    started_at: float
    estimate: float
    """Expected total work."""
    used: float = 0.0
    charged: float = 0.0

    @property
    def committed(self) -> float:
        """The work to charge: the used work and a bounded part of the work still expected."""
        return self.used + min(max(self.estimate - self.used, 0.0), COMMIT_AHEAD)


@attrs.frozen(kw_only=True)
class _Ended:
    """Work and running time of an ended request, or their moving averages over a leaf."""

    work: float
    duration_s: float

    def averaged_into(self, mean: _Ended | None) -> _Ended:
        """Return the moving average with this request included."""
        if mean is None:
            return self
        return _Ended(
            work=mean.work + MEAN_WEIGHT * (self.work - mean.work),
            duration_s=mean.duration_s + MEAN_WEIGHT * (self.duration_s - mean.duration_s),
        )


@attrs.frozen(kw_only=True)
class _Count:
    """Requests of one leaf at this VM."""

    running: int
    waiting: int


class Admission:
    """Queues of one pool at this VM, and the requests that this VM has running."""

    def __init__(
        self, *, tree: ShareTree, limits: Mapping[str, NodeLimits], rng: random.Random
    ) -> None:
        self._tree = tree
        self._limits = limits
        self._rng = rng
        self._book = ShareBook(tree=tree, max_running=_max_running(limits))
        self._queues: dict[str, LeafQueue] = {}
        self._resumes: deque[QueuedRequest] = deque()
        self._resume_credit = MIN_RESUMES_PER_S
        self._polled_at: float | None = None
        self._checked_at: float | None = None
        self._waiting_requests: dict[int, AdmissionRequest] = {}
        self._waiting_leaves: dict[int, str] = {}
        self._running: dict[int, _Running] = {}
        self._means: dict[str, _Ended] = {}
        self._next_ticket = 1

    @property
    def book(self) -> ShareBook:
        """The usage and demand of the pool, for reports."""
        return self._book

    @property
    def waiting_count(self) -> int:
        """The number of requests waiting at this VM, resumed generations included."""
        return len(self._waiting_requests)

    @property
    def running_count(self) -> int:
        """The number of requests granted by this VM and not released."""
        return len(self._running)

    def leaf_of(self, path: str) -> str:
        """Return the leaf to which a path's requests belong in the settings in force."""
        return self._tree.nearest_leaf(path)

    def submit(self, request: AdmissionRequest, now: float) -> int | NotRun:
        """Queue a request and return its ticket, or the answer that it can't be served in time."""
        self._book.refresh(now)
        leaf = self._tree.nearest_leaf(request.path)
        if request.resume:
            return self._enqueue(request, leaf=leaf, time_s=request.deadline_s, now=now)
        time_s = min(request.deadline_s, self._limits_of(leaf).max_queue_wait_s)
        reason = self._refusal_reason(leaf, time_s, now)
        if reason is not None:
            return self._overloaded(reason, leaf, now)
        return self._enqueue(request, leaf=leaf, time_s=time_s, now=now)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that are due now.

        It is to be called after every change, and at least every ``QUEUE_CHECK_S`` seconds.
        """
        self._book.refresh(now)
        decisions: list[Decision] = []
        if self._checked_at is None or now >= self._checked_at + QUEUE_CHECK_S:
            self._checked_at = now
            decisions.extend(self._refuse_unservable(now))
        decisions.extend(self._start_resumed(now))
        while (leaf := self._book.next_leaf()) is not None:
            decisions.append(self._start(leaf, self._queue(leaf).start_next(now), now))
        return decisions

    def withdraw(self, ticket: int, now: float) -> bool:
        """Remove a waiting request whose caller is gone; return False if it does not wait."""
        if ticket not in self._waiting_requests:
            return False
        leaf = self._waiting_leaves[ticket]
        if self._waiting_requests[ticket].resume:
            self._resumes = deque(one for one in self._resumes if one.ticket != ticket)
        else:
            self._queue(leaf).remove(ticket)
        self._leave_queue(ticket, now)
        return True

    def charge(self, ticket: int, work: float, now: float) -> None:
        """Charge a running request for engine work as it is used; ignored once released."""
        running = self._running.get(ticket)
        if running is None:
            return
        running.used += work
        due = running.committed - running.charged
        if abs(due) < CHARGE_STEP:
            return
        running.charged += due
        self._book.add_own(running.leaf, now=now, work=due)

    def release(self, ticket: int, now: float) -> bool:
        """End a running request and refund unused charges; return False if it has ended already."""
        running = self._running.pop(ticket, None)
        if running is None:
            return False
        self._book.add_own(running.leaf, now=now, work=running.used - running.charged, running=-1)
        ended = _Ended(work=running.used, duration_s=now - running.started_at)
        self._means[running.leaf] = ended.averaged_into(self._means.get(running.leaf))
        return True

    def set_report(self, report: PoolReport) -> None:
        """Apply the pool's slots and its engines' load report."""
        self._book.set_report(report)

    def receive(self, sender: Incarnation, update: SumsNews, now: float) -> None:
        """Apply a peer's usage totals."""
        self._book.receive(sender, update, now)

    def discount_pause(self, paused_s: float) -> None:
        """Exclude a pause of this VM itself from the time for which peers count as silent."""
        self._book.excuse(paused_s)

    def request_full_update(self) -> None:
        """Send the full state with the next update, because a peer is new."""
        self._book.greet()

    def due_update(self, now: float) -> SumsNews | None:
        """Return the update that is due to be sent to the peers now, or None."""
        return self._book.due_news(now)

    def replace_tree(self, tree: ShareTree, limits: Mapping[str, NodeLimits], now: float) -> None:
        """Apply another version of the settings, and move requests to their leaf in it."""
        # Resumed requests don't wait in their leaf's queue, so a leaf that has only these
        # is found through their tickets.
        used = {*self._queues, *self._waiting_leaves.values()}
        used.update(running.leaf for running in self._running.values())
        moving = sorted(leaf for leaf in used if not tree.is_leaf(leaf))
        counts = {leaf: self._count(leaf) for leaf in moving}
        for leaf, count in counts.items():
            self._book.add_own(leaf, now=now, running=-count.running, waiting=-count.waiting)
        self._tree = tree
        self._limits = limits
        self._book.replace_tree(tree, max_running=_max_running(limits))
        for leaf, count in counts.items():
            target = tree.nearest_leaf(leaf)
            self._book.add_own(target, now=now, running=count.running, waiting=count.waiting)
            self._move(leaf, target)

    def _refusal_reason(self, leaf: str, time_s: float, now: float) -> str | None:
        """Return why a new request of a leaf can't be queued, or None if it can."""
        queue = self._queue(leaf)
        chain = self._tree.chain(leaf)
        for path in chain:
            if self._limits_of(path).max_running == 0:
                return f"{path} may run nothing"
        if not len(queue) and self._book.has_room(leaf) and self._book.may_start(leaf):
            return None
        for path in chain:
            if self._book.own_waiting(path) >= self._limits_of(path).queue_bound:
                return f"the queue of {path} is full"
        self._update_rate(leaf)
        if queue.expected_wait_s(len(queue), now) > time_s:
            return f"the queue of {leaf} is longer than the {time_s:g} s left"
        return None

    def _enqueue(self, request: AdmissionRequest, *, leaf: str, time_s: float, now: float) -> int:
        ticket = self._next_ticket
        self._next_ticket += 1
        waiting = QueuedRequest(ticket=ticket, queued_at=now, give_up_at=now + time_s)
        if request.resume:
            self._resumes.append(waiting)
        else:
            self._queue(leaf).push(waiting)
            self._book.add_own(leaf, now=now, waiting=1)
        self._waiting_requests[ticket] = request
        self._waiting_leaves[ticket] = leaf
        return ticket

    def _leave_queue(self, ticket: int, now: float) -> AdmissionRequest:
        """Remove a request from the waiting ones, and return it."""
        request = self._waiting_requests.pop(ticket)
        leaf = self._waiting_leaves.pop(ticket)
        if not request.resume:
            self._book.add_own(leaf, now=now, waiting=-1)
        return request

    def _start_resumed(self, now: float) -> list[Decision]:
        """Start resumed generations at a bounded rate, by a token bucket of one second."""
        rate = max(MIN_RESUMES_PER_S, RESUMES_PER_S_PER_SLOT * self._book.quota)
        elapsed_s = 0.0 if self._polled_at is None else now - self._polled_at
        self._polled_at = now
        self._resume_credit = min(rate, self._resume_credit + rate * elapsed_s)
        decisions: list[Decision] = []
        # Streams of a crashed engine go before new work, but at a bounded rate: the prefills of
        # all at once would delay every stream of the engines that are left.
        while self._resumes and self._resume_credit >= 1.0:
            self._resume_credit -= 1.0
            waiting = self._resumes.popleft()
            decisions.append(self._start(self._waiting_leaves[waiting.ticket], waiting, now))
        return decisions

    def _start(self, leaf: str, waiting: QueuedRequest, now: float) -> Granted:
        """Grant a request, and charge the work that it is expected to use first."""
        lag_s = self._book.lag_s(self._tree.chain(leaf)[0])
        filled = self._book.filled(leaf)
        request = self._leave_queue(waiting.ticket, now)
        running = _Running(leaf=leaf, started_at=now, estimate=self._estimate(leaf, request))
        running.charged = running.committed
        self._running[waiting.ticket] = running
        self._book.add_own(leaf, now=now, work=running.charged, running=1)
        bounded_s = min(max(lag_s, -MAX_PRIORITY_LAG_S), MAX_PRIORITY_LAG_S)
        fair = PRIORITY_PER_S * bounded_s - FILL_PRIORITY * (1.0 - filled)
        priority = RESUME_PRIORITY if request.resume else round(fair)
        return Granted(ticket=waiting.ticket, waited_s=now - waiting.queued_at, priority=priority)

    def _estimate(self, leaf: str, request: AdmissionRequest) -> float:
        """Return the expected work: the leaf's average, at most that of a full-length answer."""
        max_work = work_of(prefill_tokens=request.prompt_tokens, decode_tokens=request.max_tokens)
        known = self._means.get(leaf)
        return min(max_work, DEFAULT_WORK if known is None else known.work)

    def _refuse_unservable(self, now: float) -> list[Decision]:
        """Refuse the requests that can't start in time."""
        decisions: list[Decision] = []
        for leaf, queue in self._queues.items():
            self._update_rate(leaf)
            for waiting in queue.remove_unservable(now, patience=QUEUE_PATIENCE):
                decisions.append(self._refuse(leaf, waiting, now))
        late = [one for one in self._resumes if one.give_up_at <= now]
        for waiting in late:
            self._resumes.remove(waiting)
            decisions.append(self._refuse(self._waiting_leaves[waiting.ticket], waiting, now))
        return decisions

    def _refuse(self, leaf: str, waiting: QueuedRequest, now: float) -> Refused:
        self._leave_queue(waiting.ticket, now)
        message = f"no slot for {leaf} after {now - waiting.queued_at:.1f} s"
        return Refused(ticket=waiting.ticket, answer=self._overloaded(message, leaf, now))

    def _overloaded(self, message: str, leaf: str, now: float) -> NotRun:
        queue = self._queue(leaf)
        drain_s = queue.expected_wait_s(len(queue), now)
        return overloaded_outcome(message, drain_s=drain_s, rng=self._rng)

    def _update_rate(self, leaf: str) -> None:
        """Set the rate to which a leaf's queue is entitled by its slots and mean running time."""
        ended = self._means.get(leaf)
        slots = self._book.own_slots(leaf)
        # A leaf without demand has no slots yet. Its rate is unknown then: a rate of zero would
        # refuse its next request as if its queue were stuck.
        known = ended is not None and ended.duration_s > 0 and slots > 0
        self._queue(leaf).entitled_rate = slots / ended.duration_s if ended and known else None

    def _queue(self, leaf: str) -> LeafQueue:
        return self._queues.setdefault(leaf, LeafQueue())

    def _limits_of(self, path: str) -> NodeLimits:
        return self._limits.get(path, NO_LIMITS)

    def _count(self, leaf: str) -> _Count:
        running = sum(one.leaf == leaf for one in self._running.values())
        return _Count(running=running, waiting=len(self._queue(leaf)))

    def _move(self, leaf: str, new_leaf: str) -> None:
        """Move the waiting and running requests of a leaf to another leaf."""
        for waiting in self._queues.pop(leaf, LeafQueue()).waiting:
            self._queue(new_leaf).push(waiting)
        for running in self._running.values():
            if running.leaf == leaf:
                running.leaf = new_leaf
        for ticket, old in self._waiting_leaves.items():
            if old == leaf:
                self._waiting_leaves[ticket] = new_leaf


def _max_running(limits: Mapping[str, NodeLimits]) -> dict[str, float]:
    return {path: float(one.max_running) for path, one in limits.items()}
