"""Tests of orders where two VMs may both believe that they hold the lease."""

from __future__ import annotations

from typing import Any

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lagoonlever.decisions.orders import orders
from lagoonlever.decisions.orders.orders import (
    LoadBudget,
    OrderHolder,
    OrderReport,
    ReadEngine,
    SendOrder,
    WantedState,
)
from lagoonlever.decisions.targets.targets import ModelKey

ENGINES = ("checking", "ignoring")
TTL_S = 10.0
STEP_S = 0.25
RENEW_EVERY_STEPS = 8
LOADS_PER_S = 1.0
KEYS = tuple(ModelKey(name=name, version="1") for name in ("a", "b", "c"))


@attrs.define
class Engine:
    checks: bool
    report: OrderReport = attrs.field(
        factory=lambda: OrderReport(fencing=0, wanted=WantedState(), actual=WantedState())
    )
    fencing_numbers: list[int] = attrs.field(factory=list)
    reads: int = 0

    def accept(self, order: SendOrder) -> None:
        if self.checks and order.fencing < self.report.fencing:
            return
        self.fencing_numbers.append(order.fencing)
        self.report = OrderReport(fencing=order.fencing, wanted=order.wanted, actual=order.wanted)


@attrs.define
class Vm:
    holder: OrderHolder
    paused: bool = False


@attrs.define(kw_only=True)
class World:
    """A simulated lease in the store, two VMs, two engines, and orders in transit."""

    read_period_s: float = orders.READ_PERIOD_S
    checked_read_period_s: float = orders.CHECKED_READ_PERIOD_S
    checked: frozenset[str] = frozenset({"checking"})
    """The engines that check fencing numbers according to the settings."""
    now: float = 0.0
    steps: int = 0
    platform_up: bool = True
    lease_holder: int | None = None
    lease_until: float = 0.0
    fencing: int = 0
    loads_ordered: int = 0
    delay_orders: bool = False
    desired: dict[str, WantedState] = attrs.field(factory=dict)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    vms: list[Vm] = attrs.field(factory=list)
    in_transit: list[SendOrder] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        for name in ENGINES:
            self.engines[name] = Engine(name == "checking")
            self.desired[name] = WantedState(models=KEYS[:1])
        for _ in range(2):
            budget = LoadBudget(loads_per_s=LOADS_PER_S)
            holder = OrderHolder(
                budget=budget,
                read_period_s=self.read_period_s,
                checked_read_period_s=self.checked_read_period_s,
            )
            self.vms.append(Vm(holder))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.steps += 1
            if self.now >= self.lease_until:
                self.lease_holder = None
            for index, vm in enumerate(self.vms):
                if not vm.paused:
                    self.step(index, vm)

    def step(self, index: int, vm: Vm) -> None:
        if self.platform_up and self.steps % RENEW_EVERY_STEPS == 0:
            self.renew_or_acquire(index, vm)
        for action in vm.holder.next_actions(ENGINES, self.now, checked=self.checked):
            if isinstance(action, ReadEngine):
                self.engines[action.engine].reads += 1
                report = self.engines[action.engine].report
                vm.holder.record_report(action.engine, report, self.now)
            else:
                self.send(vm, action)

    def renew_or_acquire(self, index: int, vm: Vm) -> None:
        if self.lease_holder is None and vm.holder.fencing is None:
            self.fencing += 1
            self.lease_holder, self.lease_until = index, self.now + TTL_S
            vm.holder.record_lease_acquired(fencing=self.fencing, sent_at=self.now, ttl_s=TTL_S)
        elif self.lease_holder != index:
            vm.holder.step_down()
        elif vm.holder.fencing is not None:
            self.lease_until = self.now + TTL_S
            vm.holder.record_lease_renewed(sent_at=self.now, ttl_s=TTL_S)
        if vm.holder.fencing is not None:
            vm.holder.update_wanted(self.desired)

    def send(self, vm: Vm, order: SendOrder) -> None:
        assert vm.holder.may_write(order.fencing, self.now)
        assert order.fencing == self.fencing, "an order was sent after its lease had expired"
        known = self.engines[order.engine].report.actual.models
        self.loads_ordered += len(set(order.wanted.models) - set(known))
        if self.delay_orders:
            self.in_transit.append(order)
        else:
            self.engines[order.engine].accept(order)
        vm.holder.record_order_sent(order.engine)

    def settle(self) -> None:
        self.platform_up = True
        self.delay_orders = False
        for vm in self.vms:
            vm.paused = False
        while self.in_transit:
            self.deliver(0)
        self.run(4 * TTL_S)

    def deliver(self, index: int) -> None:
        order = self.in_transit.pop(index)
        self.engines[order.engine].accept(order)

    def settled(self) -> bool:
        return all(
            engine.report.wanted.same_as(self.desired[name])
            and engine.report.fencing == self.fencing
            for name, engine in self.engines.items()
        )


