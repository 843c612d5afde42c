"""Admission at one VM: it queues requests, and exchanges sums of use with the other VMs.

One decision a pool; a pool is the engines of one model name. Requests wait here
until a slot is theirs by share, or are told at once that it won't be in time.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.admission import Admission, AdmissionRequest, Decision, Granted
from lagoonlever.decisions.admission.limits import retry_after_s
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.shares.meter import OrganisationStanding
from lagoonlever.decisions.shares.settings import pool_reports, share_settings
from lagoonlever.decisions.shares.slots import PoolReport
from lagoonlever.decisions.targets.targets import TargetView
from lagoonlever.events import event
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import QUEUE_DEPTH, QUEUE_WAIT, SHARE_ENTITLED, SHARE_USED
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_shares import SharesNews, message_of, news_of
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService
from lagoonlever.tree.nodes import TreeView, lineage

log = logbook.Logger(__name__)

PERIOD_S = 0.05
PUBLISH_PERIOD_S = 1.0
NO_POOL_RETRY_S = 2.0
NO_ENGINES = PoolReport(slots=0)

POOL_ADDED = event(
    600,
    "pool-added",
    "info",
    "Pool {pool} has {slots} slots.",
    "Engines of a model were seen for the first time. Nothing to do.",
)
REQUEST_OVERLOADED = event(
    601,
    "request-overloaded",
    "debug",
    "Request of {path} in pool {pool} is not run: {reason}.",
    "The request could not start in its time. Where it is frequent, see the page on shares.",
)


@attrs.frozen(kw_only=True)
class Admitted:
    """The right to one slot; give it back with ``release``, in every case."""

    ticket: int
    pool: str
    priority: int
    """For the engine: lower runs first."""
    waited_s: float


@attrs.frozen(kw_only=True)
class PoolState:
    """One pool as this VM sees it."""

    pool: str
    slots: int
    quota: float
    """Slots that this VM may use now."""
    running_here: int
    waiting_here: int
    peers_heard: int
    organisations: tuple[OrganisationStanding, ...]


@attrs.frozen(kw_only=True)
class AdmissionState:
    """What the status page shows of admission."""

    pools: tuple[PoolState, ...] = ()


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    decided: trio.Event = attrs.field(factory=trio.Event)
    decision: Decision | None = None


@attrs.define(kw_only=True, eq=False)
class AdmissionPart:
    """The admission part of the daemon; ``run`` keeps it, ``admit`` is asked by requests."""

    _tree: Published[TreeView]
    _targets: Published[TargetView]
    _members: Published[MemberView]
    _bus: Bus
    _timers: TimerService
    _metrics: Metrics
    _random: random.Random
    _state: Published[AdmissionState] = attrs.field(init=False)
    _pools: dict[str, Admission] = attrs.field(factory=dict, init=False)
    _waiters: dict[tuple[str, int], _Waiter] = attrs.field(factory=dict, init=False)
    _known_slots: dict[str, int] = attrs.field(factory=dict, init=False)
    _settings_seen: TreeView | None = attrs.field(default=None, init=False)
    _targets_seen: TargetView | None = attrs.field(default=None, init=False)
    _members_seen: MemberView | None = attrs.field(default=None, init=False)
    _published_at: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._state = Published(AdmissionState())

    @property
    def state(self) -> Published[AdmissionState]:
        """Pools and organisations as this VM sees them, published every second."""
        return self._state

    async def admit(self, ask: AdmissionRequest) -> Admitted | NotRun:
        """Wait for a slot; a cancelled wait leaves the queue, and a slot given to it."""
        self._take_in()
        pool = self._pools.get(ask.pool)
        if pool is None:
            return self._no_pool(ask)
        now = self._timers.now
        ticket = pool.submit(ask, now)
        if isinstance(ticket, NotRun):
            REQUEST_OVERLOADED.log(log, path=ask.path, pool=ask.pool, reason=ticket.message)
            return ticket
        waiter = _Waiter()
        self._waiters[ask.pool, ticket] = waiter
        try:
            self._poll(ask.pool, pool)
            await waiter.decided.wait()
        except trio.Cancelled:
            # The decision may have come in the same step as the cancellation; a slot
            # granted to a caller that is gone would never be given back.
            pool.withdraw(ticket, self._timers.now)
            self._release(ask.pool, ticket)
            raise
        finally:
            del self._waiters[ask.pool, ticket]
        return self._answer_of(ask, waiter)

    @asynccontextmanager
    async def admitted(self, ask: AdmissionRequest) -> AsyncIterator[Admitted | NotRun]:
        """Hold a slot for a block, or enter it with the final answer of a request not run."""
        result = await self.admit(ask)
        try:
            yield result
        finally:
            if isinstance(result, Admitted):
                self.release(result)

    def charge(self, grant: Admitted, work: float) -> None:
        """Charge engine work as it is used, in units of ``shares.work_of``."""
        self._pools[grant.pool].charge(grant.ticket, work, self._timers.now)

    def release(self, grant: Admitted) -> None:
        """Give a slot back; a second time does nothing."""
        self._release(grant.pool, grant.ticket)

    async def run(self) -> None:
        """Exchange sums and serve the queues until cancelled."""
        news = self._bus.subscribe(SharesNews)
        with self._timers.subscribed(self._on_tick, period_s=PERIOD_S):
            async for received in news:
                self._on_news(received)

    def _on_tick(self, tick: Tick) -> None:
        self._take_in()
        for name, pool in self._pools.items():
            if tick.paused_s:
                pool.discount_pause(tick.paused_s)
            self._poll(name, pool)
            self._tell_peers(name, pool, tick.now)
        if tick.now >= self._published_at + PUBLISH_PERIOD_S:
            self._published_at = tick.now
            self._publish()

    def _on_news(self, received: Received[SharesNews]) -> None:
        message = received.message
        pool = self._pools.get(message.pool)
        if pool is None:
            return
        pool.receive(received.sender, news_of(message), self._timers.now)

    def _take_in(self) -> None:
        """Take in the settings, targets and members that were published meanwhile."""
        if self._targets.value is not self._targets_seen:
            self._targets_seen = self._targets.value
            self._take_in_targets(self._targets_seen)
        if self._tree.value is not self._settings_seen:
            self._settings_seen = self._tree.value
            settings = share_settings(self._settings_seen)
            for pool in self._pools.values():
                pool.replace_tree(settings.tree, settings.limits, self._timers.now)
        if self._members.value is not self._members_seen:
            former, self._members_seen = self._members_seen, self._members.value
            self._take_in_members(former, self._members_seen)

    def _take_in_targets(self, view: TargetView) -> None:
        reports = pool_reports(view, self._known_slots)
        for name, report in reports.items():
            if name not in self._pools:
                settings = share_settings(self._tree.value)
                self._pools[name] = Admission(
                    tree=settings.tree, limits=settings.limits, rng=self._random
                )
                POOL_ADDED.log(log, pool=name, slots=report.slots)
        for name, pool in self._pools.items():
            pool.set_report(reports.get(name, NO_ENGINES))

    def _take_in_members(self, former: MemberView | None, view: MemberView) -> None:
        known = () if former is None else former.members
        heard = {member.incarnation for member in known}
        if all(member.incarnation in heard for member in view.members):
            return
        for pool in self._pools.values():
            pool.request_full_update()

    def _poll(self, name: str, pool: Admission) -> None:
        for decision in pool.poll(self._timers.now):
            waiter = self._waiters[name, decision.ticket]
            waiter.decision = decision
            waiter.decided.set()

    def _release(self, name: str, ticket: int) -> None:
        pool = self._pools[name]
        if pool.release(ticket, self._timers.now):
            self._poll(name, pool)

    def _answer_of(self, ask: AdmissionRequest, waiter: _Waiter) -> Admitted | NotRun:
        decision = waiter.decision
        if isinstance(decision, Granted):
            organisation = _organisation_of(ask.path)
            self._metrics.record(QUEUE_WAIT, decision.waited_s, organisation)
            return Admitted(
                ticket=decision.ticket,
                pool=ask.pool,
                priority=decision.priority,
                waited_s=decision.waited_s,
            )
        assert decision is not None
        answer = decision.answer
        REQUEST_OVERLOADED.log(log, path=ask.path, pool=ask.pool, reason=answer.message)
        return answer

    def _no_pool(self, ask: AdmissionRequest) -> NotRun:
        return NotRun(
            reason=Reason.NO_TARGET,
            message=f"no engine serves {ask.pool}",
            retry_after_s=round(retry_after_s(NO_POOL_RETRY_S, self._random), 2),
        )

    def _tell_peers(self, name: str, pool: Admission, now: float) -> None:
        news = pool.due_update(now)
        if news is None:
            return
        message = message_of(name, news)
        view = self._members.value
        for member in view.reachable:
            if member.incarnation != view.own:
                self._bus.send(member.peers, message, expected=member.incarnation)

    def _publish(self) -> None:
        pools = tuple(_pool_state(name, pool) for name, pool in self._pools.items())
        self._state.publish(AdmissionState(pools=pools))
        slots = sum(pool.slots for pool in pools) or 1
        depth: dict[tuple[str, ...], float] = {}
        used: dict[tuple[str, ...], float] = {}
        entitled: dict[tuple[str, ...], float] = {}
        for pool in pools:
            part = pool.slots / slots
            for one in pool.organisations:
                label = (one.path,)
                depth[label] = depth.get(label, 0.0) + one.waiting_here
                used[label] = used.get(label, 0.0) + one.used * part
                entitled[label] = entitled.get(label, 0.0) + one.entitled * part
        self._metrics.replace(QUEUE_DEPTH, depth)
        self._metrics.replace(SHARE_USED, used)
        self._metrics.replace(SHARE_ENTITLED, entitled)


def _pool_state(name: str, pool: Admission) -> PoolState:
    book = pool.book
    return PoolState(
        pool=name,
        slots=book.slots,
        quota=book.quota,
        running_here=pool.running_count,
        waiting_here=pool.waiting_count,
        peers_heard=book.live_peers,
        organisations=tuple(book.standing()),
    )


def _organisation_of(path: str) -> str:
    names = lineage(path)
    return names[1] if len(names) > 1 else names[0]
