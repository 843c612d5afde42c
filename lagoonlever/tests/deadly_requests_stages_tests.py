"""Requests that end engines at each stage of an answer, whose callers come back everywhere."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.platform_engine import DeathStage, FakeEngine
from lagoonlever.tests.deadly_ends import STABLE_S, Ends
from lagoonlever.tests.deadly_parts_leaving_tests import (
    NOTICES_S,
    PROMPT_TOKENS,
    READ_S,
    prepare,
)
from lagoonlever.tests.deadly_requests import DEADLY, MOST_ENDED, deadly
from lagoonlever.tests.gateway_site import GatewaySite, run_site, sleep_turns

LATER = 3
"""Retries that may reach an engine a stable window after the third has ended."""
RETURNS = 24
SPACING_S = 0.35
FAST_S = 0.002
"""For which an engine reads a prompt that takes no time worth a word."""


async def come_back(site: GatewaySite, first_vm: int, *, leave_s: float) -> None:
    """Ask the deadly question again and again, at one VM after the other."""
    for number in range(RETURNS):
        vm = f"vm-{(first_vm + number) % len(site.vms)}"
        with trio.move_on_after(leave_s):
            await site.stream(DEADLY, vm=vm, shared=("system",), prompt_tokens=PROMPT_TOKENS)
        await sleep_turns(SPACING_S)


async def play(
    site: GatewaySite, stage: DeathStage, *, leave_s: float, read_s: float, callers: int = 2
) -> Ends:
    """Have callers come back with the same question."""

    def change(engine: FakeEngine) -> None:
        prepare(engine, stage)
        engine.prefill_tokens_per_s = PROMPT_TOKENS / read_s

    await deadly(site)
    ends = Ends(site, prepare=change)
    site.deaths = ends
    for engine in site.engines.values():
        change(engine)
    async with trio.open_nursery() as nursery:
        for caller in range(callers):
            nursery.start_soon(lambda vm=caller: come_back(site, vm, leave_s=leave_s))
    assert len(ends) >= MOST_ENDED
    return ends


@pytest.mark.parametrize("stage", list(DeathStage))
def test_a_request_is_stopped_at_whatever_stage_of_the_answer_its_engines_end(
    stage: DeathStage,
) -> None:
    """Two callers come back at once, each to any VM."""

    async def story(site: GatewaySite) -> None:
        ends = await play(site, stage, leave_s=STABLE_S, read_s=FAST_S)
        assert ends.late(MOST_ENDED) <= LATER, (len(ends), ends.late(MOST_ENDED))

    run_site(story, engines=40, vms=3)


@pytest.mark.parametrize("stage", list(DeathStage))
def test_copies_that_come_to_every_vm_at_once_are_stopped(stage: DeathStage) -> None:
    """Copies that waited at engines of their own were all there before the request was refused."""

    async def story(site: GatewaySite) -> None:
        ends = await play(site, stage, leave_s=STABLE_S, read_s=0.6, callers=6)
        assert ends.late(MOST_ENDED) <= LATER, (len(ends), ends.late(MOST_ENDED))

    run_site(story, engines=40, vms=4)


@pytest.mark.parametrize("stage", [DeathStage.BEFORE_HEAD, DeathStage.HEAD])
@pytest.mark.parametrize("after_s", [-NOTICES_S / 2, 0.02])
def test_a_request_is_stopped_whose_callers_leave_as_its_engines_end(
    stage: DeathStage, after_s: float
) -> None:
    """An attempt that was cancelled counted no end, so each return ended one more engine."""

    async def story(site: GatewaySite) -> None:
        ends = await play(site, stage, leave_s=READ_S + after_s, read_s=READ_S)
        assert ends.late(MOST_ENDED) <= LATER, (len(ends), ends.late(MOST_ENDED))

    run_site(story, engines=30, vms=3)
