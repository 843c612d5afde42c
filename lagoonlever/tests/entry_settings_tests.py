"""The settings parts of several VMs over a stand-in platform: nothing reverts, all arrives."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
import trio

from lagoonlever.bench.settings_vms import CutPlatform, SettingsVm, SettingsVms
from lagoonlever.decisions.settings.settings_version import SettingsStanding, SettingsVersionOptions
from lagoonlever.entry.settings.store import SettingsStore
from lagoonlever.fakes.platform import PlatformFault, PlatformFaultKind
from lagoonlever.history.checkers.settings_in_force import LIMIT_S, check
from lagoonlever.history.events import RunEnded
from lagoonlever.history.events_settings import SettingsAccepted, SettingsInForce
from lagoonlever.outcomes import Reason
from lagoonlever.store.port import SwapResult
from lagoonlever.tree.change_plan import (
    ChangeOutcome,
    ChangeRequest,
    Conflict,
    NotStored,
    Stored,
    Undetermined,
)
from lagoonlever.tree.changes import NODE, Edit
from lagoonlever.tree.head import HEAD_KEY

TIMEOUT_S = 60
QUICK = SettingsVersionOptions(guard_poll_s=0.1, ask_period_s=0.2, settle_s=0.3)
Scenario = Callable[[SettingsVms], Awaitable[None]]


def run(
    scenario: Scenario,
    *,
    count: int = 3,
    options: SettingsVersionOptions = QUICK,
    whole: bool = True,
) -> SettingsVms:
    """Run a scenario over some VMs; its history must be in order if it is ``whole``."""
    kept: list[SettingsVms] = []

    async def main() -> None:
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                vms = await SettingsVms.open(nursery, count=count, options=options)
                kept.append(vms)
                await scenario(vms)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert not whole or check(kept[0].history) == []
    return kept[0]


def weight(path: str, value: float, *, base: int = 0, name: str = "change-1") -> ChangeRequest:
    """Give a change that states the weight of a new node."""
    edits = (
        Edit(path=path, option=NODE, before=None, after=True),
        Edit(path=path, option="weight", before=None, after=value),
    )
    return ChangeRequest(change_id=name, author="ana", base_version=base, edits=edits)


async def store(vms: SettingsVms, vm: SettingsVm, request: ChangeRequest) -> int:
    """Make a change through one VM and record that it was accepted."""
    outcome = await vm.part.store.change(request)
    assert isinstance(outcome, Stored), outcome
    recorder = vms.recorder
    recorder.record(
        SettingsAccepted(
            at=recorder.now,
            process=request.author,
            version=outcome.version,
            change=request.change_id,
        )
    )
    return outcome.version


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; the run's timeout bounds it."""
    while not condition():  # noqa: ASYNC110 - nothing tells of a change of these
        await trio.sleep(0.005)


async def standing(vm: SettingsVm, wanted: SettingsStanding) -> None:
    """Wait until a VM has a standing."""
    await until(lambda: vm.part.standing() is wanted)


def test_a_change_is_in_force_on_all_and_the_operator_is_told_where() -> None:
    async def scenario(vms: SettingsVms) -> None:
        first, *_, last = vms.vms
        version = await store(vms, first, weight("/motus", 3.0))
        told = await last.part.wait_in_force(version, timeout_s=TIMEOUT_S)
        assert told.everywhere
        assert told.in_force == tuple(vm.name for vm in vms.vms)
        for vm in vms.vms:
            assert vm.part.view.value.resolve("/motus").weight == 3.0
            assert vm.part.refusal() is None

    run(scenario, count=9)


@pytest.mark.parametrize(
    ("options", "wait_s", "guarded"),
    [(QUICK, TIMEOUT_S, True), (attrs.evolve(QUICK, guard_poll_s=60.0), 1.0, False)],
)
def test_a_watch_that_silently_stops_is_found_out(
    options: SettingsVersionOptions, wait_s: float, guarded: bool
) -> None:
    """Story: an operator's change is accepted, and no VM ever follows it.

    Every watch still stands and tells nothing, as behind a firewall that drops
    the connections without a word. Without the slow read it stays like that.
    """

    async def scenario(vms: SettingsVms) -> None:
        await until(lambda: vms.platform.open_watches == len(vms.vms))
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.SILENCE_WATCHES))
        version = await store(vms, vms.vms[0], weight("/motus", 3.0))
        with trio.move_on_after(wait_s):
            await vms.wait_version(version)
        vms.recorder.record(RunEnded(at=vms.recorder.now + LIMIT_S, process="test"))

    history = run(scenario, options=options, whole=guarded).history
    assert (check(history) == []) is guarded


def test_changes_that_were_compacted_away_are_read_anew() -> None:
    async def scenario(vms: SettingsVms) -> None:
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.UP))
        version = await store(vms, vms.vms[0], weight("/motus", 3.0))
        vms.platform.store.compact(version)
        await vms.wait_version(version)
        version = await store(vms, vms.vms[1], weight("/sembrani", 2.0, base=version, name="b"))
        await vms.wait_version(version)

    run(scenario)


def test_a_vm_that_boots_in_an_outage_takes_its_peers_version() -> None:
    """Story: a VM is replaced while the platform is down, and serves defaults or nothing."""

    async def scenario(vms: SettingsVms) -> None:
        version = await store(vms, vms.vms[0], weight("/motus", 3.0))
        await vms.wait_version(version)
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
        booted = vms.start()
        refusal = booted.part.refusal()
        assert refusal is not None and refusal.reason is Reason.STARTING
        await standing(booted, SettingsStanding.SERVING)
        assert booted.part.version == version
        assert booted.part.view.value.resolve("/motus").weight == 3.0

    run(scenario)


