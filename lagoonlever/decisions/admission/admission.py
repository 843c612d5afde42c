"""Admission to one pool of engines: who waits, who starts next, who is told to come back.

All VMs run this alike, each over its own queues and the sums of all. The caller
passes in the time, carries out what ``poll`` decides, and reports use and ends.
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
"""A queued request is given up when its expected wait is this many times the time it has."""
QUEUE_CHECK_S = 0.25
RESUME_PART = 0.25
"""Part of this VM's slots that resumes may take anew in a second, ahead of new work."""
MIN_RESUMES_PER_S = 2.0
COMMIT_AHEAD = 64.0
"""Work charged ahead of use, at most: bounds the error that a dead VM leaves behind."""
CHARGE_STEP = 16.0
"""Use is passed on in steps of this work: a charge for each token would cost too much."""
DEFAULT_WORK = 128.0
"""Work expected of a request of a leaf that has ended none yet."""
MEAN_WEIGHT = 0.1
"""Weight of the latest ended request in a leaf's means."""
NO_LIMITS = NodeLimits()
PRIORITY_PER_S = 10.0
"""Steps of engine priority for a second ahead of or behind the organisation's share."""
MAX_PRIORITY_LAG_S = 20.0
FILL_PRIORITY = 200.0
"""Steps of engine priority that a leaf is ahead with none of its slots, against all of them."""
RESUME_PRIORITY = -1000
"""Engine priority of resumed generations, before all new work."""


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """A request for one slot of a pool; ``deadline_s`` is the time left to start it."""

    path: str
    pool: str
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    resume: bool = False


@attrs.frozen(kw_only=True)
class Granted:
    """The request may be dispatched now; engines run lower ``priority`` first."""

    ticket: int
    waited_s: float
    priority: int


@attrs.frozen(kw_only=True)
class Refused:
    """The request was taken out of its queue and never ran."""

    ticket: int
    answer: NotRun


Decision = Granted | Refused


@attrs.define(kw_only=True)
class _Running:
    leaf: str
    started_at: float
    estimate: float
    used: float = 0.0
    charged: float = 0.0

    @property
    def committed(self) -> float:
        """The work to charge: what was used, and a bounded part of what is still expected."""
        return self.used + min(max(self.estimate - self.used, 0.0), COMMIT_AHEAD)


@attrs.frozen(kw_only=True)
class _Ended:
    """Work and running time of an ended request, or their means over a leaf's."""

    work: float
    duration_s: float

    def averaged_into(self, mean: _Ended | None) -> _Ended:
        """Give the mean with this one counted in."""
        if mean is None:
            return self
        return _Ended(
            work=mean.work + MEAN_WEIGHT * (self.work - mean.work),
            duration_s=mean.duration_s + MEAN_WEIGHT * (self.duration_s - mean.duration_s),
        )


@attrs.frozen(kw_only=True)
class _Count:
    running: int
    waiting: int


