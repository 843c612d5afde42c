"""The soak itself: its plans, its judge, a short run, and a guard that it misses when off."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import attrs
import pytest
import trio

from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import ORGANISATION
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.plan import Fault, FaultKind, draw_plan
from lagoonlever.soak.run import SoakResult, SoakSize, run_soak

SHORT = SoakSize(vms=3, engines=4, runners=3, callers=6, length_s=8.0)
UNGUARDED = (sys.executable, "-m", "lagoonlever.tests.unguarded_gateway")
SEEDS_THAT_FAILED = (
    2,  # SIGHUP while a VM was being loaded ended it
    7,  # watches that a silent store had swallowed hid a new configuration for 10 s
)
LATER_KINDS = frozenset(
    {
        FaultKind.ENGINE_RETURNS,
        FaultKind.RUNNER_RETURNS,
        FaultKind.STORE_RESTORED,
        FaultKind.NEW_VERSION,
        FaultKind.RUNNERS_LIMITED,
        FaultKind.RUNNER_RESTS,
        FaultKind.RUNNER_SAYS_LEAVING,
    }
)
"""Kinds of faults that these seeds were drawn without."""


def play(
    seed: int,
    folder: Path,
    *,
    length_s: float = SHORT.length_s,
    size: SoakSize = SHORT,
    **more: Any,
) -> SoakResult:
    size = attrs.evolve(size, length_s=length_s)

    async def main() -> SoakResult:
        return await run_soak(seed, size=size, folder=folder, **more)

    return trio.run(main)


def test_a_short_run_keeps_every_promise(tmp_path: Path) -> None:
    result = play(1, tmp_path)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 10


@pytest.mark.parametrize("seed", SEEDS_THAT_FAILED)
def test_a_seed_that_failed_keeps_every_promise_now(seed: int, tmp_path: Path) -> None:
    plan = draw_plan(seed, length_s=15.0, without=LATER_KINDS)
    result = play(seed, tmp_path, length_s=15.0, plan=plan)
    assert result.violations == ()


def test_targets_that_return_under_their_ids_break_no_promise(tmp_path: Path) -> None:
    """Engines and runners die and are back under their ids within a second, again and again.

    Each holds copies of others' runs, which its new process does not have; the store is away
    for a part of the time, so that their entries tell the former start.
    """
    returns = [
        Fault(
            kind=FaultKind.ENGINE_RETURNS if number % 4 else FaultKind.RUNNER_RETURNS,
            at_s=1.0 + 0.4 * number,
            for_s=0.05 + 0.1 * (number % 5),
            number=number,
        )
        for number in range(20)
    ]
    away = Fault(kind=FaultKind.STORE_SILENT, at_s=3.0, for_s=3.0, number=0)
    plan = tuple(sorted([*returns, away], key=lambda fault: fault.at_s))
    result = play(1, tmp_path, length_s=10.0, plan=plan)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 10


def test_a_store_that_comes_back_from_older_copies_breaks_no_promise(tmp_path: Path) -> None:
    """The store loses seconds again and again, while runners leave and keys are taken away.

    All VMs are killed right after it is back once. What targets and operators wrote is written
    again up to 1.5 s later.
    """
    restores = [
        Fault(kind=FaultKind.STORE_RESTORED, at_s=at_s, for_s=for_s, number=number)
        for number, (at_s, for_s) in enumerate([(2.0, 1.0), (7.0, 2.5), (11.0, 0.3), (11.7, 0.8)])
    ]
    leaves = [
        Fault(kind=FaultKind.RUNNER_LEAVES, at_s=at_s, for_s=0.0, number=number)
        for number, at_s in enumerate((6.0, 12.5))
    ]
    changes = [
        Fault(kind=FaultKind.NEW_CONFIGURATION, at_s=at_s, for_s=0.0, number=0)
        for at_s in (2.5, 8.5, 12.0, 17.0)
    ]
    all_lost = Fault(kind=FaultKind.ALL_KILL, at_s=3.3, for_s=0.2, number=0)
    plan = tuple(sorted([*restores, *leaves, *changes, all_lost], key=lambda fault: fault.at_s))
    result = play(1, tmp_path, length_s=21.0, plan=plan)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 10


def test_runners_that_tell_of_their_needs_are_heeded(tmp_path: Path) -> None:
    """Guards against limits, rests and leaves in answers that real processes don't keep to."""
    times = (
        (FaultKind.RUNNERS_LIMITED, 1.0, 11.0),
        (FaultKind.RUNNER_RESTS, 13.0, 4.0),
        (FaultKind.STORE_SILENT, 17.5, 5.0),
        (FaultKind.RUNNER_SAYS_LEAVING, 17.7, 4.0),
    )
    plan = tuple(
        Fault(kind=kind, at_s=at_s, for_s=for_s, number=number)
        for number, (kind, at_s, for_s) in enumerate(times)
    )
    result = play(1, tmp_path, length_s=23.0, plan=plan)
    assert result.violations == ()
    assert result.counts.get("requests at runners with a limit", 0) > 10