def test_a_vm_cut_from_the_platform_but_not_from_peers_follows() -> None:
    async def scenario(vms: SettingsVms) -> None:
        cut, *others = vms.vms
        cut.platform.cut = True
        version = await store(vms, others[0], weight("/motus", 3.0))
        await vms.wait_version(version)
        assert cut.part.refusal() is None

    run(scenario)


def test_a_vm_that_reaches_nobody_takes_no_work_until_it_does() -> None:
    """Story: a VM behind a broken link admits work for an hour under limits of yesterday."""

    async def scenario(vms: SettingsVms) -> None:
        cut, other, _ = vms.vms
        await standing(cut, SettingsStanding.SERVING)
        cut.platform.cut = True
        vms.cut_from_peers(cut)
        version = await store(vms, other, weight("/motus", 3.0))
        await standing(cut, SettingsStanding.ISOLATED)
        refusal = cut.part.refusal()
        assert refusal is not None and refusal.reason is Reason.ISOLATED
        assert cut.part.version == 0
        vms.network.heal()
        await standing(cut, SettingsStanding.SERVING)
        assert cut.part.version == version

    options = SettingsVersionOptions(
        guard_poll_s=0.1, ask_period_s=0.2, settle_s=0.3, isolation_limit_s=1.0
    )
    run(scenario, options=options)


def test_a_vm_that_wakes_takes_no_work_before_it_was_told_the_version() -> None:
    """Story: a frozen VM wakes and admits, under a withdrawn key, what waited in its socket."""

    async def scenario(vms: SettingsVms) -> None:
        frozen, other, _ = vms.vms
        await standing(frozen, SettingsStanding.SERVING)
        frozen.platform.cut = True
        vms.cut_from_peers(frozen)
        version = await store(vms, other, weight("/motus", 3.0))
        await vms.wait_version(version, vms.vms[1:])
        frozen.pause(20.0)
        refusal = frozen.part.refusal()
        assert refusal is not None and frozen.part.version == 0
        vms.network.heal()
        await standing(frozen, SettingsStanding.SERVING)
        assert frozen.part.version == version

    run(scenario)


def test_a_lost_answer_is_found_out_and_the_change_made_once() -> None:
    async def scenario(vms: SettingsVms) -> None:
        lose = PlatformFault(kind=PlatformFaultKind.LOSE_ANSWERS, count=1)
        vms.platform.inject(lose)
        version = await store(vms, vms.vms[0], weight("/motus", 3.0))
        await vms.wait_version(version)
        again = await vms.vms[1].part.store.change(weight("/motus", 3.0))
        assert again == Stored(version=version)
        assert _writes(vms) == [version]

    run(scenario)


class CutByItsSwap(CutPlatform):
    """A platform that is out of reach as soon as it has been sent a change."""

    async def compare_and_swap(self, key: str, **fields: Any) -> SwapResult:
        try:
            return await super().compare_and_swap(key, **fields)
        finally:
            self.cut = True


def test_an_answer_lost_before_a_long_outage_is_told_as_undetermined() -> None:
    """Story: the operator is told that nothing was stored, and the change is in force."""

    async def scenario(vms: SettingsVms) -> None:
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.LOSE_ANSWERS, count=1))
        platform = CutByItsSwap(addresses=[vms.address])
        store_ = SettingsStore(platform=platform, wall_clock_ms=lambda: 0, read_back_limit_s=0.3)
        outcome = await store_.change(weight("/motus", 3.0))
        assert isinstance(outcome, Undetermined) and outcome.change_id == "change-1"
        (version,) = _writes(vms)
        assert await store(vms, vms.vms[0], weight("/motus", 3.0)) == version

    run(scenario)


def test_in_an_outage_nothing_is_stored_and_that_is_told() -> None:
    async def scenario(vms: SettingsVms) -> None:
        vms.platform.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
        outcome = await vms.vms[0].part.store.change(weight("/motus", 3.0))
        assert isinstance(outcome, NotStored)

    run(scenario)


def test_of_racing_operators_one_wins_and_the_other_is_told_the_key() -> None:
    async def scenario(vms: SettingsVms) -> None:
        outcomes: list[ChangeOutcome] = []

        async def change(vm: SettingsVm, request: ChangeRequest) -> None:
            outcomes.append(await vm.part.store.change(request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, vms.vms[0], weight("/motus", 3.0, name="a"))
            nursery.start_soon(change, vms.vms[1], weight("/motus", 4.0, name="b"))
            nursery.start_soon(change, vms.vms[2], weight("/sembrani", 5.0, name="c"))
        (conflict,) = [each for each in outcomes if isinstance(each, Conflict)]
        assert [key.key for key in conflict.keys] == ["/motus.weight"]
        stored = [each.version for each in outcomes if isinstance(each, Stored)]
        assert sorted(stored) == _writes(vms)
        await vms.wait_version(max(stored))
        tree = vms.vms[0].part.view.value
        assert tree.resolve("/sembrani").weight == 5.0
        assert tree.resolve("/motus").weight in (3.0, 4.0)

    run(scenario)


def test_the_checker_is_red_for_a_vm_that_never_follows() -> None:
    in_force = SettingsInForce(at=0.0, process="vm-1~1", vm="vm-1", version=5)
    accepted = SettingsAccepted(at=1.0, process="ana", version=6, change="c")
    history = [in_force, accepted, RunEnded(at=2.0 + LIMIT_S, process="test")]
    assert [violation.subject for violation in check(history)] == ["vm-1~1"]


def _writes(vms: SettingsVms) -> list[int]:
    """Give the versions that the platform was ever given."""
    key = HEAD_KEY.encode()
    return [each.mod_revision for each in vms.platform.store.changes_after(0, key, key + b"0")]
