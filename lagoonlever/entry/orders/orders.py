"""The orders part of a VM: tries to hold the lease, and gives orders while it does."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.config.options import option
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.orders.orders import (
    MAX_READS_PER_S,
    ORDER_TIMEOUT_S,
    LoadBudget,
    OrderHolder,
    ReadEngine,
    SendOrder,
)
from lagoonlever.decisions.targets.targets import TargetKind, TargetView
from lagoonlever.entry.orders.store import WantedStore, WantedUnreadable
from lagoonlever.events import event
from lagoonlever.exceptions import ConnectFailed, PeerError, PlatformError
from lagoonlever.published import Published
from lagoonlever.store.port import Lapsed, Lease, NewKey, Platform
from lagoonlever.targets.orders import OrderAnswer, give_order, read_order
from lagoonlever.timers import TimerService
from lagoonlever.tree.nodes import ROOT, TreeView

log = logbook.Logger(__name__)

HOLDER_KEY = "lagoonlever/orders/holder"
CANDIDATES = 3
"""VMs that try for the lease: more would only add calls on the platform."""
STEP_S = 0.25
REVOKE_TIMEOUT_S = 1.0

ORDERS_HELD = event(
    750,
    "orders-held",
    "notice",
    "This VM gives the engines' orders, by number {fencing}.",
    "One VM holds the lease for orders at a time; any may. Nothing to do.",
)
ORDERS_LOST = event(
    751,
    "orders-lost",
    "notice",
    "This VM no longer gives the engines' orders.",
    "The lease lapsed, a newer holder was met, or the platform is down. Another VM takes over.",
)
ORDERS_WANTED_BAD = event(
    752,
    "orders-wanted-bad",
    "error",
    "The wanted states of engines can't be read: {error}; those read before stand.",
    "The document under lagoonlever/orders/wanted is malformed. Put it right; until then "
    "a VM that takes over gives no orders.",
)
ORDER_REFUSED = event(
    753,
    "order-refused",
    "warning",
    "Engine {engine} refused the order numbered {fencing}.",
    "The engine took an order with a greater number. A newer holder exists.",
)


@attrs.frozen(kw_only=True)
class OrderSettings:
    """The section ``orders`` of a VM's settings."""

    enabled: bool = option(default=True, doc="Whether this VM may give orders to engines.")
    lease_s: float = option(default=10.0, at_least=4, at_most=120, doc="Seconds of the lease.")
    wanted_period_s: float = option(
        default=5.0, at_least=0.1, at_most=600, doc="Seconds between reads of what is wanted."
    )
    loads_per_minute: float = option(
        default=6.0, at_least=0.01, at_most=10000, doc="Loads that the weight store can feed."
    )
    reads_per_s: float = option(
        default=MAX_READS_PER_S,
        at_least=0.1,
        at_most=1000,
        doc="Reads of engines that have all they are to have, a second, over all engines.",
    )


