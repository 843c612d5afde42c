"""Nine routers' admission before one pool of slots, in virtual time.

The pool stands in for the engines at their interface: it runs a bounded number
of requests, each decoding at a fixed rate, and orders what waits by priority.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import attrs

from lagoonlever.decisions.admission.admission import Admission, AdmissionRequest, Granted
from lagoonlever.decisions.admission.limits import NodeLimits
from lagoonlever.decisions.shares.shares import ShareNode, ShareTree, work_of

STEP_S = 0.1
ROUTERS = 9
SLOTS = 192
"""Twelve engines of sixteen slots."""
DECODE_TOKENS_PER_S = 14.0
PREFILL_TOKENS_PER_S = 4000.0
REPORT_LAG_S = 1.0
ORPHANS_CANCELLED_AFTER_S = 5.0
"""Streams of a dead router go on for this long before the engines cancel them."""
LONG_PART = 0.1
"""Part of the generations that run for minutes."""
WAIT_LIMIT_S = 600.0
POOL = "model"


@attrs.frozen(kw_only=True)
class Organisation:
    """A group of callers: its weight, the routers that its callers use, how long its answers are.

    ``backlog`` requests wait at each of its routers at any time while it floods.
    """

    path: str
    weight: float
    routers: tuple[int, ...] = tuple(range(ROUTERS))
    backlog: int = 8
    short_tokens: int = 60
    long_tokens: int = 2500
    prompt_tokens: int = 400
    long_part: float = LONG_PART


@attrs.define(kw_only=True, eq=False)
class Job:
    """One request on its way: tokens still to prefill and decode."""

    path: str
    router: int
    ticket: int
    asked_at: float
    prefill_left: float
    decode_left: float
    started_at: float | None = None
    ended: bool = False


class Policy(Protocol):
    """What decides at one router which of its requests is sent to the engines."""

    def submit(self, job: Job, now: float) -> bool:
        """Queue a request; false if it is refused."""

    def poll(self, now: float) -> list[tuple[Job, int]]:
        """Give the requests to send now, with their engine priority."""

    def charge(self, job: Job, work: float, now: float) -> None:
        """Charge the work that a request used."""

    def release(self, job: Job, now: float) -> None:
        """End a request."""


@attrs.define(kw_only=True, eq=False)
class SharesPolicy:
    """The decision that the daemon runs."""

    admission: Admission
    limits: dict[str, NodeLimits]
    _jobs: dict[int, Job] = attrs.field(factory=dict)

    def submit(self, job: Job, now: float) -> bool:
        """Queue a request; false if it is refused."""
        ask = AdmissionRequest(
            path=job.path,
            pool=POOL,
            prompt_tokens=round(job.prefill_left),
            max_tokens=4096,
            deadline_s=WAIT_LIMIT_S,
        )
        ticket = self.admission.submit(ask, now)
        if not isinstance(ticket, int):
            return False
        job.ticket = ticket
        self._jobs[ticket] = job
        return True

    def poll(self, now: float) -> list[tuple[Job, int]]:
        """Give the requests to send now, with their engine priority."""
        granted: list[tuple[Job, int]] = []
        for decision in self.admission.poll(now):
            job = self._jobs.pop(decision.ticket)
            if isinstance(decision, Granted):
                granted.append((job, decision.priority))
            else:
                job.ended = True
        return granted

    def charge(self, job: Job, work: float, now: float) -> None:
        """Charge the work that a request used."""
        self.admission.charge(job.ticket, work, now)

    def release(self, job: Job, now: float) -> None:
        """End a request."""
        self.admission.release(job.ticket, now)


@attrs.define(kw_only=True, eq=False)
class FifoPolicy:
    """Everything goes to the engines at once, which serve in the order of arrival."""

    _queue: list[Job] = attrs.field(factory=list)

    def submit(self, job: Job, now: float) -> bool:
        """Queue a request."""
        self._queue.append(job)
        return True

    def poll(self, now: float) -> list[tuple[Job, int]]:
        """Give every request."""
        jobs, self._queue = self._queue, []
        return [(job, 0) for job in jobs]

    def charge(self, job: Job, work: float, now: float) -> None:
        """Count nothing."""

    def release(self, job: Job, now: float) -> None:
        """Count nothing."""


@attrs.define(kw_only=True, eq=False)
class StaticPolicy:
    """Each organisation owns a fixed part of the slots at each router."""

    _slots: dict[str, float]
    _queues: dict[str, deque[Job]] = attrs.field(factory=dict)
    _running: dict[str, int] = attrs.field(factory=dict)

    def submit(self, job: Job, now: float) -> bool:
        """Queue a request."""
        self._queues.setdefault(job.path, deque()).append(job)
        return True

    def poll(self, now: float) -> list[tuple[Job, int]]:
        """Give what fits into the organisations' own slots."""
        granted: list[tuple[Job, int]] = []
        for path, queue in self._queues.items():
            slots = max(1.0, self._slots[path])
            while queue and self._running.get(path, 0) + 1 <= slots:
                self._running[path] = self._running.get(path, 0) + 1
                granted.append((queue.popleft(), 0))
        return granted

    def charge(self, job: Job, work: float, now: float) -> None:
        """Count nothing."""

    def release(self, job: Job, now: float) -> None:
        """Free the slot."""
        self._running[job.path] -= 1


