"""One run of the shares model: organisations flood, routers die or are cut, shares are read."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

import attrs

from lagoonlever.bench.shares_model import (
    ORPHANS_CANCELLED_AFTER_S,
    REPORT_LAG_S,
    ROUTERS,
    STEP_S,
    Job,
    Organisation,
    Policy,
    PolicyKind,
    SharesPolicy,
    SlotPool,
    share_tree,
)
from lagoonlever.decisions.shares.exchange import SumsNews
from lagoonlever.decisions.shares.slots import PoolReport
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_shares import message_of


@attrs.frozen(kw_only=True)
class _InFlight:
    arrives_at: float
    sender: int
    to: int
    news: SumsNews


@attrs.define(kw_only=True, eq=False)
class SharesRun:
    """Routers, callers and the pool, advanced step by step."""

    kind: PolicyKind
    organisations: dict[str, Organisation]
    rng: random.Random
    pool: SlotPool = attrs.field(factory=SlotPool)
    now: float = 0.0
    sent_bytes: list[int] = attrs.field(factory=lambda: [0] * ROUTERS)
    sent_messages: int = 0
    waits: dict[str, list[float]] = attrs.field(factory=dict)
    flooding: set[str] = attrs.field(factory=set)
    _routers: list[Policy] = attrs.field(init=False)
    _dead: dict[int, float] = attrs.field(factory=dict)
    _cut: set[int] = attrs.field(factory=set)
    _waiting: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _asked: dict[int, Job] = attrs.field(factory=dict)
    _network: deque[_InFlight] = attrs.field(factory=deque)
    _loads: deque[int] = attrs.field(factory=deque)
    _idle_slots: float = 0.0

    def __attrs_post_init__(self) -> None:
        ones = list(self.organisations.values())
        self._routers = [
            self.kind.make(ones, random.Random(self.rng.random())) for _ in range(ROUTERS)
        ]

    @property
    def idle_slot_seconds(self) -> float:
        """Slots left idle so far, in slot-seconds."""
        return self._idle_slots

    def kill(self, router: int) -> None:
        """Let a router die; its streams run on until the engines cancel them."""
        self._dead[router] = self.now + ORPHANS_CANCELLED_AFTER_S
        for key in [key for key in self._waiting if key[1] == router]:
            del self._waiting[key]

    def cut(self, routers: Iterable[int]) -> None:
        """Cut some routers off from the other ones, not from callers or engines."""
        self._cut = set(routers)

    def set_weight(self, path: str, weight: float) -> None:
        """Change an organisation's weight at every router."""
        self.organisations[path] = attrs.evolve(self.organisations[path], weight=weight)
        tree = share_tree(self.organisations.values())
        for router in self._routers:
            if isinstance(router, SharesPolicy):
                router.admission.replace_tree(tree, router.limits, self.now)

    def advance(self, seconds: float) -> dict[str, float]:
        """Run for some seconds; gives the work that each organisation got in them."""
        before = dict(self.pool.work)
        for _ in range(round(seconds / STEP_S)):
            self._step()
        return {path: work - before.get(path, 0.0) for path, work in self.pool.work.items()}

    def ask(self, path: str, router: int) -> Job:
        """Send one request of an organisation to a router."""
        one = self.organisations[path]
        is_long = self.rng.random() < one.long_part
        mean = one.long_tokens if is_long else one.short_tokens
        job = Job(
            path=path,
            router=router,
            ticket=0,
            asked_at=self.now,
            prefill_left=one.prompt_tokens * self.rng.uniform(0.5, 1.5),
            decode_left=mean * self.rng.uniform(0.5, 1.5),
        )
        if self._routers[router].submit(job, self.now):
            key = (path, router)
            self._waiting[key] = self._waiting.get(key, 0) + 1
        return job

    def _step(self) -> None:
        self.now += STEP_S
        self._reap_orphans()
        self._flood()
        self._deliver()
        self._report_load()
        for index, router in enumerate(self._routers):
            if index in self._dead:
                continue
            for job, priority in router.poll(self.now):
                self.pool.push(job, priority)
        for job in self.pool.start(self.now):
            self._note_started(job)
        for job, work in self.pool.step():
            if job.router not in self._dead:
                self._routers[job.router].charge(job, work, self.now)
        for job in self.pool.take_ended():
            job.ended = True
            if job.router not in self._dead:
                self._routers[job.router].release(job, self.now)
        self._idle_slots += (self.pool.slots - len(self.pool.running)) * STEP_S
        self._tell()

    def _note_started(self, job: Job) -> None:
        key = (job.path, job.router)
        if key in self._waiting:
            self._waiting[key] -= 1
        self.waits.setdefault(job.path, []).append(self.now - job.asked_at)

    def _flood(self) -> None:
        for path in sorted(self.flooding):
            one = self.organisations[path]
            for router in one.routers:
                if router in self._dead:
                    continue
                for _ in range(one.backlog - self._waiting.get((path, router), 0)):
                    self.ask(path, router)

    def _reap_orphans(self) -> None:
        for router, cancel_at in self._dead.items():
            if self.now >= cancel_at:
                self.pool.cancel(router)

    def _report_load(self) -> None:
        self._loads.append(self.pool.load)
        if len(self._loads) <= REPORT_LAG_S / STEP_S:
            return
        running = self._loads.popleft()
        report = PoolReport(slots=self.kind.slots, running=running if self.kind.exchange else None)
        for router in self._routers:
            if isinstance(router, SharesPolicy):
                router.admission.set_report(report)

    def _tell(self) -> None:
        if not self.kind.exchange:
            return
        for index, router in enumerate(self._routers):
            if index in self._dead or not isinstance(router, SharesPolicy):
                continue
            news = router.admission.due_update(self.now)
            if news is None:
                continue
            size = len(PEER.encode(message_of("model", news)))
            for to in range(ROUTERS):
                if to != index and to not in self._dead:
                    self._send(index, to, news, size)

    def _send(self, sender: int, to: int, news: SumsNews, size: int) -> None:
        self.sent_bytes[sender] += size
        self.sent_messages += 1
        if (sender in self._cut) != (to in self._cut):
            return
        self._network.append(
            _InFlight(arrives_at=self.now + STEP_S, sender=sender, to=to, news=news)
        )

    def _deliver(self) -> None:
        while self._network and self._network[0].arrives_at <= self.now:
            one = self._network.popleft()
            router = self._routers[one.to]
            if isinstance(router, SharesPolicy) and one.to not in self._dead:
                router.admission.receive(_incarnation(one.sender), one.news, self.now)


def _incarnation(router: int) -> Incarnation:
    return Incarnation(name=f"vm-{router}", started_ms=1, nonce=1)


def entitlements(organisations: Iterable[Organisation]) -> dict[str, float]:
    """Give the part of the pool that each organisation's weight entitles it to."""
    ones = list(organisations)
    total = sum(one.weight for one in ones)
    return {one.path: one.weight / total for one in ones}


def worst_error(work: dict[str, float], entitled: dict[str, float]) -> float:
    """Give the largest relative difference of a share from its entitlement."""
    total = sum(work.get(path, 0.0) for path in entitled)
    return max(abs(work.get(path, 0.0) / total / part - 1.0) for path, part in entitled.items())
