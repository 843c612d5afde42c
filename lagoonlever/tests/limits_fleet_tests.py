"""Limits that targets name, kept by fleets of nine and of hundreds of VMs together."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, FleetVm, run_fleet, start_many
from lagoonlever.decisions.fleet.roles import assign_roles
from lagoonlever.decisions.targets.limit_permits import MIN_REQUIRED_PERMITS, Granted
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.decisions.targets.reported_limits import ReportedLimits
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.permit_exchange import PermitExchange
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.target_limits import TargetLimits
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages_limits import PermitAsk, WordTold
from lagoonlever.revisions import Revision
from lagoonlever.tests.target_limits_tests import most_allowed, most_arrived
from lagoonlever.tests.working_time import WAITS_AT_MOST_S, works_at_most

pytestmark = pytest.mark.timeout(WAITS_AT_MOST_S)

FLEETS = {9: 0.9, 75: 0.8, 195: 0.8, 300: 0.8}
"""The part of a limit that is to be used, by the number of VMs."""
MOST_SPEAKING = 195
"""In a larger fleet their words of presence take minutes of this process."""
SETTLED_S = 6.0
KNOWN_S = 3.0
LONG_S = 8.0
ANSWERS_S = 0.1
"""In which what was granted before the end of a VM arrives."""
STANDS_IN_S = 0.9
LOSS = 0.02
DUPLICATION = 0.05
"""Of the messages between VMs."""
SOME_FLEETS = (9, 195)
PER_S = 2.8
DEMAND = 4.0
"""Requests a second, as a multiple of the limit."""
ANSWER_S = 0.05
WORK_S = 120.0
"""Of the processor's time, for one story of a fleet."""
TARGET = ListedTarget(
    id="t", service="apps", address=Address(host="10.0.9.1", port=1), data_center="dc-0"
)


@pytest.fixture(autouse=True)
def in_working_time() -> Iterator[None]:
    """Bound each story by what it works."""
    with works_at_most(WORK_S):
        yield


@attrs.define(kw_only=True, eq=False)
class Target:
    """A target in need: what it has got, and what it names."""

    limit: float | None = PER_S
    arrived: list[float] = attrs.field(factory=list)

    async def answer(self) -> AnswerHead:
        """Take a request and answer it."""
        self.arrived.append(trio.current_time())
        await trio.sleep(ANSWER_S)
        return AnswerHead(
            status=200,
            request_id="r",
            sealed=True,
            refused=False,
            target_id=None,
            load=None,
            idle_s=None,
            closes=False,
            limit_per_s=self.limit,
        )


@attrs.define(kw_only=True, eq=False)
class LimitVm:
    """One VM's share in keeping to limits."""

    vm: FleetVm
    limits: TargetLimits

    async def request(self, target: Target) -> None:
        """Send one request, if that may be."""
        if not self.limits.open([TARGET], need=MIN_REQUIRED_PERMITS):
            return
        permit = await self.limits.permit("t", need=MIN_REQUIRED_PERMITS)
        if isinstance(permit, Granted) and self.limits.covers("t", permit):
            sent_at = trio.current_time()
            self.limits.heard("t", await target.answer(), sent_at=sent_at)


def limit_vm(vm: FleetVm) -> LimitVm:
    """Give a VM its part in keeping to limits."""
    name, named, roles = vm.state.life.name, ReportedLimits(), vm.presence.roles
    change = TargetChange(id="t", target=TARGET, revision=Revision(number=1))
    vm.beliefs.targets.apply_change(change, now=0.0, store_back_at=None)
    permits = PermitExchange(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=vm.timers,
        roles=roles,
        vm=name,
        leaving=lambda: False,
        named=named,
    )
    limits = TargetLimits(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=vm.timers,
        tally=Tally(),
        rng=random.Random(name),
        named=named,
        permits=permits,
        spread=HubSpread(bus=vm.bus, beliefs=vm.beliefs, roles=roles, own=name),
    )
    vm.presence.on_meeting(limits.greet)
    return LimitVm(vm=vm, limits=limits)


@pytest.mark.parametrize(("told_ms", "counts"), [(200, True), (50, False), (None, True)])
def test_a_limit_of_a_later_process_than_is_listed_counts(
    told_ms: int | None, counts: bool
) -> None:
    """Guards against a VM that lists a former process, and sends more than the new one takes."""

    async def story(fleet: Fleet) -> None:
        vm = fleet.start("vm-0")
        limits = limit_vm(vm).limits
        entry = attrs.evolve(TARGET, started_ms=100)
        change = TargetChange(id="t", target=entry, revision=Revision(number=2))
        vm.beliefs.targets.apply_change(change, now=0.0, store_back_at=None)
        told = WordTold(target="t", per_s=PER_S, age_s=0.0, started_ms=told_ms)
        assert limits._permits.learn(told) == counts

    run_fleet(story)


def meet(vms: list[FleetVm]) -> None:
    """Have all VMs know each other for good, without a word between them."""
    states = [vm.state for vm in vms]
    for vm in vms:
        for scope in vm.scopes:
            scope.cancel()
        vm.beliefs.fellows.silent_s = float("inf")
        for state in states:
            vm.beliefs.fellows.record_state(state, trio.current_time())
        others = [state for state in states if state != vm.state]
        vm.presence.roles.publish(assign_roles(vm.state, others))


