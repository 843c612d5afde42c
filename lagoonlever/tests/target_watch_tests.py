"""Tests of who may be given work: several VMs' knowledge of the targets under cuts and pauses."""

from __future__ import annotations

import random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.decisions.membership import Member, MemberState, MemberView
from lagoonlever.decisions.target_freshness import Belief, ListFreshness
from lagoonlever.decisions.target_listing import HOLD_S, ListedTarget, TargetListing
from lagoonlever.decisions.target_listing import TargetListReading as Reading
from lagoonlever.decisions.target_watch import (
    Send,
    TargetKnowledge,
    TargetLeavingNews,
    TargetListAnswer,
    TargetListAsk,
)
from lagoonlever.decisions.targets import TargetKind
from lagoonlever.history.checkers import Violation
from lagoonlever.history.checkers.leaving_target import GRACE_S, check
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_targets import EngineTook, TargetListed
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

VMS = 5
STEP_S = 0.1
READ_EVERY_STEPS = 10
ASK_EVERY_STEPS = 4
SUSPECT_AFTER_S = 3.0
NAMES = ("engine-1", "engine-2")


def target_address(index: int, life: int) -> Address:
    return Address(host=f"10.0.1.{index}", port=8000 + life)


@attrs.define(kw_only=True)
class Vm:
    """One VM: its knowledge, what reaches it, and how far its copy of the list lags."""

    index: int
    knowledge: TargetKnowledge
    platform: bool = True
    side: int = 0
    paused: bool = False
    lag_steps: int = 0
    inbox: list[tuple[Address, object]] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Fleet:
    """A fleet in virtual time; work is offered to every target by every VM in each step."""

    hold_s: float = HOLD_S
    fresh_s: float | None = None
    news: bool = True
    checks_before_dispatch: bool = True
    strict: bool = False
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    steps: int = 0
    vms: list[Vm] = attrs.field(factory=list)
    lists: list[tuple[ListedTarget, ...]] = attrs.field(factory=list)
    held: list[tuple[Vm, Vm, object]] = attrs.field(factory=list)
    cut_at: float | None = None
    views: dict[tuple[object, ...], MemberView] = attrs.field(factory=dict)
    history: list[HistoryEvent] = attrs.field(factory=list)
    first_read_leaving: dict[tuple[str, Address], float] = attrs.field(factory=dict)
    exempt_until: dict[int, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.lists.append(
            tuple(
                ListedTarget(name=name, address=target_address(i, 0), kind=TargetKind.ENGINE)
                for i, name in enumerate(NAMES)
            )
        )
        self.vms.extend(Vm(index=index, knowledge=self.knowledge(index)) for index in range(VMS))

    @property
    def now(self) -> float:
        return round(self.steps * STEP_S, 6)

    def knowledge(self, index: int) -> TargetKnowledge:
        fresh = {} if self.fresh_s is None else {"fresh_s": self.fresh_s}
        return TargetKnowledge(
            own=self.peer_address(index),
            rng=self.rng,
            members=self.members(index, 0),
            listing=TargetListing(hold_s=self.hold_s),
            freshness=ListFreshness(**fresh),
        )

    def peer_address(self, index: int) -> Address:
        return Address(host=f"10.0.0.{index}", port=7000)

    def members(self, own: int, side: int) -> MemberView:
        """Give the view of a VM: after a while it calls dead whoever is beyond the cut."""
        lost = self.cut_at is not None and self.now - self.cut_at > SUSPECT_AFTER_S
        key = (own, side, lost, tuple(vm.side for vm in self.vms))
        if key not in self.views:
            self.views[key] = self.new_view(own, side, lost)
        return self.views[key]

    def new_view(self, own: int, side: int, lost: bool) -> MemberView:
        members = []
        for index in range(VMS):
            beyond = lost and self.vms[index].side != side
            members.append(
                Member(
                    incarnation=Incarnation(name=f"vm-{index}", started_ms=1, nonce=1),
                    data_center="a",
                    http=Address(host=f"10.0.0.{index}", port=8000),
                    peers=self.peer_address(index),
                    state=MemberState.DEAD if beyond else MemberState.ALIVE,
                )
            )
        return MemberView(members=tuple(members), own=members[own].incarnation)

    def change(self, index: int, *, leaving: bool, life: int | None = None) -> None:
        """Change one entry of the platform's list."""
        entries = list(self.lists[-1])
        address = entries[index].address if life is None else target_address(index, life)
        entries[index] = attrs.evolve(entries[index], address=address, leaving=leaving)
        self.lists.extend([self.lists[-1]] * (self.steps + 1 - len(self.lists)))
        self.lists[-1] = tuple(entries)
        state = "leaving" if leaving else "live"
        self.history.append(
            TargetListed(at=self.now, process="platform", target=NAMES[index], state=state)
        )

    def current(self, steps_ago: int = 0) -> tuple[ListedTarget, ...]:
        return self.lists[min(len(self.lists) - 1, max(0, self.steps - steps_ago))]

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.steps += 1
            for vm in self.vms:
                if not vm.paused:
                    self.step(vm)
            for vm in self.vms:
                self.note_exempt(vm)
                if not vm.paused:
                    self.offer_work(vm)

    def step(self, vm: Vm) -> None:
        vm.knowledge.members_changed(self.members(vm.index, vm.side), self.now)
        inbox, vm.inbox = vm.inbox, []
        for _, message in inbox:
            self.deliver(vm, message)
        if vm.platform and self.steps % READ_EVERY_STEPS == vm.index:
            listed = self.current(vm.lag_steps)
            for target in listed:
                if target.leaving:
                    self.first_read_leaving.setdefault((target.name, target.address), self.now)
            self.send(vm, vm.knowledge.read(Reading(targets=listed, read_at=self.now)))
        if self.steps % ASK_EVERY_STEPS == 0:
            self.send(vm, vm.knowledge.tick(self.now))

    def deliver(self, vm: Vm, message: object) -> None:
        match message:
            case TargetLeavingNews():
                self.send(vm, vm.knowledge.heard(message, self.now))
            case TargetListAsk():
                self.send(vm, vm.knowledge.asked(message, self.now))
            case TargetListAnswer():
                self.send(vm, vm.knowledge.answered(message, self.now))

    def send(self, vm: Vm, sends: list[Send]) -> None:
        if not self.news:
            return
        for send in sends:
            receiver = next(v for v in self.vms if self.peer_address(v.index) == send.to)
            if receiver.side != vm.side:
                self.held.append((vm, receiver, send.message))
            else:
                receiver.inbox.append((send.to, send.message))

    def heal(self) -> None:
        """End the cut; what was sent meanwhile arrives only now, in its order."""
        for vm in self.vms:
            vm.side = 0
        self.cut_at = None
        for _, receiver, message in self.held:
            receiver.inbox.append((self.peer_address(receiver.index), message))
        self.held.clear()

    def note_exempt(self, vm: Vm) -> None:
        """Except a larger side without the list: it can't tell its cut from an outage for all."""
        side = [other for other in self.vms if other.side == vm.side]
        if 2 * len(side) > VMS and not any(other.platform and not other.paused for other in side):
            self.exempt_until[vm.index] = self.now + GRACE_S

    def offer_work(self, vm: Vm) -> None:
        for target in self.current():
            address = target.address
            may = vm.knowledge.may_dispatch(target.name, address, self.now)
            if not may and self.checks_before_dispatch:
                continue
            self.history.append(
                EngineTook(
                    at=self.now,
                    process=target.name,
                    target=target.name,
                    stream=f"{vm.index}-{self.steps}",
                    prompt_tokens=1,
                    max_tokens=1,
                    seed=0,
                    model_version="1",
                )
            )
            if self.strict:
                self.judge(vm, target.name, address)

    def judge(self, vm: Vm, name: str, address: Address) -> None:
        read_at = self.first_read_leaving.get((name, address))
        entry = next(target for target in self.current() if target.name == name)
        if read_at is None or not entry.leaving:
            return
        if self.now <= self.exempt_until.get(vm.index, -1.0):
            return
        assert self.now - read_at <= GRACE_S, (
            f"vm-{vm.index} gave work {self.now - read_at:.1f} s after {name} was read as leaving"
        )


class TargetKnowledgeMachine(RuleBasedStateMachine):
    """Cuts, pauses, late lists and changes of the list in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.fleet = Fleet(rng=random.Random(seed), strict=True)
        self.lives = [0, 0]
        self.fleet.run(30)

    @rule(steps=st.integers(1, 60))
    def advance(self, steps: int) -> None:
        self.fleet.run(steps)

    @rule(index=st.integers(0, 1))
    def leave(self, index: int) -> None:
        self.fleet.change(index, leaving=True)

    @rule(index=st.integers(0, 1))
    def return_elsewhere(self, index: int) -> None:
        self.lives[index] += 1
        self.fleet.change(index, leaving=False, life=self.lives[index])

    @rule(vm=st.integers(0, VMS - 1), reachable=st.booleans())
    def reach_platform(self, vm: int, reachable: bool) -> None:
        self.fleet.vms[vm].platform = reachable

    @rule(sides=st.lists(st.integers(0, 1), min_size=VMS, max_size=VMS))
    def cut(self, sides: list[int]) -> None:
        for vm, side in zip(self.fleet.vms, sides, strict=True):
            vm.side = side
        self.fleet.cut_at = self.fleet.now

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule(vm=st.integers(0, VMS - 1), lag_steps=st.integers(0, 150))
    def lag(self, vm: int, lag_steps: int) -> None:
        if not self.fleet.vms[vm].paused:
            self.fleet.vms[vm].lag_steps = lag_steps

    @rule(vm=st.integers(0, VMS - 1), paused=st.booleans())
    def pause(self, vm: int, paused: bool) -> None:
        self.fleet.vms[vm].paused = paused
        self.fleet.vms[vm].lag_steps = 0

    @precondition(lambda self: any(vm.paused for vm in self.fleet.vms))
    @rule()
    def work_waits_in_a_paused_vm(self) -> None:
        """Offer work in a VM that wakes, before it takes in anything that came meanwhile."""
        for vm in self.fleet.vms:
            if vm.paused:
                self.fleet.note_exempt(vm)
                self.fleet.offer_work(vm)

    @rule()
    def all_is_well_for_a_while(self) -> None:
        self.fleet.heal()
        for vm in self.fleet.vms:
            vm.platform, vm.paused, vm.lag_steps = True, False, 0
        self.fleet.run(int((HOLD_S + 5.0) / STEP_S))
        for vm in self.fleet.vms:
            assert vm.knowledge.belief(self.fleet.now) is Belief.FRESH
            for target in self.fleet.current():
                may = vm.knowledge.may_dispatch(target.name, target.address, self.fleet.now)
                assert may is not target.leaving

    @invariant()
    def targets_agree_with_the_guard(self) -> None:
        fleet = getattr(self, "fleet", None)
        for vm in fleet.vms if fleet else ():
            for target in vm.knowledge.targets(fleet.now):
                may = vm.knowledge.may_dispatch(target.name, target.address, fleet.now)
                assert target.takes_work == may


TestTargetKnowledge = TargetKnowledgeMachine.TestCase
TestTargetKnowledge.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def violations(fleet: Fleet) -> list[Violation]:
    return check(fleet.history)


def cut_from_platform(*, news: bool) -> Fleet:
    """One VM has lost the platform; a target leaves.

    A user's request at that VM would go to a target that is taken away.
    Order: cut, listing, requests. Cause: its own list is older than the listing.
    """
    fleet = Fleet(news=news, fresh_s=None if news else float("inf"))
    fleet.run(30)
    fleet.vms[2].platform = False
    fleet.run(2)
    fleet.change(0, leaving=True)
    fleet.run(100)
    return fleet


def test_a_vm_cut_from_the_platform_learns_from_peers() -> None:
    assert violations(cut_from_platform(news=True)) == []
    assert violations(cut_from_platform(news=False)) != []


def isolated(*, fresh_s: float | None) -> Fleet:
    """One VM loses the platform and its peers; a target leaves; then the cut heals.

    A user's request at that VM would go to the leaving target for as long as
    the cut lasts. Cause: nobody can tell the VM; silence has to stop it.
    """
    fleet = Fleet(fresh_s=fresh_s)
    fleet.run(30)
    fleet.vms[4].platform = False
    fleet.vms[4].side = 1
    fleet.cut_at = fleet.now
    fleet.change(1, leaving=True)
    fleet.run(200)
    fleet.heal()
    fleet.run(20)
    return fleet


def test_an_isolated_vm_gives_no_work() -> None:
    assert violations(isolated(fresh_s=None)) == []
    assert violations(isolated(fresh_s=float("inf"))) != []


def test_the_smaller_side_of_a_cut_goes_on_counting_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Give no work in an isolated VM whose membership calls all others dead.

    A user's request would go to a target that left minutes ago. Order: cut,
    the others declared dead, listing. Cause: counting only whoever is alive
    makes any VM the majority of itself.
    """

    def count_the_living(self: ListFreshness, members: MemberView, now: float) -> None:
        living = (m.peers for m in members.alive if m.incarnation != members.own)
        self._peers = self._staying = dict.fromkeys(living)

    assert violations(isolated(fresh_s=None)) == []
    monkeypatch.setattr(ListFreshness, "members_changed", count_the_living)
    assert violations(isolated(fresh_s=None)) != []


def late_copy(*, hold_s: float) -> Fleet:
    """Let a VM read a copy of the list from before a target left.

    A user's request would go to the leaving target again. Order: listing, news,
    an older copy. Cause: copies of the list lag by different times.
    """
    fleet = Fleet(hold_s=hold_s)
    fleet.run(30)
    fleet.change(0, leaving=True)
    fleet.run(20)
    fleet.vms[1].lag_steps = 100
    fleet.run(60)
    return fleet


def test_an_older_copy_of_the_list_brings_no_target_back() -> None:
    assert violations(late_copy(hold_s=HOLD_S)) == []
    assert violations(late_copy(hold_s=0.0)) != []


def queued(*, checks: bool) -> Fleet:
    """Let requests and hedges wait at each VM for a target that leaves meanwhile.

    A user's request would be written to a target that is going away. Order:
    choice, listing, write. Cause: the choice is not asked again.
    """
    fleet = Fleet(checks_before_dispatch=checks)
    fleet.run(30)
    fleet.change(0, leaving=True)
    fleet.run(60)
    return fleet


def test_queued_work_is_checked_before_it_is_written() -> None:
    assert violations(queued(checks=True)) == []
    assert violations(queued(checks=False)) != []


def test_an_outage_of_the_platform_for_all_stops_nobody() -> None:
    fleet = Fleet()
    fleet.run(30)
    for vm in fleet.vms:
        vm.platform = False
    fleet.run(600)
    for vm in fleet.vms:
        assert vm.knowledge.belief(fleet.now) is Belief.PLATFORM_OUTAGE
        assert vm.knowledge.may_dispatch(NAMES[0], target_address(0, 0), fleet.now)
