"""Tests of which targets VMs may send work to, under network partitions and pauses of VMs."""

from __future__ import annotations

import random

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.targets.freshness import ListFreshness, ListStatus
from lagoonlever.decisions.targets.listing import HOLD_S
from lagoonlever.history.checkers import Violation
from lagoonlever.history.checkers.leaving_target import check
from lagoonlever.tests.target_fleet import NAMES, STEP_S, VMS, Fleet, target_address


class TargetKnowledgeMachine(RuleBasedStateMachine):
    """Partitions, pauses, outdated lists and changes of the list in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.fleet = Fleet(rng=random.Random(seed), strict=True)
        self.incarnations = [0, 0]
        self.fleet.run(30)

    @rule(steps=st.integers(1, 60))
    def advance(self, steps: int) -> None:
        self.fleet.run(steps)

    @rule(index=st.integers(0, 1))
    def leave(self, index: int) -> None:
        self.fleet.change(index, leaving=True)

    @rule(index=st.integers(0, 1))
    def return_elsewhere(self, index: int) -> None:
        self.incarnations[index] += 1
        self.fleet.change(index, leaving=False, incarnation=self.incarnations[index])

    @rule(vm=st.integers(0, VMS - 1), reachable=st.booleans())
    def reach_platform(self, vm: int, reachable: bool) -> None:
        self.fleet.vms[vm].platform = reachable

    @rule(sides=st.lists(st.integers(0, 1), min_size=VMS, max_size=VMS))
    def cut(self, sides: list[int]) -> None:
        for vm, side in zip(self.fleet.vms, sides, strict=True):
            vm.side = side
        self.fleet.partitioned_at = self.fleet.now

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
    def send_waiting_work_from_a_paused_vm(self) -> None:
        """Send work from a VM that resumes, before it handles the messages that came meanwhile."""
        for vm in self.fleet.vms:
            if vm.paused:
                self.fleet.record_exempt(vm)
                self.fleet.offer_work(vm)

    @rule()
    def recover_fully(self) -> None:
        self.fleet.heal()
        for vm in self.fleet.vms:
            vm.platform, vm.paused, vm.lag_steps = True, False, 0
        self.fleet.run(int((HOLD_S + 5.0) / STEP_S))
        for vm in self.fleet.vms:
            assert vm.knowledge.list_status(self.fleet.now) is ListStatus.FRESH
            for target in self.fleet.current():
                may = vm.knowledge.may_dispatch(target.name, target.address, self.fleet.now)
                assert may is not target.leaving

    @invariant()
    def targets_agree_with_may_dispatch(self) -> None:
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


def cut_from_platform(*, sends_updates: bool) -> Fleet:
    """Let a target leave while one VM is cut off from the platform.

    Guards against a VM that sends a user's request to a target which is being removed, because
    its own list is older than the entry by which the target leaves.
    """
    fleet = Fleet(sends_updates=sends_updates, fresh_s=None if sends_updates else float("inf"))
    fleet.run(30)
    fleet.vms[2].platform = False
    fleet.run(2)
    fleet.change(0, leaving=True)
    fleet.run(100)
    return fleet


def test_a_vm_cut_from_the_platform_learns_from_peers() -> None:
    assert violations(cut_from_platform(sends_updates=True)) == []
    assert violations(cut_from_platform(sends_updates=False)) != []


def isolated(*, fresh_s: float | None) -> Fleet:
    """Let a target leave while one VM is cut off from the platform and its peers.

    Guards against a VM that sends users' requests to the leaving target for as long as the
    partition lasts. No other VM can tell it, so it has to stop because nobody answers.
    """
    fleet = Fleet(fresh_s=fresh_s)
    fleet.run(30)
    fleet.vms[4].platform = False
    fleet.vms[4].side = 1
    fleet.partitioned_at = fleet.now
    fleet.change(1, leaving=True)
    fleet.run(200)
    fleet.heal()
    fleet.run(20)
    return fleet


def test_an_isolated_vm_sends_no_work() -> None:
    assert violations(isolated(fresh_s=None)) == []
    assert violations(isolated(fresh_s=float("inf"))) != []


def test_the_smaller_side_of_a_partition_still_counts_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Send no work from an isolated VM whose membership view has declared all others dead.

    Guards against a user's request at a target that left minutes ago. If a VM counts only the
    members that are alive in its view, then it is always its own majority.
    """

    def count_alive(self: ListFreshness, members: MemberView, now: float) -> None:
        alive = (m.peers for m in members.alive if m.incarnation != members.own)
        self._peers = self._staying = dict.fromkeys(alive)

    assert violations(isolated(fresh_s=None)) == []
    monkeypatch.setattr(ListFreshness, "members_changed", count_alive)
    assert violations(isolated(fresh_s=None)) != []


def late_copy(*, hold_s: float) -> Fleet:
    """Let a VM read a copy of the list from before a target left.

    Guards against a leaving target that gets work again. The VM was told that it leaves, and then
    reads an older copy of the list, as copies lag by different times.
    """
    fleet = Fleet(hold_s=hold_s)
    fleet.run(30)
    fleet.change(0, leaving=True)
    fleet.run(20)
    fleet.vms[1].lag_steps = 100
    fleet.run(60)
    return fleet


def test_an_older_copy_of_the_list_does_not_make_a_leaving_target_live() -> None:
    assert violations(late_copy(hold_s=HOLD_S)) == []
    assert violations(late_copy(hold_s=0.0)) != []


def queued(*, checks: bool) -> Fleet:
    """Let requests and hedges wait at each VM for a target that leaves meanwhile.

    Guards against a request that is sent to a leaving target because it was chosen before the
    target was listed as leaving, and the choice was not checked again before the write.
    """
    fleet = Fleet(checks_before_dispatch=checks)
    fleet.run(30)
    fleet.change(0, leaving=True)
    fleet.run(60)
    return fleet


def test_queued_work_is_checked_before_it_is_written() -> None:
    assert violations(queued(checks=True)) == []
    assert violations(queued(checks=False)) != []


def test_an_outage_of_the_platform_for_all_vms_stops_no_work() -> None:
    fleet = Fleet()
    fleet.run(30)
    for vm in fleet.vms:
        vm.platform = False
    fleet.run(600)
    for vm in fleet.vms:
        assert vm.knowledge.list_status(fleet.now) is ListStatus.PLATFORM_OUTAGE
        assert vm.knowledge.may_dispatch(NAMES[0], target_address(0, 0), fleet.now)
