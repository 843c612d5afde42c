"""Versions of the settings on VMs under outages, boots, freezes, gaps and late news."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.settings.settings_version import (
    SettingsStanding,
    SettingsVersion,
    SettingsVersionOptions,
    _Guards,
)
from lagoonlever.history.checkers.settings_in_force import check
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_settings import (
    SettingsAccepted,
    SettingsInForce,
    SettingsWorkTaken,
)
from lagoonlever.tree.document import canonical, digest_of, render, tree_of
from lagoonlever.tree.head import Head, StoredHead
from lagoonlever.tree.nodes import Node, Override

VMS = ("vm-1", "vm-2", "vm-3")


def head_of(version: int, weight: float) -> Head:
    """Give a head that holds one weight."""
    override = Override(option="weight", value=weight)
    tree = tree_of([Node(path="/motus", overrides=(override,))])
    stored = StoredHead(text=render(tree), tree=canonical(tree), records=())
    return Head(version=version, stored=stored)


HEADS = tuple(head_of(version, weight=float(version)) for version in (5, 9, 12, 20, 21))
OLD, NEW = HEADS[:2]


@attrs.define(kw_only=True)
class VmModel:
    """One VM: its decision, and the harness's own account of the round it is in."""

    name: str
    process: str
    version: SettingsVersion
    round_began: float
    round_version: int
    told_since: bool = False
    heard_since: bool = False
    frozen: bool = False


@attrs.frozen(kw_only=True)
class Delivery:
    """A message that may arrive at any later time, also after its reader was frozen."""

    process: str
    vm: str
    head: Head
    asked_at: float
    kind: str
    age_s: float | None = None


def new_vm(name: str, life: int, *, now: float, guards: _Guards | None = None) -> VmModel:
    version = SettingsVersion(
        options=SettingsVersionOptions(), round_began=now, guards=guards or _Guards()
    )
    process = f"{name}~{life}"
    return VmModel(name=name, process=process, version=version, round_began=now, round_version=0)