@attrs.define(kw_only=True, eq=False)
class SlotPool:
    """The engines: runs ``slots`` requests; the rest waits by priority, then by arrival."""

    slots: int = SLOTS
    running: list[Job] = attrs.field(factory=list)
    work: dict[str, float] = attrs.field(factory=dict)
    _waiting: list[tuple[int, int, Job]] = attrs.field(factory=list)
    _arrivals: int = 0

    @property
    def load(self) -> int:
        """Requests running and waiting."""
        return len(self.running) + len(self._waiting)

    def push(self, job: Job, priority: int) -> None:
        """Take a request."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (priority, self._arrivals, job))

    def cancel(self, router: int) -> None:
        """Cancel everything that one router sent."""
        self.running = [job for job in self.running if job.router != router]
        self._waiting = [entry for entry in self._waiting if entry[2].router != router]
        heapq.heapify(self._waiting)

    def start(self, now: float) -> list[Job]:
        """Start what fits; gives the started."""
        started: list[Job] = []
        while self._waiting and len(self.running) < self.slots:
            job = heapq.heappop(self._waiting)[2]
            job.started_at = now
            self.running.append(job)
            started.append(job)
        return started

    def step(self) -> list[tuple[Job, float]]:
        """Run for one step; gives the work that each running request used."""
        used: list[tuple[Job, float]] = []
        for job in self.running:
            prefill = min(job.prefill_left, PREFILL_TOKENS_PER_S * STEP_S)
            job.prefill_left -= prefill
            left_s = STEP_S - prefill / PREFILL_TOKENS_PER_S
            decode = min(job.decode_left, DECODE_TOKENS_PER_S * left_s)
            job.decode_left -= decode
            work = work_of(prefill_tokens=prefill, decode_tokens=decode)
            self.work[job.path] = self.work.get(job.path, 0.0) + work
            used.append((job, work))
        return used

    def take_ended(self) -> list[Job]:
        """Take out what has decoded its last token."""
        ended = [job for job in self.running if job.decode_left <= 0]
        self.running = [job for job in self.running if job.decode_left > 0]
        return ended


def share_tree(organisations: Iterable[Organisation]) -> ShareTree:
    """Give the tree of weights of some organisations."""
    nodes = [ShareNode(path="/")]
    nodes.extend(ShareNode(path=one.path, weight=one.weight, parent="/") for one in organisations)
    return ShareTree(nodes)


def _shares(organisations: Sequence[Organisation], rng: random.Random) -> Policy:
    limits = {
        one.path: NodeLimits(max_running=10_000, queue_bound=1000, max_queue_wait_s=WAIT_LIMIT_S)
        for one in organisations
    }
    admission = Admission(tree=share_tree(organisations), limits=limits, rng=rng)
    return SharesPolicy(admission=admission, limits=limits)


def _fifo(organisations: Sequence[Organisation], rng: random.Random) -> Policy:
    return FifoPolicy()


def _static(organisations: Sequence[Organisation], rng: random.Random) -> Policy:
    total = sum(one.weight for one in organisations)
    return StaticPolicy(
        slots={one.path: SLOTS * one.weight / total / len(one.routers) for one in organisations}
    )


@attrs.frozen(kw_only=True)
class PolicyKind:
    """A way to share: how each router decides, and whether routers exchange sums."""

    name: str
    make: Callable[[Sequence[Organisation], random.Random], Policy]
    exchange: bool = False
    slots: int = SLOTS
    """Slots that each router believes to have."""


SHARES = PolicyKind(name="shares", make=_shares, exchange=True)
LOCAL = PolicyKind(name="fair queue a router, no exchange", make=_shares, slots=SLOTS // ROUTERS)
FIFO = PolicyKind(name="first in, first out", make=_fifo)
STATIC = PolicyKind(name="static split", make=_static)
POLICIES = (SHARES, LOCAL, FIFO, STATIC)