def test_versions_are_rolled_out_without_breaking_a_promise(tmp_path: Path) -> None:
    """A sound version and then a bad one, while a VM is killed and the store loses seconds."""
    orders = [
        Fault(kind=FaultKind.NEW_VERSION, at_s=at_s, for_s=5.0, number=number)
        for at_s, number in ((2.0, 1), (9.5, 2))
    ]
    kill = Fault(kind=FaultKind.VM_KILL, at_s=4.0, for_s=0.3, number=0)
    restored = Fault(kind=FaultKind.STORE_RESTORED, at_s=10.0, for_s=1.0, number=1)
    plan = tuple(sorted([*orders, kill, restored], key=lambda fault: fault.at_s))
    result = play(1, tmp_path, length_s=22.0, plan=plan)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 10


def test_prompts_that_end_engines_stop_and_no_other_request_is_barred(tmp_path: Path) -> None:
    """Two prompts end each engine that runs them; their callers return at once, to any VM.

    VMs are killed meanwhile, once all of them, and the store is away for a while. Later it is
    calm, and the prompts must reach no engine any more.
    """
    kills = [
        Fault(kind=FaultKind.VM_KILL, at_s=1.5 + number, for_s=0.3, number=number)
        for number in range(3)
    ]
    all_lost = Fault(kind=FaultKind.ALL_KILL, at_s=5.0, for_s=0.3, number=0)
    away = Fault(kind=FaultKind.STORE_SILENT, at_s=2.0, for_s=1.5, number=0)
    plan = tuple(sorted([*kills, all_lost, away], key=lambda fault: fault.at_s))
    size = attrs.evolve(SHORT, engines=6, deadly=2)
    result = play(1, tmp_path, length_s=16.0, plan=plan, size=size)
    assert result.violations == ()
    assert result.counts["engines ended by a prompt"] >= 3
    assert result.counts.get("stream 200", 0) > 10


def test_a_bid_that_is_sent_twice_is_found(tmp_path: Path) -> None:
    """A gateway that sends a bid to a second runner after a lost answer runs it twice.

    The gateways of this run do so; a soak that doesn't notice proves nothing.
    """
    bad = tuple(
        Fault(kind=FaultKind.RUNNER_BAD, at_s=0.3 * number, for_s=0.0, number=number)
        for number in range(1, 20)
    )
    result = play(1, tmp_path, program=UNGUARDED, plan=bad)
    assert "at most once" in {violation.promise for violation in result.violations}


def test_a_plan_follows_from_its_seed_and_knows_every_fault() -> None:
    assert draw_plan(7, length_s=30.0) == draw_plan(7, length_s=30.0)
    kinds = {fault.kind for seed in range(40) for fault in draw_plan(seed, length_s=30.0)}
    assert kinds == set(FaultKind)


def test_the_judge_sees_each_broken_promise() -> None:
    judge = Judge(organisation="org-1")
    headers = Headers(((ORGANISATION, "org-1"),))
    judge.runs_once("b1")
    judge.ran("b1", "r1", headers)
    assert judge.violations == []
    judge.ran("b1", "r2", headers)
    judge.answered("bid", "b1", 503)
    judge.answered("bid", "b2", 429)
    judge.ran("b2", "r1", headers)
    judge.ran("b3", "r1", Headers(((ORGANISATION, "other"), ("Authorization", "Bearer k"))))
    judge.called("b1", 200, Headers(), b"answer to b1")
    judge.event("p", 2, b"id: 3\ndata: p 3\n\n")
    judge.stream_ended("p", 4, 5)
    judge.refused("b4", "ends-targets")
    for at in range(3):
        judge.ended("d", float(at))
    for _ in range(4):
        judge.reached("d", 4.0, calm=True)
        judge.reached("d", 6.0, calm=False)
    assert len(judge.violations) == 9
    for _ in range(4):
        judge.reached("d", 6.0, calm=True)
    assert [violation.promise for violation in judge.violations] == [
        "at most once",
        "not run is true",
        "not run is true",
        "keys stay here",
        "organisations",
        "whole answers",
        "streams in order",
        "streams are whole",
        "only deadly requests are barred",
        "deadly requests stop",
    ]