async def started(fleet: Fleet, count: int) -> list[LimitVm]:
    start_many(fleet, count)
    if count > MOST_SPEAKING:
        meet(list(fleet.vms.values()))
    else:
        await trio.sleep(SETTLED_S)
    vms = [limit_vm(vm) for vm in fleet.vms.values()]
    for vm in vms:
        fleet.nursery.start_soon(vm.vm.run, vm.limits.run)
    await trio.sleep(0.1)
    return vms


async def load(vms: list[LimitVm], target: Target, seconds: float) -> None:
    """Have requests come at random VMs; those of one that has been killed are lost."""
    rng, ends = random.Random(3), trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends:
            await trio.sleep(rng.expovariate(DEMAND * PER_S))
            nursery.start_soon(rng.choice(vms).request, target)


@pytest.mark.parametrize("count", FLEETS)
def test_a_fleet_keeps_to_a_limit_and_uses_it(count: int) -> None:
    """Guards against sums beyond a limit: one request each of 75 VMs is too many already."""

    async def story(fleet: Fleet) -> None:
        vms, target = await started(fleet, count), Target()
        fleet.network.loss, fleet.network.duplication = LOSS, DUPLICATION
        began = trio.current_time()
        await load(vms, target, KNOWN_S + LONG_S)
        assert most_arrived(target.arrived, since=began + KNOWN_S) <= most_allowed(PER_S)
        used = sum(1 for at in target.arrived if at >= began + KNOWN_S)
        assert used >= FLEETS[count] * PER_S * LONG_S - 2

    run_fleet(story)


@pytest.mark.parametrize("count", SOME_FLEETS)
def test_a_limit_is_kept_as_the_vm_that_counts_dies_and_comes_back(count: int) -> None:
    """Guards against two VMs that count for one target, and against none for long."""

    async def story(fleet: Fleet) -> None:
        vms, target = await started(fleet, count), Target()
        began = trio.current_time()
        await load(vms, target, KNOWN_S)
        counter = vms[0].limits.counter("t")
        assert counter is not None
        fleet.kill(counter)
        vms = [vm for vm in vms if vm.vm.state.life.name != counter]
        await load(vms, target, LONG_S / 2)
        back = limit_vm(fleet.start(counter))
        fleet.nursery.start_soon(back.vm.run, back.limits.run)
        await load([*vms, back], target, LONG_S)
        assert most_arrived(target.arrived, since=began + KNOWN_S) <= most_allowed(PER_S)
        late = sum(1 for at in target.arrived if at >= trio.current_time() - LONG_S)
        assert late >= 0.7 * PER_S * LONG_S

    run_fleet(story)


@pytest.mark.parametrize("count", SOME_FLEETS)
def test_a_part_of_a_limit_is_used_at_once_after_the_vm_that_counts_has_died(count: int) -> None:
    """Guards against a target that gets nothing until the others leave a dead VM out."""

    async def story(fleet: Fleet) -> None:
        vms, target = await started(fleet, count), Target()
        began = trio.current_time()
        await load(vms, target, KNOWN_S)
        counter = vms[0].limits.counter("t")
        assert counter is not None
        fleet.kill(counter)
        killed = trio.current_time()
        vms = [vm for vm in vms if vm.vm.state.life.name != counter]
        await load(vms, target, LONG_S / 2)
        assert any(killed + ANSWERS_S < at < killed + STANDS_IN_S for at in target.arrived)
        assert most_arrived(target.arrived, since=began + KNOWN_S) <= most_allowed(PER_S)

    run_fleet(story)


@pytest.mark.parametrize("count", (3, 9, 195))
def test_a_limit_is_kept_while_the_vm_that_counts_is_slow_to_answer(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two VMs that count for one target: the slow one still counts for itself."""
    slow: list[str] = []
    answer = PermitExchange._answer

    def answer_unless_slow(
        permits: PermitExchange, asked: PermitAsk, nursery: trio.Nursery
    ) -> None:
        if permits._vm not in slow:
            answer(permits, asked, nursery)

    monkeypatch.setattr(PermitExchange, "_answer", answer_unless_slow)

    async def story(fleet: Fleet) -> None:
        vms, target = await started(fleet, count), Target()
        began = trio.current_time()
        await load(vms, target, KNOWN_S)
        counter = vms[0].limits.counter("t")
        assert counter is not None
        slow.append(counter)
        own = [vm for vm in vms if vm.vm.state.life.name == counter]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load, own, target, LONG_S)
            await load(vms, target, LONG_S)
        assert most_arrived(target.arrived, since=began + KNOWN_S) <= most_allowed(PER_S)

    run_fleet(story)


@pytest.mark.parametrize("count", SOME_FLEETS)
def test_the_end_of_a_limit_reaches_every_vm(count: int) -> None:
    async def story(fleet: Fleet) -> None:
        vms, target = await started(fleet, count), Target()
        await load(vms, target, 3.0)
        target.limit = None
        await load(vms, target, 3.0)
        assert [vm.limits.limit_of("t") for vm in vms] == [None] * len(vms)

    run_fleet(story)
