"""The soak itself: its plans, its judge, a short run, and a guard that it misses when off."""

from __future__ import annotations

import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import attrs
import pytest
import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.fakes.target_room import TargetRoom
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.headers import EXPECTED_TARGET, ORGANISATION, REQUEST_ID, SEAL
from lagoonlever.soak.deployments import (
    SHORT_TOKENS,
    UNEVEN_PACES,
    Deployment,
    draw_deployment,
)
from lagoonlever.soak.judge import ALLOWED_AFTER, MOST_ENDED, MOST_ENDED_BY_PART, Judge
from lagoonlever.soak.plan import Fault, FaultKind, draw_plan
from lagoonlever.soak.run import SoakResult, SoakSize, run_soak
from lagoonlever.soak.site import SoakSite
from lagoonlever.soak.watched import WatchedEngine, WatchedRunner

SHORT = SoakSize(vms=3, engines=4, runners=3, callers=6, length_s=8.0)
UNGUARDED = (sys.executable, "-m", "lagoonlever.tests.unguarded_gateway")
SEEDS_THAT_FAILED = (
    2,  # SIGHUP while a VM was being loaded ended it
    7,  # watches that a silent store had swallowed hid a new configuration for 10 s
)
NEWEST_KINDS = frozenset(
    {
        FaultKind.PATHS_SILENT,
        FaultKind.PATHS_ONE_WAY,
        FaultKind.PATHS_RESET,
        FaultKind.PATHS_REFUSED,
        FaultKind.RUNNERS_BRITTLE,
        FaultKind.ENGINE_OTHER_VERSION,
        FaultKind.ENGINE_RETURNS_OTHER,
        FaultKind.RUNNERS_SHED,
    }
)
LATER_KINDS = NEWEST_KINDS | frozenset(
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


def test_an_order_that_is_written_again_is_not_rolled_back_onto_nothing(tmp_path: Path) -> None:
    """Seed 4220794686: the store lost a final status, all VMs were killed, the order came again.

    Its version was rolled back while its runners were the only ones left.
    """
    seed = 4220794686
    size = SoakSize(callers=16, length_s=15.0, deadly=1)
    plan = draw_plan(seed, length_s=15.0, without=NEWEST_KINDS)
    deployment = draw_deployment(seed)
    result = play(seed, tmp_path, length_s=15.0, size=size, plan=plan, deployment=deployment)
    assert result.violations == ()


def test_a_runner_that_leaves_is_not_taken_for_a_new_one(tmp_path: Path) -> None:
    """Seed 880101: the store came back from before a restart of a runner that had since said so."""
    seed = 880101
    size = SoakSize(callers=16, length_s=15.0, deadly=1)
    plan = draw_plan(seed, length_s=15.0, without=NEWEST_KINDS)
    deployment = draw_deployment(seed)
    result = play(seed, tmp_path, length_s=15.0, size=size, plan=plan, deployment=deployment)
    assert result.violations == ()


def test_a_call_held_by_a_runner_that_drains_later_is_no_fault_of_the_vms(tmp_path: Path) -> None:
    """Seed 3417611824: a silent runner's call was held against the VMs as the runner went."""
    seed = 3417611824
    plan = draw_plan(seed, length_s=15.0, without=NEWEST_KINDS)
    result = play(seed, tmp_path, length_s=15.0, plan=plan)
    assert result.violations == ()


def test_a_deadly_part_of_prompts_is_stopped_beside_sound_requests(tmp_path: Path) -> None:
    """A VM is killed, and all of them, while requests that share the part come to each."""
    size = SoakSize(engines=8, callers=10, length_s=14.0, deadly=1, deadly_parts=1)
    plan = (
        Fault(kind=FaultKind.VM_KILL, at_s=2.5, for_s=0.4, number=1),
        Fault(kind=FaultKind.ALL_KILL, at_s=6.0, for_s=0.3, number=0),
    )
    result = play(5, tmp_path, size=size, length_s=14.0, plan=plan)
    assert result.violations == ()
    most = MOST_ENDED + MOST_ENDED_BY_PART + ALLOWED_AFTER
    assert result.counts["engines ended by a prompt"] <= most


def test_bids_between_refusals_that_come_twice_are_not_called_unrun(tmp_path: Path) -> None:
    """Full runners refuse, run and fail calls by turns, and copies of their answers come late."""
    size = SoakSize(vms=4, runners=3, callers=24, length_s=14.0)
    plan = tuple(
        Fault(kind=FaultKind.RUNNERS_SHED, at_s=1.0 + 4.0 * n, for_s=3.5, number=5)
        for n in range(3)
    )
    result = play(11, tmp_path, size=size, length_s=14.0, plan=plan)
    assert result.violations == ()
    assert result.counts.get("bid 503", 0) > 50


def test_a_target_that_fails_a_bid_with_a_promise_is_told_apart_from_its_answer_to_a_lookup() -> (
    None
):
    judge = Judge(organisation="org-1")
    sealed = Headers(((SEAL, "seal-x"),))
    for request in ("bid-1", "look-1", "look-2"):
        judge.ran(request, "r1", Headers(((ORGANISATION, "org-1"),)))
    judge.runs_once("bid-1")
    for request in ("bid-1", "look-1"):
        judge.called(request, 503, sealed, b"")
        judge.answered(request.partition("-")[0], request, 503)
    judge.answered("look", "look-2", 503)
    assert [v.detail.partition(" ")[0] for v in judge.violations] == ["bid-1", "look-2"]


def test_streams_stay_at_their_versions_while_vms_and_engines_end(tmp_path: Path) -> None:
    """Engines of three versions, VMs killed one by one and all at once, the store away."""
    size = SoakSize(vms=4, engines=6, runners=3, callers=12, length_s=14.0)
    plan = [
        Fault(kind=FaultKind.ENGINE_OTHER_VERSION, at_s=1.0 + 0.4 * n, for_s=0.1, number=10 + n)
        for n in range(3)
    ]
    plan += [
        Fault(kind=FaultKind.VM_KILL, at_s=3.0 + 0.9 * n, for_s=0.4, number=n) for n in range(8)
    ]
    plan += [
        Fault(kind=FaultKind.ENGINE_RETURNS_OTHER, at_s=4.0, for_s=0.2, number=23),
        Fault(kind=FaultKind.ENGINE_OTHER_VERSION, at_s=5.5, for_s=0.1, number=14),
        Fault(kind=FaultKind.ALL_KILL, at_s=7.0, for_s=0.3, number=0),
        Fault(kind=FaultKind.STORE_SILENT, at_s=9.0, for_s=1.5, number=0),
        Fault(kind=FaultKind.ENGINE_CRASH, at_s=9.2, for_s=0.1, number=1),
        Fault(kind=FaultKind.ENGINE_RETURNS_OTHER, at_s=9.5, for_s=0.2, number=15),
        Fault(kind=FaultKind.ALL_KILL, at_s=12.0, for_s=0.3, number=0),
    ]
    ordered = tuple(sorted(plan, key=lambda fault: fault.at_s))
    result = play(4, tmp_path, size=size, length_s=14.0, plan=ordered)
    assert result.violations == ()
    assert result.counts["streams taken up"] > 10
    assert result.counts.get("streams not taken up", 0) < result.counts["streams taken up"] / 2


@pytest.mark.parametrize(
    "kind",
    [
        FaultKind.PATHS_SILENT,
        FaultKind.PATHS_ONE_WAY,
        FaultKind.PATHS_RESET,
        FaultKind.PATHS_REFUSED,
    ],
)
def test_callers_of_vms_without_paths_are_served(kind: FaultKind, tmp_path: Path) -> None:
    """One VM, a data centre's, and all but one lose their paths in turn, as one is killed."""
    size = attrs.evolve(SHORT, vms=4)
    plan = (
        Fault(kind=kind, at_s=1.0, for_s=6.0, number=1),
        Fault(kind=kind, at_s=8.0, for_s=6.0, number=8),
        Fault(kind=kind, at_s=15.0, for_s=4.0, number=5),
        Fault(kind=FaultKind.VM_KILL, at_s=16.0, for_s=0.5, number=2),
    )
    result = play(3, tmp_path, length_s=20.0, size=size, plan=plan)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 20


def test_brittle_runners_stand_while_vms_die(tmp_path: Path) -> None:
    """Runners let nobody wait, and the VMs that give out their room are killed one by one."""
    plan = (
        Fault(kind=FaultKind.RUNNERS_BRITTLE, at_s=1.0, for_s=9.0, number=2),
        Fault(kind=FaultKind.VM_KILL, at_s=6.0, for_s=0.5, number=0),
        Fault(kind=FaultKind.VM_KILL, at_s=7.5, for_s=0.5, number=1),
    )
    result = play(4, tmp_path, length_s=11.0, plan=plan)
    assert result.violations == ()


def test_a_fleet_whose_vms_are_all_told_to_stop_cuts_nothing_late(tmp_path: Path) -> None:
    """All VMs stop within two seconds, so that callers have no other address than theirs."""
    plan = tuple(
        Fault(kind=FaultKind.VM_STOP, at_s=1.0 + number, for_s=0.0, number=number)
        for number in range(SHORT.vms)
    )
    result = play(6, tmp_path, length_s=14.0, size=attrs.evolve(SHORT, callers=24), plan=plan)
    assert result.violations == ()
    assert result.counts.get("stream 200", 0) > 20


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


def test_a_version_that_is_ordered_again_under_its_name_is_not_taken_back(tmp_path: Path) -> None:
    """Guards against an operator that acts on the end of the first order, and a judge that does."""
    first, second = 2, 1
    plan = (
        Fault(kind=FaultKind.NEW_VERSION, at_s=1.0, for_s=4.0, number=first),
        Fault(kind=FaultKind.NEW_VERSION, at_s=16.0, for_s=6.0, number=second),
    )
    size = attrs.evolve(SHORT, callers=12)
    result = play(1, tmp_path, length_s=28.0, size=size, plan=plan)
    assert result.violations == ()
    assert result.counts["look 200"] > 0


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


@pytest.mark.parametrize(("arrives_late", "broken"), [(False, 0), (True, 1)])
def test_work_at_a_runner_that_drains_is_judged_by_when_it_came(
    arrives_late: bool, broken: int
) -> None:
    """Guards against blame for a call that came before, and ends with its silent runner."""
    judge = Judge(organisation="org-1")
    site: Any = SimpleNamespace(
        vms=[SimpleNamespace(disturbed_at=0.0)], vms_calm_since=lambda since: False
    )
    runner = WatchedRunner(target_id="r1", judge=judge, site=site)
    runner.conducts.append(Conduct.STAY_SILENT)
    headers = Headers(((ORGANISATION, "org-1"), (REQUEST_ID, "look-1")))

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        host, port = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runner.run, listeners)
            if arrives_late:
                runner.known_to_leave_at = trio.current_time()
            with pytest.raises(PeerError):
                await fetch(
                    Address(host=host, port=port),
                    path="/look/1",
                    headers=headers,
                    step="look",
                    timeout_s=0.2,
                )
            runner.known_to_leave_at = trio.current_time()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert runner.runs["look-1"] == 1
    assert len(judge.violations) == broken


