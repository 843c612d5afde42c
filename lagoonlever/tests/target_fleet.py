"""A simulated fleet of VMs and their lists of targets, in virtual time.

It has network partitions, pauses of VMs and lists that are out of date.
"""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.targets.freshness import ListFreshness
from lagoonlever.decisions.targets.listing import HOLD_S, ListEntry, TargetListing
from lagoonlever.decisions.targets.listing import TargetListReading as Reading
from lagoonlever.decisions.targets.targets import TargetKind
from lagoonlever.decisions.targets.watch import (
    Send,
    TargetKnowledge,
    TargetLeavingNews,
    TargetListAnswer,
    TargetListAsk,
)
from lagoonlever.history.checkers.leaving_target import GRACE_S
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


def target_address(index: int, incarnation: int) -> Address:
    return Address(host=f"10.0.1.{index}", port=8000 + incarnation)


@attrs.define(kw_only=True)
class Vm:
    """One VM: its knowledge, its inbox, and by how much its copy of the list lags."""

    index: int
    knowledge: TargetKnowledge
    platform: bool = True
    side: int = 0
    paused: bool = False
    lag_steps: int = 0
    inbox: list[tuple[Address, object]] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Fleet:
    """A fleet in virtual time; in each step every VM sends work to every target that it may."""

    hold_s: float = HOLD_S
    fresh_s: float | None = None
    sends_updates: bool = True
    checks_before_dispatch: bool = True
    strict: bool = False
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    steps: int = 0
    vms: list[Vm] = attrs.field(factory=list)
    lists: list[tuple[ListEntry, ...]] = attrs.field(factory=list)
    delayed: list[tuple[Vm, Vm, object]] = attrs.field(factory=list)
    partitioned_at: float | None = None
    views: dict[tuple[object, ...], MemberView] = attrs.field(factory=dict)
    history: list[HistoryEvent] = attrs.field(factory=list)
    first_read_leaving: dict[tuple[str, Address], float] = attrs.field(factory=dict)
    exempt_until: dict[int, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.lists.append(
            tuple(
                ListEntry(name=name, address=target_address(i, 0), kind=TargetKind.ENGINE)
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
        """Return the view of a VM: after a while the VMs beyond the partition are dead in it."""
        lost = self.partitioned_at is not None and self.now - self.partitioned_at > SUSPECT_AFTER_S
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

    def change(self, index: int, *, leaving: bool, incarnation: int | None = None) -> None:
        """Change one entry of the platform's list."""
        entries = list(self.lists[-1])
        address = (
            entries[index].address if incarnation is None else target_address(index, incarnation)
        )
        entries[index] = attrs.evolve(entries[index], address=address, leaving=leaving)
        self.lists.extend([self.lists[-1]] * (self.steps + 1 - len(self.lists)))
        self.lists[-1] = tuple(entries)
        state = "leaving" if leaving else "live"
        self.history.append(
            TargetListed(at=self.now, process="platform", target=NAMES[index], state=state)
        )

    def current(self, steps_ago: int = 0) -> tuple[ListEntry, ...]:
        return self.lists[min(len(self.lists) - 1, max(0, self.steps - steps_ago))]

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.steps += 1
            for vm in self.vms:
                if not vm.paused:
                    self.step(vm)
            for vm in self.vms:
                self.record_exempt(vm)
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
            self.send(vm, vm.knowledge.on_list_read(Reading(targets=listed, read_at=self.now)))
        if self.steps % ASK_EVERY_STEPS == 0:
            self.send(vm, vm.knowledge.tick(self.now))

    def deliver(self, vm: Vm, message: object) -> None:
        match message:
            case TargetLeavingNews():
                self.send(vm, vm.knowledge.on_leaving_update(message, self.now))
            case TargetListAsk():
                self.send(vm, vm.knowledge.on_list_query(message, self.now))
            case TargetListAnswer():
                self.send(vm, vm.knowledge.on_list_answer(message, self.now))

    def send(self, vm: Vm, sends: list[Send]) -> None:
        if not self.sends_updates:
            return
        for send in sends:
            receiver = next(v for v in self.vms if self.peer_address(v.index) == send.to)
            if receiver.side != vm.side:
                self.delayed.append((vm, receiver, send.message))
            else:
                receiver.inbox.append((send.to, send.message))

    def heal(self) -> None:
        """End the partition; messages that were sent across it arrive now, in their order."""
        for vm in self.vms:
            vm.side = 0
        self.partitioned_at = None
        for _, receiver, message in self.delayed:
            receiver.inbox.append((self.peer_address(receiver.index), message))
        self.delayed.clear()

    def record_exempt(self, vm: Vm) -> None:
        """Record that a VM is exempt, if it is on a larger side where no VM can read the list.

        Such VMs can't distinguish the partition from an outage of the platform for all.
        """
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
                self.assert_may_have_work(vm, target.name, address)

    def assert_may_have_work(self, vm: Vm, name: str, address: Address) -> None:
        read_at = self.first_read_leaving.get((name, address))
        entry = next(target for target in self.current() if target.name == name)
        if read_at is None or not entry.leaving:
            return
        if self.now <= self.exempt_until.get(vm.index, -1.0):
            return
        assert self.now - read_at <= GRACE_S, (
            f"vm-{vm.index} gave work {self.now - read_at:.1f} s after {name} was read as leaving"
        )