class VersionsMachine(RuleBasedStateMachine):
    """VMs learn of a growing head in every bad order: outages, boots, freezes, gaps, late news."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.lives = 0
        self.platform_up = True
        self.newest = HEADS[0]
        self.history: list[HistoryEvent] = []
        self.flying: list[Delivery] = []
        self.vms = {name: new_vm(name, 0, now=self.now) for name in VMS}
        for vm in self.vms.values():
            self._begin_round(vm)

    @precondition(lambda self: self.platform_up and self.newest is not HEADS[-1])
    @rule()
    def change(self) -> None:
        self.newest = HEADS[HEADS.index(self.newest) + 1]
        self.history.append(_accepted(self.newest.version, at=self.now))

    @rule(name=st.sampled_from(VMS))
    def ask_platform(self, name: str) -> None:
        vm = self.vms[name]
        if vm.frozen:
            return
        if not self.platform_up:
            vm.version.on_platform_failure(asked_at=self.now)
            return
        self._fly(vm, self.newest, kind="platform")

    @rule(name=st.sampled_from(VMS), peer=st.sampled_from(VMS))
    def ask_peer(self, name: str, peer: str) -> None:
        vm, other = self.vms[name], self.vms[peer]
        held = self._held(other)
        if vm is other or vm.frozen or other.frozen or held is None:
            return
        age_s = other.version.age_s(self.now)
        self._fly(vm, held, kind="peer", age_s=age_s)

    @rule(name=st.sampled_from(VMS))
    def watch_tells(self, name: str) -> None:
        if self.platform_up and not self.vms[name].frozen:
            self._fly(self.vms[name], self.newest, kind="watch")

    @precondition(lambda self: self.flying)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.flying) - 1))
        if not self.vms[self.flying[index].vm].frozen:
            self._deliver(self.flying.pop(index))

    @rule(name=st.sampled_from(VMS))
    def freeze(self, name: str) -> None:
        self.vms[name].frozen = True

    @rule(name=st.sampled_from(VMS))
    def thaw(self, name: str) -> None:
        vm = self.vms[name]
        if vm.frozen:
            vm.frozen = False
            vm.version.on_pause(self.now)
            self._begin_round(vm)

    @rule(name=st.sampled_from(VMS), late=st.booleans())
    def wake(self, name: str, late: bool) -> None:
        """Wake from a short freeze, and find an answer that waited in the socket."""
        waiting = [each for each in self.flying if each.vm == name]
        self.freeze(name)
        self.now += 2.0
        self.thaw(name)
        if late and waiting:
            self.flying.remove(waiting[-1])
            self._deliver(waiting[-1])

    @rule(name=st.sampled_from(VMS))
    def restart(self, name: str) -> None:
        self.lives += 1
        self.vms[name] = new_vm(name, self.lives, now=self.now)
        self._begin_round(self.vms[name])

    @invariant()
    def no_work_is_taken_on_old_news(self) -> None:
        for vm in self.vms.values():
            standing = vm.version.standing(self.now, known_peers=len(VMS) - 1)
            if vm.frozen or standing is not SettingsStanding.SERVING:
                continue
            assert vm.told_since or vm.heard_since, "serves on what it knew before it woke"
            version = vm.version.version
            assert version is not None
            assert not vm.told_since or version >= vm.round_version

    @rule(seconds=st.sampled_from((0.1, 1.0, 40.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(up=st.booleans())
    def outage(self, up: bool) -> None:
        self.platform_up = up

    def teardown(self) -> None:
        """End every fault: each VM comes to the newest version, and late news changes nothing."""
        self.platform_up = True
        self.now += 1
        for name, vm in self.vms.items():
            self.thaw(name)
            self.ask_platform(name)
            self._deliver(self.flying.pop())
            standing = vm.version.standing(self.now, known_peers=len(VMS) - 1)
            assert standing is SettingsStanding.SERVING
        while self.flying:
            self._deliver(self.flying.pop())
        assert {vm.version.version for vm in self.vms.values()} == {self.newest.version}
        assert check(self.history) == []

    def _begin_round(self, vm: VmModel) -> None:
        vm.round_began = self.now
        vm.round_version = self.newest.version
        vm.told_since = vm.heard_since = False

    def _fly(self, vm: VmModel, head: Head, *, kind: str, age_s=None) -> None:
        delivery = Delivery(
            process=vm.process,
            vm=vm.name,
            head=head,
            asked_at=self.now,
            kind=kind,
            age_s=age_s,
        )
        self.flying.append(delivery)

    def _deliver(self, delivery: Delivery) -> None:
        vm = self.vms[delivery.vm]
        if vm.process != delivery.process:
            return
        deliver(vm, delivery, now=self.now, history=self.history)
        since_round = delivery.asked_at >= vm.round_began
        vm.told_since = vm.told_since or (delivery.kind == "platform" and since_round)
        vm.heard_since = vm.heard_since or (delivery.kind == "peer" and since_round)

    def _held(self, vm: VmModel) -> Head | None:
        return next((head for head in HEADS if head.version == vm.version.version), None)


def deliver(vm: VmModel, delivery: Delivery, *, now: float, history: list[HistoryEvent]) -> None:
    """Do what the task of a VM does with an answer or with a watch's news."""
    head = delivery.head
    if vm.version.on_version(head.version):
        history.append(
            SettingsInForce(
                at=now,
                process=vm.process,
                vm=vm.name,
                version=head.version,
                digest=digest_of(head.tree()),
            )
        )
    if delivery.kind == "platform":
        vm.version.on_platform_answer(version=head.version, asked_at=delivery.asked_at)
    elif delivery.kind == "peer":
        vm.version.on_peer_answer(
            version=head.version,
            age_s=delivery.age_s,
            asked_at=delivery.asked_at,
            now=now,
        )


VersionsMachine.TestCase.settings = hypothesis_settings(
    max_examples=100, stateful_step_count=50, deadline=None
)
VersionsMachineTest = VersionsMachine.TestCase


def _answer(vm: VmModel, kind: str, head: Head, *, asked_at: float, **more: object) -> Delivery:
    return Delivery(process=vm.process, vm=vm.name, head=head, asked_at=asked_at, kind=kind, **more)


