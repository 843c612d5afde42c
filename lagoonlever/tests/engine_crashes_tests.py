"""Prompts that end the engines of entry VMs: they stop, and other answers go on."""

from __future__ import annotations

import contextlib
from pathlib import Path

import pytest
import trio

from lagoonlever.client.exceptions import NoAnswer
from lagoonlever.fakes.engine import FakeEngine
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.tests.base import Scene, expected_text, run_scene, until

DEADLY = "ends-each"
MOST_ENDED = 3
TOLD_S = 3.0
"""Within this every VM refuses what has ended three engines."""
SHORT = 7


def arm_all(scene: Scene) -> None:
    """Have each engine die as it begins a request whose id names it deadly."""
    for engine in scene.cluster.engines.values():

        def sent(stream: str, tokens: int, engine: FakeEngine = engine) -> None:
            if stream.startswith(DEADLY) and tokens == 0:
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
        known = [sum(len(p) for p in crashes._suspects.ends.values()) for crashes in parts]
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
