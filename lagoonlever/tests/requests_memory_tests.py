"""Whatever becomes of a request at an entry VM, what it held is paid back in the end."""

from __future__ import annotations

import contextlib
from pathlib import Path

import attrs
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.config.vm import VmSettings
from lagoonlever.decisions.admission.held_memory import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    Holding,
    MemoryAccount,
    Stage,
)
from lagoonlever.entry.generations.generations import GenerationSettings
from lagoonlever.outcomes import OUTCOME_HEADER
from lagoonlever.tests.base import LONG, Scene, document, post, run_scene, until

VM, OTHER_VM = "vm-1", "vm-2"
KB = 1024
CAPACITY = 2048 * KB


class LeftEarly(Exception):
    """A client closes its connection in the middle of an answer."""


def forgetful(settings: VmSettings) -> VmSettings:
    kept = GenerationSettings(answer_kept_s=2.0, caller_return_s=0.2)
    return attrs.evolve(settings, generation=kept)


def account_of(scene: Scene, vm: str) -> MemoryAccount:
    return scene.cluster.vms[vm].daemon.parts.guard.memory


async def until_paid_back(scene: Scene, vm: str) -> None:
    await until(lambda: account_of(scene, vm).held_bytes == 0)


async def ask(scene: Scene, *, key: str | None = None, leave: bool = False, **more: object) -> int:
    """Ask VM; return the status, 0 where the client left early."""

    def on_piece(_: bytes) -> None:
        if leave:
            raise LeftEarly

    body = {**document(length=LONG, seed=1), **more}
    headers = (("Idempotency-Key", key),) if key else ()
    with contextlib.suppress(LeftEarly):
        answer = await post(scene.address(VM), body, headers=headers, on_piece=on_piece)
        return answer.status
    return 0


def test_each_end_of_a_request_pays_back(tmp_path: Path) -> None:
    """Guards against an account that fills for good, which ends the service without a word."""

    async def story(scene: Scene) -> None:
        for stream in (True, False):
            assert await ask(scene, stream=stream) == 200
            assert await ask(scene, stream=stream, key=f"a-{stream}") == 200
            assert account_of(scene, VM).held_bytes > 0, "kept answers are paid for"
        assert await ask(scene, leave=True) == 0
        assert await ask(scene, leave=True, key="left") == 0
        assert await ask(scene, prompt=[True]) == 400
        assert await ask(scene, model="unknown") == 404
        assert await ask(scene, key="used", max_tokens=4) == 200
        assert await ask(scene, key="used", max_tokens=5) == 422
        await until_paid_back(scene, VM)

    run_scene(story, tmp_path, engines=1, vms=1, adjust=forgetful)


def test_an_engine_that_is_lost_and_a_caller_that_moves_pay_back(tmp_path: Path) -> None:
    """Guards against holdings of requests that go on elsewhere, or have nowhere to go on."""

    async def story(scene: Scene) -> None:
        held = HeldStream()
        await scene.visit(VM, held, request="moved", length=LONG, seed=1, stop_at=10)
        last = held.last_event_id
        await scene.visit(OTHER_VM, held, request="moved", length=LONG, seed=1, last=last)
        assert held.whole
        await until_paid_back(scene, VM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, scene)
            await until(lambda: account_of(scene, VM).held_bytes > 0)
            for name in list(scene.cluster.engines):
                scene.cluster.kill_target(name)
        await until_paid_back(scene, VM)
        await until_paid_back(scene, OTHER_VM)

    run_scene(story, tmp_path, engines=2, vms=2, adjust=forgetful)


def fill(account: MemoryAccount, *, left: int) -> list[Holding]:
    """Have others hold all but ``left`` bytes, and be served."""
    now = trio.current_time()
    others = []
    while account.capacity_bytes - account.held_bytes > left + SMALL_BYTES + CONNECTION_BYTES:
        other = Holding(give_way=lambda: None, since=now, stage=Stage.SERVING)
        assert account.open(other, now=now)
        assert account.grow(other, SMALL_BYTES, now=now)
        others.append(other)
    rest = account.capacity_bytes - account.held_bytes - left
    other = Holding(give_way=lambda: None, since=now, stage=Stage.SERVING)
    assert account.open(other, now=now)
    assert account.grow(other, rest - CONNECTION_BYTES, now=now)
    return [*others, other]


def test_without_memory_a_request_is_told_so_and_comes_back_to_a_kept_answer(
    tmp_path: Path,
) -> None:
    """Guards against "not run" for what may have run, and callers refused for absent ones."""

    async def story(scene: Scene) -> None:
        account = account_of(scene, VM)
        address = scene.address(VM)
        body = document(length=4, seed=1, prompt="p" * 5 * KB)
        account.capacity_bytes = CAPACITY
        others = fill(account, left=56 * KB)
        refused = await post(address, body)
        assert refused.status == 503
        assert refused.headers.get(OUTCOME_HEADER) == "not-run"
        assert refused.headers.get("Retry-After")
        known = await post(address, body, headers=(("Idempotency-Key", "known"),))
        assert (known.status, known.headers.get(OUTCOME_HEADER)) == (503, "unknown")
        for other in others:
            account.close(other)
        assert (await post(address, body, headers=(("Idempotency-Key", "kept"),))).status == 200
        await until(lambda: len(scene.cluster.vms[VM].daemon.parts.generations.service.tasks) == 1)
        others = fill(account, left=20 * KB)
        assert (await post(address, document(length=4, seed=2))).status == 200
        for other in others:
            account.close(other)
        await until_paid_back(scene, VM)

    run_scene(story, tmp_path, engines=1, vms=1, adjust=forgetful)
