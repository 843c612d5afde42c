"""Parts of prompts that end engines at each stage of an answer, from before its head on."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_engine import DeathStage
from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.deadly_ends import Ends
from lagoonlever.tests.deadly_parts_paths_tests import lose_paths
from lagoonlever.tests.deadly_parts_tests import LATER, PART, arrivals, ask_all, ready
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until
from lagoonlever.tests.leaving_engines_ends_tests import (
    SLOW,
    counted,
    judged,
    list_draining,
    rare_at,
    until_known,
)

STABLE_S = 3.0
"""From the fifth end until every VM refuses the part."""


def _die_at(site: GatewaySite, stage: DeathStage) -> None:
    for engine in site.engines.values():
        engine.dies_at = stage


@pytest.mark.parametrize("cut", [0, 2])
@pytest.mark.parametrize("stage", list(DeathStage))
def test_a_part_is_stopped_at_whatever_stage_of_the_answer_its_engines_end(
    stage: DeathStage, cut: int
) -> None:
    """An engine that ends before its head is out, or after an event, was held against no part."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        _die_at(site, stage)
        vms = (f"vm-{number}" for number in range(cut))
        await lose_paths(site, *vms, state=PathState.REFUSED)
        site.deaths = ends = Ends(site)
        await ask_all(site, 16, shared=("system", PART), spacing_s=0.25)
        assert ends.late() <= LATER, (len(ends), ends.late())
        await trio.sleep(STABLE_S)
        before = arrivals(site)
        answers = await ask_all(site, 8, shared=("system", PART), spacing_s=0.25)
        assert arrivals(site) - before <= LATER
        reasons = [answer.headers.get(REASON_HEADER) for answer in answers]
        assert reasons.count(Reason.ENDS_TARGETS.value) >= len(answers) - LATER
        sound = await site.stream("sound-after", vm="vm-3", shared=("system", "desk"))
        assert sound.whole

    run_site(story, engines=60, vms=4, cuttable=True)


@pytest.mark.parametrize("stage", [DeathStage.BEFORE_HEAD, DeathStage.FIRST_EVENT])
def test_a_part_stays_stopped_after_losses_of_all_vms(stage: DeathStage) -> None:
    """VMs that had just started, and knew no answer, each let a request try the part."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        _die_at(site, stage)
        await ask_all(site, 14, shared=("system", PART), spacing_s=0.25)
        late = 0
        for _ in range(2):
            for vm in site.vms.values():
                vm.kill()
            for name in list(site.vms):
                await site.wait_ready(await site.start_vm(name))
            before = arrivals(site)
            await ask_all(site, 30, shared=("system", PART), spacing_s=0.25)
            late += arrivals(site) - before
        assert late <= LATER

    run_site(story, engines=40, vms=3)


def test_engines_that_leave_and_end_are_held_against_nothing() -> None:
    """Three engines ended with their last answers, and a rare part of these was refused.

    Nothing is answered before it is judged: a whole answer would clear what was counted.
    """

    async def story(site: GatewaySite) -> None:
        await ready(site)
        site.deadly.clear()
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = SLOW
        answered: list[int] = []

        async def ask(number: int) -> None:
            vm = f"vm-{number % 3}"
            await site.stream(f"rare-{number}", vm=vm, shared=("system", "rare"), events=2)
            answered.append(number)

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(ask, number)
            await until(lambda: len(rare_at(site.engines.values())) == 4)
            leaving = [name for name, engine in site.engines.items() if engine.runs]
            for name in leaving:
                list_draining(site, name)
            await until_known(site, leaving)
            ended = [site.engines[name] for name in leaving]
            assert sum(bool(engine.runs) for engine in ended) >= 3
            for name in leaving:
                site.crash(name)
            others = [engine for engine in site.engines.values() if engine not in ended]
            await until(lambda: len(rare_at(others)) == 4)
            await judged(site)
            assert not counted(site)
            assert not answered
            nursery.cancel_scope.cancel()

    run_site(story, engines=12, vms=3)
