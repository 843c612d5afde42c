"""Tests of a target that leaves a whole deployment, with one VM cut off from the platform."""

from __future__ import annotations

import trio

from lagoonlever.decisions.targets.listing import TargetListing
from lagoonlever.decisions.targets.targets import TargetState
from lagoonlever.decisions.targets.watch import TargetKnowledge
from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.fakes.engine import FakeEngine
from lagoonlever.history.checkers.leaving_target import GRACE_S, check
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_targets import EngineTook, TargetListed
from lagoonlever.tests.base import Scene, run_scene, until

LEAVING = "engine-1"
CUT_VM = "vm-3"
AFTER_S = GRACE_S + 1.5
LENGTH = 5


def watch(scene: Scene, name: str, engine: FakeEngine, seen: list[HistoryEvent]) -> None:
    """Record the requests that an engine accepts, at the engine."""
    submit = engine._batch.submit

    def recorded(generation):
        seen.append(
            EngineTook(
                at=scene.recorder.now,
                process=name,
                target=name,
                stream=generation.request_id,
                prompt_tokens=len(generation.prompt),
                max_tokens=generation.max_tokens,
                seed=generation.seed,
                model_version=generation.version,
            )
        )
        submit(generation)

    engine._batch.submit = recorded


def cut_from_platform(scene: Scene) -> None:
    """Let all further reads of the list by one VM fail."""

    async def unavailable():
        raise PlatformUnavailable("cut", step="list-vms", peer="platform")

    scene.cluster.vms[CUT_VM].daemon.parts.membership._platform.list_vms = unavailable


async def leave_under_load(scene: Scene, seen: list[HistoryEvent]) -> None:
    for name, engine in scene.cluster.engines.items():
        watch(scene, name, engine, seen)
    cut_from_platform(scene)
    ended = trio.Event()

    async def callers(vm: str) -> None:
        number = 0
        while not ended.is_set():
            number += 1
            await scene.ask(name=f"caller-{vm}-{number}", length=LENGTH, seed=number, vm=vm)

    async with trio.open_nursery() as nursery:
        for vm in scene.cluster.vms:
            nursery.start_soon(callers, vm)
            nursery.start_soon(callers, vm)
        await until(lambda: any(event.target == LEAVING for event in seen))
        seen.append(
            TargetListed(at=scene.recorder.now, process="platform", target=LEAVING, state="leaving")
        )
        scene.cluster.set_leaving(LEAVING)
        await trio.sleep(AFTER_S)
        ended.set()


def test_a_leaving_engine_gets_no_new_work_from_any_vm(tmp_path):
    """Guards against answers that begin on an engine about to be removed, and break off there.

    Requests arrive at three VMs, one of which can't read the platform's list, and the engine is
    listed as leaving. Without the updates of its peers that VM would go on using it.
    """
    seen: list[HistoryEvent] = []
    run_scene(lambda scene: leave_under_load(scene, seen), tmp_path)
    assert check(seen) == []
    listed_at = next(event.at for event in seen if isinstance(event, TargetListed))
    late = [event for event in seen if event.at > listed_at + GRACE_S]
    assert late and all(event.target != LEAVING for event in late)


def test_the_checker_sees_a_vm_that_ignores_the_list(tmp_path, monkeypatch):
    """Run the same scene without both guards: the states of the list, the check before a write."""
    seen: list[HistoryEvent] = []
    monkeypatch.setattr(TargetListing, "state_of", lambda *_: TargetState.LIVE)
    monkeypatch.setattr(TargetKnowledge, "may_dispatch", lambda *_: True)
    run_scene(lambda scene: leave_under_load(scene, seen), tmp_path)
    assert check(seen) != []
