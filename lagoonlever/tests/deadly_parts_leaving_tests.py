"""Parts of prompts that end engines just as their callers leave, or as their time is over."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.platform_engine import DeathStage, FakeEngine
from lagoonlever.tests.deadly_ends import STABLE_S, Ends
from lagoonlever.tests.deadly_parts_tests import LATER, PART, ready
from lagoonlever.tests.gateway_site import GatewaySite, run_site, sleep_turns

SPACING_S = 0.2
REQUESTS = 40
PROMPT_TOKENS = 200
READ_S = 0.3
"""For which an engine reads such a prompt, and then ends."""
LONG_S = 10.0
NOTICES_S = 0.3
"""For which an engine goes on with a request whose caller has left."""


def prepare(engine: FakeEngine, stage: DeathStage) -> None:
    """Have an engine end at a stage, at a known time, also where its caller has left."""
    engine.dies_at = stage
    engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
    engine.notices_gone_s = NOTICES_S


async def ask_part(site: GatewaySite, number: int, part: str, **more: str) -> None:
    """Ask one of the VMs with a part of prompts."""
    await site.stream(
        f"own-{number}",
        vm=f"vm-{number % len(site.vms)}",
        shared=("system", part),
        prompt_tokens=PROMPT_TOKENS,
        **more,
    )


async def ask_and_leave(site: GatewaySite, number: int, part: str, after_s: float) -> None:
    """Ask with a part of prompts, and leave after a while."""
    with trio.move_on_after(after_s):
        await ask_part(site, number, part)


async def play(site: GatewaySite, stage: DeathStage, *, leave_s: float, **more: str) -> Ends:
    """Have callers ask with the part, and leave after ``leave_s``; sound ones ask beside them."""
    await ready(site)
    ends = site.deaths = Ends(site, prepare=lambda engine: prepare(engine, stage))
    for engine in site.engines.values():
        prepare(engine, stage)
    sound: list[bool] = []

    async def ask(number: int) -> None:
        with trio.move_on_after(leave_s):
            await ask_part(site, number, PART, **more)

    async def ask_sound(number: int) -> None:
        vm = f"vm-{(number + 1) % len(site.vms)}"
        sound.append((await site.stream(f"sound-{number}", vm=vm, shared=("system",))).whole)

    async with trio.open_nursery() as nursery:
        for number in range(REQUESTS):
            nursery.start_soon(ask, number)
            nursery.start_soon(ask_sound, number)
            await sleep_turns(SPACING_S)
    assert all(sound)
    assert ends
    return ends


@pytest.mark.parametrize("stage", [DeathStage.BEFORE_HEAD, DeathStage.HEAD])
@pytest.mark.parametrize("after_s", [-0.2, -0.05, 0.0, 0.02, 0.2])
def test_a_part_is_stopped_whose_callers_leave_as_their_engines_end(
    stage: DeathStage, after_s: float
) -> None:
    """An attempt that was cancelled counted no end: each caller that left ended one more engine."""

    async def story(site: GatewaySite) -> None:
        ends = await play(site, stage, leave_s=READ_S + after_s)
        assert ends.late() <= LATER, (len(ends), ends.late())

    run_site(story, engines=30, vms=4)


@pytest.mark.parametrize("stage", [DeathStage.BEFORE_HEAD, DeathStage.HEAD])
@pytest.mark.parametrize("after_s", [-0.05, 0.02])
def test_a_part_is_stopped_whose_requests_time_is_over_as_their_engines_end(
    stage: DeathStage, after_s: float
) -> None:
    """A deadline cancels the attempt before anybody has seen how it broke."""

    async def story(site: GatewaySite) -> None:
        deadline = str(round((READ_S + after_s) * 1000))
        ends = await play(site, stage, leave_s=LONG_S, Deadline_Ms=deadline)
        assert ends.late() <= LATER, (len(ends), ends.late())

    run_site(story, engines=30, vms=3)


def test_ordinary_callers_that_leave_cost_no_question() -> None:
    """Questions are work for engines, and many callers leave."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        site.deadly.clear()
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
        probers = [vm.daemon.parts.prober for vm in site.vms.values()]
        before = sum(prober.questions for prober in probers)
        for number in range(20):
            await ask_and_leave(site, number, PART, READ_S / 2)
        await trio.sleep(STABLE_S)
        assert sum(prober.questions for prober in probers) == before

    run_site(story, engines=6, vms=3)


def test_a_part_whose_callers_have_left_is_not_stopped_as_a_data_centre_crashes() -> None:
    """Guards against sound parts that are held for the cause of a loss of power."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        site.deadly.clear()
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
        async with trio.open_nursery() as nursery:
            for number in range(24):
                nursery.start_soon(ask_and_leave, site, number, "rare", READ_S - 0.05)
            await sleep_turns(READ_S)
            for number in range(0, 12, 3):
                site.crash(f"engine-{number}")
        await trio.sleep(STABLE_S)
        for number in range(3):
            vm = f"vm-{number}"
            answer = await site.stream(f"later-{number}", vm=vm, shared=("system", "rare"))
            assert answer.whole

    run_site(story, engines=12, vms=3)