@attrs.define(kw_only=True, eq=False)
class OrdersPart:
    """Owns the lease and the orders of one VM."""

    _own_name: str
    _platform: Platform
    _members: Published[MemberView]
    _targets: Published[TargetView]
    _tree: Published[TreeView]
    _timers: TimerService
    _random: random.Random
    _settings: OrderSettings = attrs.field(factory=OrderSettings)
    _holder: OrderHolder = attrs.field(init=False)
    _lease: Lease | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        budget = LoadBudget(loads_per_s=self._settings.loads_per_minute / 60.0)
        self._holder = OrderHolder(budget=budget, reads_per_s=self._settings.reads_per_s)

    @property
    def fencing(self) -> int | None:
        """The number that this VM's orders carry now, or None."""
        return self._holder.fencing

    async def run(self) -> None:
        """Try to hold the lease, and give orders while holding it, until cancelled."""
        if not self._settings.enabled:
            return
        try:
            while True:
                if self._is_candidate():
                    await self._try_once()
                await trio.sleep(self._settings.lease_s / 2 * self._random.uniform(0.8, 1.2))
        finally:
            await self._give_up()

    def _is_candidate(self) -> bool:
        names = sorted(member.name for member in self._members.value.alive)
        return self._own_name in names[:CANDIDATES]

    async def _try_once(self) -> None:
        try:
            if not await self._acquire():
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._give_orders)
                nursery.start_soon(self._read_wanted)
                await self._renew()
                nursery.cancel_scope.cancel()
        except PlatformError:
            pass
        finally:
            await self._give_up()

    async def _acquire(self) -> bool:
        """Claim the holder's key under a lease; its revision is the fencing number.

        A lost answer leaves a key that nobody holds until its lease lapses,
        which only delays the next holder.
        """
        if (await self._platform.get(HOLDER_KEY)).entry is not None:
            return False
        sent_at = self._timers.now
        self._lease = await self._platform.grant_lease(self._settings.lease_s)
        key = NewKey(key=HOLDER_KEY, value=self._own_name.encode(), lease=self._lease.id)
        claim = await self._platform.claim([key])
        if not claim.keys[0].created:
            return False
        self._holder.record_lease_acquired(
            fencing=claim.revision.number, sent_at=sent_at, ttl_s=self._lease.ttl_s
        )
        ORDERS_HELD.log(log, fencing=claim.revision.number)
        return True

    async def _renew(self) -> None:
        """Return when the lease is lost, or a newer holder was met."""
        while self._lease is not None and self._holder.fencing is not None:
            await trio.sleep(self._settings.lease_s / 4)
            sent_at = self._timers.now
            try:
                renewal = await self._platform.keep_alive(self._lease)
            except PlatformError:
                if self._may_write():
                    continue
                return
            if isinstance(renewal, Lapsed):
                return
            self._holder.record_lease_renewed(sent_at=sent_at, ttl_s=renewal.ttl_s)

    async def _read_wanted(self) -> None:
        store = WantedStore(platform=self._platform)
        while True:
            try:
                read = await store.read()
                self._holder.update_wanted(read.document.engines)
            except WantedUnreadable as error:
                ORDERS_WANTED_BAD.log(log, error=str(error))
            except PlatformError:
                pass
            await trio.sleep(self._settings.wanted_period_s)

    async def _give_orders(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                engines = {
                    target.name
                    for target in self._targets.value.targets
                    if target.kind is TargetKind.ENGINE
                }
                checked = self._tree.value.resolve(ROOT).fencing_checked
                actions = self._holder.next_actions(engines, self._timers.now, checked=checked)
                for action in actions:
                    if isinstance(action, ReadEngine):
                        nursery.start_soon(self._read, action)
                    else:
                        nursery.start_soon(self._give, action)
                await trio.sleep(STEP_S)

    async def _read(self, action: ReadEngine) -> None:
        target = self._targets.value.find(action.engine)
        if target is None:
            self._holder.record_failure(action.engine, self._timers.now)
            return
        read_at = self._timers.now
        try:
            report = await read_order(target.address, timeout_s=ORDER_TIMEOUT_S)
        except PeerError:
            self._holder.record_failure(action.engine, self._timers.now)
            return
        self._holder.record_report(action.engine, report, read_at)

    async def _give(self, order: SendOrder) -> None:
        target = self._targets.value.find(order.engine)
        if target is None:
            self._holder.record_failure(order.engine, self._timers.now)
            return
        try:
            answer = await give_order(
                target.address,
                order,
                timeout_s=ORDER_TIMEOUT_S,
                may_write=lambda: self._holder.may_write(order.fencing, self._timers.now),
            )
        except ConnectFailed:
            self._holder.record_failure(order.engine, self._timers.now)
            return
        except PeerError:
            answer = OrderAnswer.TAKEN
        if answer is OrderAnswer.REFUSED:
            ORDER_REFUSED.log(log, engine=order.engine, fencing=order.fencing)
        self._holder.record_order_sent(order.engine)

    def _may_write(self) -> bool:
        fencing = self._holder.fencing
        return fencing is not None and self._holder.may_write(fencing, self._timers.now)

    async def _give_up(self) -> None:
        if self._holder.fencing is not None:
            ORDERS_LOST.log(log)
        self._holder.step_down()
        lease, self._lease = self._lease, None
        if lease is None:
            return
        with trio.move_on_after(REVOKE_TIMEOUT_S, shield=True):
            try:
                await self._platform.revoke(lease)
            except PlatformError:
                return
