"""Prompts that end the engines of entry VMs: they stop, and other answers go on."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from lagoonlever.client.exceptions import NoAnswer
from lagoonlever.decisions.targets.targets import TargetState
from lagoonlever.entry.daemon import EntryDaemon
from lagoonlever.fakes.engine import FakeEngine
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.tests.base import Scene, expected_text, run_scene, until

DEADLY = "ends-each"
MOST_ENDED = 3
LATER = 3
"""Retries that may still end an engine each, as an end after a token is a half."""
TOLD_S = 3.0
"""Within this every VM refuses what has ended three engines."""
SHORT = 7
RETURNS = 6
READS_S = 1.5
SLOW_FACTOR = 1_000.0
"""By it an engine takes longer for a token than any test waits."""


def arm_all(scene: Scene, *, after_tokens: int = 0) -> None:
    """Have each engine die as it begins a request whose id names it deadly, or right after.

    A stream that goes on at an engine has tokens of others before.
    """
    for engine in scene.cluster.engines.values():
        before: dict[str, int] = {}

        def sent(
            stream: str,
            tokens: int,
            engine: FakeEngine = engine,
            before: dict[str, int] = before,
        ) -> None:
            own = tokens - before.setdefault(stream, tokens)
            if stream.startswith(DEADLY) and own >= after_tokens:
                engine.inject(FaultOrder(kind=FaultKind.DIE))

        engine._faults.sent = sent  # type: ignore[method-assign]


def ended(scene: Scene) -> int:
    return sum(engine._faults.dead for engine in scene.cluster.engines.values())


async def ask_deadly(scene: Scene, number: int) -> None:
    """Ask once, at one VM, under a key of its own."""
    with contextlib.suppress(NoAnswer), trio.move_on_after(5.0):
        await scene.ask(
            name=f"caller-{number}",
            length=SHORT,
            seed=1,
            prompt="a prompt that ends engines",
            vm=f"vm-{number % 3 + 1}",
            request_id=f"{DEADLY}-{number}",
        )


async def told(scene: Scene) -> None:
    """Wait until each VM has heard of every end, which takes it some milliseconds."""
    parts = [vm.daemon.parts.generations.crashes for vm in scene.cluster.vms.values()]

    def all_know() -> bool:
        known = [sum(len(p) for p in crashes._suspects.crashes.values()) for crashes in parts]
        return min(known) >= ended(scene)

    with trio.fail_after(TOLD_S):
        await until(all_know)


@pytest.mark.parametrize("returns", [1, 4])
def test_a_prompt_that_ends_engines_is_stopped_after_the_third(
    tmp_path: Path, returns: int
) -> None:
    """A summary ends each engine that begins it, and its writer asks again at other VMs.

    Every request is allowed eight attempts, and each return has eight of its own: a dozen
    engines ended, with the summaries of everybody else, and then there was none.
    """

    async def story(scene: Scene) -> None:
        arm_all(scene)
        for number in range(returns):
            await ask_deadly(scene, number)
            await told(scene)
        assert ended(scene) <= MOST_ENDED
        held = await scene.ask(name="other", length=SHORT, seed=2)
        assert held.text == expected_text(length=SHORT, seed=2)

    run_scene(story, tmp_path, engines=12, vms=3)


def test_a_prompt_that_ends_engines_after_their_first_token_is_stopped(tmp_path: Path) -> None:
    """An engine that had written a token was held against nothing: each return ended eight."""

    async def story(scene: Scene) -> None:
        arm_all(scene, after_tokens=1)
        for number in range(3):
            await ask_deadly(scene, number)
            await trio.sleep(TOLD_S / 3)
        assert MOST_ENDED <= ended(scene) <= MOST_ENDED + LATER
        held = await scene.ask(name="other", length=SHORT, seed=2)
        assert held.text == expected_text(length=SHORT, seed=2)

    run_scene(story, tmp_path, engines=16, vms=3)


def arm_after_reading(scene: Scene, *, is_quick: Callable[[str], bool]) -> None:
    """Have each engine die once it has read a deadly prompt; that takes no time where quick."""

    async def die_later(engine: FakeEngine, stream: str) -> None:
        await trio.sleep(READS_S)
        if stream in engine.live_streams:
            engine.inject(FaultOrder(kind=FaultKind.DIE))

    for engine in scene.cluster.engines.values():

        def sent(stream: str, tokens: int, engine: FakeEngine = engine) -> None:
            if not stream.startswith(DEADLY):
                return
            if not is_quick(stream):
                trio.lowlevel.spawn_system_task(die_later, engine, stream)
            elif tokens == 0:
                engine.inject(FaultOrder(kind=FaultKind.DIE))

        engine._faults.sent = sent  # type: ignore[method-assign]


def test_returns_after_the_second_end_go_to_one_engine_together(tmp_path: Path) -> None:
    """Guards against returns at several engines that all begin, and end, at the same moment."""

    async def story(scene: Scene) -> None:
        slow_down(scene)
        arm_after_reading(scene, is_quick=lambda _: ended(scene) < MOST_ENDED - 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_deadly, scene, 0)
            await until(lambda: ended(scene) == MOST_ENDED - 1)
            await told(scene)
            for number in range(1, RETURNS):
                nursery.start_soon(ask_deadly, scene, number)
        assert ended(scene) == MOST_ENDED

    run_scene(story, tmp_path, engines=12, vms=3)


def test_returns_that_wait_at_engines_are_called_back_before_they_begin(tmp_path: Path) -> None:
    """Guards against engines that begin a prompt of which everybody knows that it ends them."""

    async def story(scene: Scene) -> None:
        slow_down(scene)
        last = f"{DEADLY}-{RETURNS}"
        arm_after_reading(scene, is_quick=lambda stream: stream.startswith(last))
        async with trio.open_nursery() as nursery:
            for number in range(RETURNS):
                nursery.start_soon(ask_deadly, scene, number)
            await until(lambda: len(reading(scene)) == RETURNS)
            await ask_deadly(scene, RETURNS)
        assert ended(scene) == MOST_ENDED

    run_scene(story, tmp_path, engines=12, vms=3)


def slow_down(scene: Scene) -> None:
    """Have no engine make a token while a prompt is read."""
    for engine in scene.cluster.engines.values():
        engine.inject(FaultOrder(kind=FaultKind.SLOW, factor=SLOW_FACTOR))


def reading(scene: Scene) -> list[str]:
    """Give the streams that are at engines and have no token."""
    return [name for engine in scene.cluster.engines.values() for name in engine.live_streams]


@pytest.mark.parametrize("is_unlisted", [False, True])
def test_an_engine_that_leaves_and_ends_is_held_against_no_prompt(
    tmp_path: Path, is_unlisted: bool
) -> None:
    """A prompt was refused after three engines had ended with it that were to end in any case."""

    async def story(scene: Scene) -> None:
        slow_down(scene)
        engines = scene.cluster.engines
        daemons = [vm.daemon for vm in scene.cluster.vms.values()]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_deadly, scene, 0)
            await until(lambda: reading(scene))
            name = next(name for name, engine in engines.items() if engine.live_streams)

            def state_at(daemon: EntryDaemon) -> TargetState | None:
                target = daemon.parts.targets.view.value.find(name)
                return target.state if target is not None else None

            scene.cluster.set_leaving(name)
            await until(lambda: all(state_at(d) is TargetState.LEAVING for d in daemons))
            if is_unlisted:
                del scene.cluster.targets[name]
                scene.cluster.publish_list()
                await until(lambda: all(state_at(d) is not TargetState.LEAVING for d in daemons))
            left = engines[name]
            left.inject(FaultOrder(kind=FaultKind.DIE))
            others = [engine for engine in engines.values() if engine is not left]
            await until(lambda: any(engine.live_streams for engine in others))
            crashes = [d.parts.generations.crashes for d in daemons]
            assert not any(each._suspects.crashes for each in crashes)
            for engine in others:
                engine.inject(FaultOrder(kind=FaultKind.SLOW, factor=1.0))

    run_scene(story, tmp_path, engines=4, vms=3)