def _accepted(version: int, at: float) -> SettingsAccepted:
    return SettingsAccepted(at=at, process="ana", version=version, change=f"v{version}")


def _work(vm: VmModel, *, now: float, history: list[HistoryEvent], peers: int = 2) -> None:
    """Take work if the VM may."""
    if vm.version.standing(now, known_peers=peers) is SettingsStanding.SERVING:
        version = vm.version.version
        assert version is not None
        taken = SettingsWorkTaken(at=now, process=vm.process, vm=vm.name, version=version)
        history.append(taken)


def late_answer(guards: _Guards) -> list[HistoryEvent]:
    """Story: a new weight applies for a while, then the old one is back.

    A VM asks the platform, the answer is held up, the watch tells of the next
    change meanwhile, and then the first answer arrives with the version before.
    """
    history: list[HistoryEvent] = []
    vm = new_vm("vm-1", 0, now=0.0, guards=guards)
    slow = _answer(vm, "platform", OLD, asked_at=1.0)
    deliver(vm, _answer(vm, "watch", NEW, asked_at=2.0), now=2.0, history=history)
    deliver(vm, slow, now=3.0, history=history)
    return history


def wakes_from_a_freeze(guards: _Guards) -> list[HistoryEvent]:
    """Story: a key is withdrawn, and one VM still admits work under it a minute later.

    The VM is frozen right before the change, wakes a minute after it, and takes
    the request that waited in its socket before it has asked anybody.
    """
    history: list[HistoryEvent] = []
    vm = new_vm("vm-1", 0, now=0.0, guards=guards)
    deliver(vm, _answer(vm, "platform", OLD, asked_at=1.0), now=1.1, history=history)
    history.append(_accepted(NEW.version, at=2.0))
    vm.version.on_pause(62.0)
    _work(vm, now=62.0, history=history, peers=0)
    return history


def boots_in_an_outage(guards: _Guards) -> list[HistoryEvent]:
    """Story: a VM is replaced while the platform is down and serves old limits for minutes.

    The first peer to answer was cut off before the change and tells the version
    before; the second has the newest, and answers a moment later.
    """
    history: list[HistoryEvent] = [_accepted(NEW.version, at=0.0)]
    vm = new_vm("vm-1", 1, now=20.0, guards=guards)
    vm.version.on_platform_failure(asked_at=20.0)
    behind = _answer(vm, "peer", OLD, asked_at=20.1, age_s=60.0)
    newest = _answer(vm, "peer", NEW, asked_at=20.1, age_s=20.0)
    deliver(vm, behind, now=20.2, history=history)
    _work(vm, now=20.3, history=history)
    deliver(vm, newest, now=20.4, history=history)
    _work(vm, now=21.5, history=history)
    return history


@pytest.mark.parametrize(
    ("story", "off"),
    [
        (late_answer, _Guards(never_back=False)),
        (wakes_from_a_freeze, _Guards(confirm_after_pause=False)),
        (boots_in_an_outage, _Guards(settle=False)),
    ],
)
def test_each_guard_keeps_its_story_from_happening(
    story: Callable[[_Guards], list[HistoryEvent]], off: _Guards
) -> None:
    assert check(story(off)) != []
    assert check(story(_Guards())) == []


def test_an_isolated_vm_takes_no_work_unless_it_is_alone() -> None:
    vm = new_vm("vm-1", 0, now=0.0)
    deliver(vm, _answer(vm, "platform", NEW, asked_at=1.0), now=1.0, history=[])
    assert vm.version.standing(20.0, known_peers=2) is SettingsStanding.SERVING
    assert vm.version.standing(32.0, known_peers=2) is SettingsStanding.ISOLATED
    assert vm.version.standing(32.0, known_peers=0) is SettingsStanding.SERVING
    peer = _answer(vm, "peer", NEW, asked_at=31.5, age_s=30.0)
    deliver(vm, peer, now=32.0, history=[])
    assert vm.version.standing(32.0, known_peers=2) is SettingsStanding.SERVING
    assert vm.version.age_s(32.0) == pytest.approx(30.5)