class Admission:
    """The queues of one pool at this VM, and the requests running from here."""

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
        self._asks: dict[int, AdmissionRequest] = {}
        self._leaves: dict[int, str] = {}
        self._running: dict[int, _Running] = {}
        self._means: dict[str, _Ended] = {}
        self._next_ticket = 1

    @property
    def book(self) -> ShareBook:
        """Use and demand of the pool, for reports."""
        return self._book

    @property
    def waiting_count(self) -> int:
        """Requests waiting here, resumes too."""
        return len(self._asks)

    @property
    def running_count(self) -> int:
        """Requests granted here and not released."""
        return len(self._running)

    def leaf_of(self, path: str) -> str:
        """Give the leaf that a path's requests count for in the settings in force."""
        return self._tree.nearest_leaf(path)

    def submit(self, ask: AdmissionRequest, now: float) -> int | NotRun:
        """Queue a request and give its ticket, or tell at once that it can't be served."""
        self._book.refresh(now)
        leaf = self._tree.nearest_leaf(ask.path)
        if ask.resume:
            return self._enqueue(ask, leaf=leaf, time_s=ask.deadline_s, now=now)
        time_s = min(ask.deadline_s, self._limits_of(leaf).max_queue_wait_s)
        obstacle = self._obstacle(leaf, time_s, now)
        if obstacle is not None:
            return self._overloaded(obstacle, leaf, now)
        return self._enqueue(ask, leaf=leaf, time_s=time_s, now=now)

    def poll(self, now: float) -> list[Decision]:
        """Give what is decided now; call it after every change and every ``QUEUE_CHECK_S``."""
        self._book.refresh(now)
        decisions: list[Decision] = []
        if self._checked_at is None or now >= self._checked_at + QUEUE_CHECK_S:
            self._checked_at = now
            decisions.extend(self._give_up(now))
        decisions.extend(self._start_resumes(now))
        while (leaf := self._book.next_leaf()) is not None:
            decisions.append(self._start(leaf, self._queue(leaf).start_next(now), now))
        return decisions

    def withdraw(self, ticket: int, now: float) -> bool:
        """Take a waiting request out, its caller being gone; false if it does not wait."""
        if ticket not in self._asks:
            return False
        leaf = self._leaves[ticket]
        if self._asks[ticket].resume:
            self._resumes = deque(one for one in self._resumes if one.ticket != ticket)
        else:
            self._queue(leaf).remove(ticket)
        self._leave_queue(ticket, now)
        return True

    def charge(self, ticket: int, work: float, now: float) -> None:
        """Charge a running request with engine work as it is used; ignored once released."""
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
        """End a running request, giving back what was charged ahead; false if it has ended."""
        running = self._running.pop(ticket, None)
        if running is None:
            return False
        self._book.add_own(running.leaf, now=now, work=running.used - running.charged, running=-1)
        ended = _Ended(work=running.used, duration_s=now - running.started_at)
        self._means[running.leaf] = ended.averaged_into(self._means.get(running.leaf))
        return True

    def set_report(self, report: PoolReport) -> None:
        """Take on the pool's slots and its engines' load report."""
        self._book.set_report(report)

    def receive(self, sender: Incarnation, news: SumsNews, now: float) -> None:
        """Take on a peer's sums."""
        self._book.receive(sender, news, now)

    def discount_pause(self, paused_s: float) -> None:
        """Count no silence of peers for a time in which this VM itself was paused."""
        self._book.excuse(paused_s)

    def request_full_update(self) -> None:
        """Tell everything next time, because a peer is new."""
        self._book.greet()

    def due_update(self, now: float) -> SumsNews | None:
        """Give what is to be told to the peers now, or None."""
        return self._book.due_news(now)

    def replace_tree(self, tree: ShareTree, limits: Mapping[str, NodeLimits], now: float) -> None:
        """Take on another version of the settings; what waits or runs moves to its new leaf."""
        # A resumed request has no queue of its leaf; where only such ones run, the leaf is
        # known by them alone.
        used = {*self._queues, *self._leaves.values()}
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

    def _obstacle(self, leaf: str, time_s: float, now: float) -> str | None:
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
        self._learn_rate(leaf)
        if queue.expected_wait_s(len(queue), now) > time_s:
            return f"the queue of {leaf} is longer than the {time_s:g} s left"
        return None

    def _enqueue(self, ask: AdmissionRequest, *, leaf: str, time_s: float, now: float) -> int:
        ticket = self._next_ticket
        self._next_ticket += 1
        waiting = QueuedRequest(ticket=ticket, queued_at=now, give_up_at=now + time_s)
        if ask.resume:
            self._resumes.append(waiting)
        else:
            self._queue(leaf).push(waiting)
            self._book.add_own(leaf, now=now, waiting=1)
        self._asks[ticket] = ask
        self._leaves[ticket] = leaf
        return ticket

    def _leave_queue(self, ticket: int, now: float) -> AdmissionRequest:
        ask = self._asks.pop(ticket)
        leaf = self._leaves.pop(ticket)
        if not ask.resume:
            self._book.add_own(leaf, now=now, waiting=-1)
        return ask

    def _start_resumes(self, now: float) -> list[Decision]:
        rate = max(MIN_RESUMES_PER_S, RESUME_PART * self._book.quota)
        elapsed_s = 0.0 if self._polled_at is None else now - self._polled_at
        self._polled_at = now
        self._resume_credit = min(rate, self._resume_credit + rate * elapsed_s)
        decisions: list[Decision] = []
        # Streams of a dead engine go before new work, but paced: all at once they would
        # delay every stream of the engines that are left.
        while self._resumes and self._resume_credit >= 1.0:
            self._resume_credit -= 1.0
            waiting = self._resumes.popleft()
            decisions.append(self._start(self._leaves[waiting.ticket], waiting, now))
        return decisions

    def _start(self, leaf: str, waiting: QueuedRequest, now: float) -> Granted:
        lag_s = self._book.lag_s(self._tree.chain(leaf)[0])
        filled = self._book.filled(leaf)
        ask = self._leave_queue(waiting.ticket, now)
        running = _Running(leaf=leaf, started_at=now, estimate=self._estimate(leaf, ask))
        running.charged = running.committed
        self._running[waiting.ticket] = running
        self._book.add_own(leaf, now=now, work=running.charged, running=1)
        bounded_s = min(max(lag_s, -MAX_PRIORITY_LAG_S), MAX_PRIORITY_LAG_S)
        fair = PRIORITY_PER_S * bounded_s - FILL_PRIORITY * (1.0 - filled)
        priority = RESUME_PRIORITY if ask.resume else round(fair)
        return Granted(ticket=waiting.ticket, waited_s=now - waiting.queued_at, priority=priority)

    def _estimate(self, leaf: str, ask: AdmissionRequest) -> float:
        most = work_of(prefill_tokens=ask.prompt_tokens, decode_tokens=ask.max_tokens)
        known = self._means.get(leaf)
        return min(most, DEFAULT_WORK if known is None else known.work)

    def _give_up(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for leaf, queue in self._queues.items():
            self._learn_rate(leaf)
            for waiting in queue.remove_unservable(now, patience=QUEUE_PATIENCE):
                decisions.append(self._refuse(leaf, waiting, now))
        late = [one for one in self._resumes if one.give_up_at <= now]
        for waiting in late:
            self._resumes.remove(waiting)
            decisions.append(self._refuse(self._leaves[waiting.ticket], waiting, now))
        return decisions

    def _refuse(self, leaf: str, waiting: QueuedRequest, now: float) -> Refused:
        self._leave_queue(waiting.ticket, now)
        message = f"no slot for {leaf} after {now - waiting.queued_at:.1f} s"
        return Refused(ticket=waiting.ticket, answer=self._overloaded(message, leaf, now))

    def _overloaded(self, message: str, leaf: str, now: float) -> NotRun:
        queue = self._queue(leaf)
        drain_s = queue.expected_wait_s(len(queue), now)
        return overloaded_outcome(message, drain_s=drain_s, rng=self._rng)

    def _learn_rate(self, leaf: str) -> None:
        ended = self._means.get(leaf)
        slots = self._book.own_slots(leaf)
        # A leaf without demand has no slots yet; that must not read as a queue that is stuck.
        known = ended is not None and ended.duration_s > 0 and slots > 0
        self._queue(leaf).entitled_rate = slots / ended.duration_s if ended and known else None

    def _queue(self, leaf: str) -> LeafQueue:
        return self._queues.setdefault(leaf, LeafQueue())

    def _limits_of(self, path: str) -> NodeLimits:
        return self._limits.get(path, NO_LIMITS)

    def _count(self, leaf: str) -> _Count:
        running = sum(one.leaf == leaf for one in self._running.values())
        return _Count(running=running, waiting=len(self._queue(leaf)))

    def _move(self, leaf: str, target: str) -> None:
        for waiting in self._queues.pop(leaf, LeafQueue()).waiting:
            self._queue(target).push(waiting)
        for running in self._running.values():
            if running.leaf == leaf:
                running.leaf = target
        for ticket, old in self._leaves.items():
            if old == leaf:
                self._leaves[ticket] = target


def _max_running(limits: Mapping[str, NodeLimits]) -> dict[str, float]:
    return {path: float(one.max_running) for path, one in limits.items()}