states = st.builds(
    WantedState,
    models=st.lists(st.sampled_from(KEYS), unique=True, max_size=2).map(tuple),
    draining=st.booleans(),
)


class OrdersMachine(RuleBasedStateMachine):
    """Pauses, outages, late orders and changes of the wanted state, in any sequence."""

    @initialize()
    def start(self) -> None:
        self.world = World()

    @rule(seconds=st.floats(STEP_S, 15.0))
    def advance(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(vm=st.integers(0, 1), paused=st.booleans())
    def pause(self, vm: int, paused: bool) -> None:
        self.world.vms[vm].paused = paused

    @rule(up=st.booleans())
    def platform(self, up: bool) -> None:
        self.world.platform_up = up

    @rule(hold=st.booleans())
    def hold_orders(self, hold: bool) -> None:
        """Delay orders in transit, as if the sender were paused between check and write."""
        self.world.delay_orders = hold

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        if self.world.in_transit:
            last = len(self.world.in_transit) - 1
            self.world.deliver(data.draw(st.integers(0, last)))

    @rule(name=st.sampled_from(ENGINES), state=states)
    def change_wanted(self, name: str, state: WantedState) -> None:
        self.world.desired[name] = state

    @rule()
    def settle(self) -> None:
        self.world.settle()
        assert self.world.settled()

    @invariant()
    def a_checking_engine_never_accepts_a_lower_number(self) -> None:
        if hasattr(self, "world"):
            numbers = self.world.engines["checking"].fencing_numbers
            assert numbers == sorted(numbers)

    @invariant()
    def loads_stay_within_the_rate(self) -> None:
        if hasattr(self, "world"):
            world = self.world
            assert world.loads_ordered <= world.now * LOADS_PER_S + 2 * world.fencing


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def late_order(**options: Any) -> World:
    """Return a world in which a paused holder's order arrives after a new holder's order.

    Guards against an engine that keeps outdated models. The sequence is: the former
    holder checks its lease, is paused, a new holder sends an order, and the former
    holder's write arrives. An engine that ignores the fencing number accepts it.
    """
    world = World(**options)
    world.delay_orders = True
    world.run(6.0)
    assert {order.engine for order in world.in_transit} == set(ENGINES)
    first = next(vm for vm in world.vms if vm.holder.fencing is not None)
    first.paused, world.delay_orders = True, False
    world.desired["ignoring"] = WantedState(models=KEYS[1:])
    world.run(3 * TTL_S)
    assert world.fencing == 2 and world.settled()
    while world.in_transit:
        world.deliver(0)
    assert world.engines["checking"].report.fencing == 2
    assert world.engines["ignoring"].report.fencing == 1
    first.paused = False
    world.run(2 * TTL_S)
    return world


def test_a_late_order_is_corrected() -> None:
    assert late_order().settled()
    assert not late_order(read_period_s=float("inf")).settled()


def test_an_engine_that_checks_numbers_is_read_less_often_but_ordered_as_soon() -> None:
    """Guards against needless reads: 600 engines were read 300 times a second.

    It happens if every engine is read as often as one that ignores fencing numbers,
    though most engines reject the orders of a former holder.
    """
    world = World()
    world.run(600.0)
    reads = {name: engine.reads for name, engine in world.engines.items()}
    assert reads["checking"] * 10 < reads["ignoring"], reads
    for name in ENGINES:
        world.desired[name] = WantedState(models=KEYS[1:2])
    world.run(RENEW_EVERY_STEPS * STEP_S + 2 / LOADS_PER_S + 2 * STEP_S)
    assert world.settled()


@attrs.define
class LargeFleet:
    """A lease holder with 600 engines that respond at once; the first ``dead`` never respond."""

    wanted: WantedState
    dead: int = 0
    loads_per_s: float = 0.1
    reads: list[int] = attrs.field(factory=list)
    """The number of reads in each step."""
    loads: int = 0
    ordered: int = 0

    def run(self, seconds: float) -> None:
        names = [f"engine-{number:03}" for number in range(600)]
        state = WantedState()
        reports = dict.fromkeys(names, OrderReport(fencing=0, wanted=state, actual=state))
        holder = OrderHolder(budget=LoadBudget(loads_per_s=self.loads_per_s))
        holder.record_lease_acquired(fencing=1, sent_at=0.0, ttl_s=10_000.0)
        holder.update_wanted(dict.fromkeys(names, self.wanted))
        for step in range(round(seconds / STEP_S)):
            now = step * STEP_S
            actions = holder.next_actions(names, now)
            for action in actions:
                if action.engine in names[: self.dead]:
                    holder.record_failure(action.engine, now)
                elif isinstance(action, ReadEngine):
                    holder.record_report(action.engine, reports[action.engine], now)
                else:
                    self.loads += len(action.wanted.models)
                    reports[action.engine] = OrderReport(
                        fencing=1, wanted=action.wanted, actual=action.wanted
                    )
                    holder.record_order_sent(action.engine)
            self.reads.append(sum(isinstance(action, ReadEngine) for action in actions))
        self.ordered = sum(report.fencing == 1 for report in reports.values())


def test_the_reads_of_a_large_fleet_stay_within_their_rate() -> None:
    """Guards against a lease holder that serves its callers late in a fleet of hundreds.

    It happens if each engine is read every 2 s regardless of the size of the fleet,
    and all engines are read at once when a VM acquires the lease.
    """
    fleet = LargeFleet(WantedState())
    fleet.run(180.0)
    assert fleet.ordered == 600 and max(fleet.reads) <= orders.MAX_READS_PER_STEP
    # Two reads for the first order of each engine, and then the periodic reads.
    assert sum(fleet.reads) <= 2 * 600 + 180 * orders.MAX_READS_PER_S


def test_engines_that_wait_for_the_load_budget_are_not_read_meanwhile() -> None:
    """Guards against reading every engine each second while a version is rolled out to all.

    An order needs a recent report. The fault comes about if the report is read before
    the check whether the weight store's load budget allows the order.
    """
    fleet = LargeFleet(WantedState(models=KEYS[:1]))
    fleet.run(180.0)
    assert 16 <= fleet.loads <= 18
    assert sum(fleet.reads) <= 600 + 3 * fleet.loads + 180 * orders.MAX_READS_PER_S


@pytest.mark.parametrize("guarded", [True, False])
def test_a_reacquired_lease_starts_with_an_empty_load_budget(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two loads at once when the lease moves to another VM and back.

    It happens if the VM keeps a token that accrued while the other VM ordered loads.
    """
    if not guarded:
        monkeypatch.setattr(LoadBudget, "start_empty", lambda self, now: None)
    holder = OrderHolder(budget=LoadBudget(loads_per_s=LOADS_PER_S))
    holder.record_lease_acquired(fencing=1, sent_at=0.0, ttl_s=TTL_S)
    holder.step_down()
    holder.record_lease_acquired(fencing=2, sent_at=100.0, ttl_s=TTL_S)
    holder.update_wanted({"ignoring": WantedState(models=KEYS[:1])})
    holder.next_actions(ENGINES, 100.0)
    empty = OrderReport(fencing=1, wanted=WantedState(), actual=WantedState())
    holder.record_report("ignoring", empty, 100.0)
    assert bool(holder.next_actions(ENGINES, 100.25)) is not guarded
    assert bool(holder.next_actions(ENGINES, 101.0)) is guarded


def test_dead_engines_do_not_delay_others() -> None:
    """Guards against dead engines that use up all reads, as when a data centre is lost.

    The engines of the other data centres would then get no orders.
    """
    fleet = LargeFleet(WantedState(), dead=200)
    fleet.run(60.0)
    assert fleet.ordered == 400


def test_a_late_order_is_corrected_where_the_settings_are_wrong() -> None:
    """Guards against a late order staying in force on an engine listed by mistake.

    The settings say that it checks fencing numbers, but it ignores them.
    """
    for period_s, corrected in ((orders.CHECKED_READ_PERIOD_S, True), (float("inf"), False)):
        world = late_order(checked=frozenset(ENGINES), checked_read_period_s=period_s)
        world.run(orders.CHECKED_READ_PERIOD_S)
        assert world.settled() is corrected


def test_a_holder_that_resumes_after_its_lease_sends_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two VMs that send orders to one engine.

    A holder resumes after its lease has expired. The store reports the loss only at
    the next renewal, so without the check of the lease's validity it would order at once.
    """

    def sends_after_resume() -> bool:
        world = World()
        world.run(4.0)
        holder = next(vm for vm in world.vms if vm.holder.fencing is not None)
        holder.paused = True
        world.desired["ignoring"] = WantedState(models=KEYS[1:])
        world.run(3 * TTL_S)
        return bool(holder.holder.next_actions(ENGINES, world.now))

    assert not sends_after_resume()
    monkeypatch.setattr(
        OrderHolder, "may_write", lambda self, fencing, now: self._fencing == fencing
    )
    assert sends_after_resume()