@pytest.mark.parametrize("is_refused", [False, True])
def test_a_stream_that_its_engine_rejects_has_not_run(is_refused: bool) -> None:
    """Soak seed 2005: it was sent with a copy that was gone, and its caller told so truthfully."""
    judge = Judge(organisation="org-1")
    site: Any = SimpleNamespace(deadly=set())
    engine = WatchedEngine(
        target_id="e1",
        fleet={},
        judge=judge,
        started_ms=1,
        pace=1.0,
        room=TargetRoom(),
        version="v1",
        site=site,
    )
    if is_refused:
        engine.conducts.append(EngineConduct.REFUSE)
    headers = Headers(((ORGANISATION, "org-1"), (REQUEST_ID, "stream-1"), (EXPECTED_TARGET, "e1")))

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        host, port = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.run, listeners)
            address = Address(host=host, port=port)
            await fetch(address, path="/stream/1", headers=headers, step="stream", timeout_s=5.0)
            nursery.cancel_scope.cancel()

    trio.run(main)
    judge.answered("stream", "stream-1", 503)
    assert [v.promise for v in judge.violations] == ([] if is_refused else ["not run is true"])


def test_spoilt_answers_end_with_the_faults_but_those_of_a_bad_version() -> None:
    """Guards against a last bid that is held against the VMs, as its runner was to fail it."""
    site: Any = SimpleNamespace(vms=[], vms_calm_since=lambda since: False, runners=[])
    for is_bad in (False, True):
        runner = WatchedRunner(target_id="r1", judge=Judge(organisation="org-1"), site=site)
        runner.is_bad = is_bad
        runner.conducts.append(Conduct.FAIL)
        site.runners.append(SimpleNamespace(server=runner))
    SoakSite.end_bad_answers(site)
    assert [len(runner.server.conducts) for runner in site.runners] == [0, 1]


def test_a_deployment_follows_from_its_seed_and_each_part_is_drawn() -> None:
    assert draw_deployment(7) == draw_deployment(7)
    drawn = [draw_deployment(seed) for seed in range(40)]
    for part in attrs.fields(Deployment):
        assert len({getattr(deployment, part.name) for deployment in drawn}) == 2


def test_ranks_in_short_room_at_uneven_targets_break_no_promise(tmp_path: Path) -> None:
    """Guards against a rank that starves, and against refusals that are not true, in short room."""
    hard = Deployment(
        stream_ranks=(0, 2),
        has_patient=True,
        memory_tokens=SHORT_TOKENS,
        paces=UNEVEN_PACES,
        tells_slowness=True,
    )
    result = play(3, tmp_path, plan=(), deployment=hard, size=attrs.evolve(SHORT, callers=16))
    assert result.violations == ()
    assert min(result.counts[f"{rank} whole"] for rank in (*hard.stream_routes, "patient")) > 5


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
        judge.reached("d", 4.0, in_touch=True)
        judge.reached("d", 6.0, in_touch=False)
    assert len(judge.violations) == 9
    for _ in range(4):
        judge.reached("d", 6.0, in_touch=True)
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
