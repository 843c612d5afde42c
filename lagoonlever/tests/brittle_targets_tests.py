"""Targets that say that they are brittle: how many requests they have to turn away."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import pytest
import trio

from lagoonlever.fakes.platform_engine import FakeEngine
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.tests.call_load import call_for
from lagoonlever.tests.gateway_site import GatewaySite, configuration, run_site, until_within

KNOWN_S = 3.0
"""From the first answer that says so until targets may have less room."""
BORNE = 3
"""What the targets say that they may turn away in a second."""
SLOTS = 2
WORK_S = 0.1
LOAD_S = 4.0


def most_in_a_second(times: Sequence[float]) -> int:
    """Return the most requests that were turned away in any second."""
    return max((sum(1 for at in times if start <= at < start + 1.0) for start in times), default=0)


def make_brittle(target: FakeRunner | FakeEngine, borne: int = BORNE) -> None:
    target.says.tells_load = True
    target.says.brittle = str(borne)


async def until_known(site: GatewaySite, target: str, borne: int | None) -> None:
    """Wait until every VM knows what a target bears."""

    def known() -> bool:
        told = [vm.daemon.parts.brittle.borne_by(target) for vm in site.vms.values()]
        return told == [borne] * len(told)

    await until_within(2.0, known)


@pytest.mark.parametrize("vms", [1, 3])
def test_brittle_runners_turn_away_no_more_than_they_bear(vms: int) -> None:
    """Runners let nobody wait, and one that turns too many calls away falls over."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for runner in site.runners.values():
            runner.work_s, runner.room.slots = WORK_S, SLOTS
            make_brittle(runner)
        await call_for(site, KNOWN_S, per_s=20.0)
        for runner in site.runners.values():
            runner.room.most_waiting = 0
            runner.turned_away_at.clear()
        ran = [sum(runner.runs.values()) for runner in site.runners.values()]
        began = trio.current_time()
        await call_for(site, LOAD_S, per_s=100.0)
        seconds = trio.current_time() - began
        for runner, before in zip(site.runners.values(), ran, strict=True):
            assert most_in_a_second(runner.turned_away_at) <= BORNE
            used = sum(runner.runs.values()) - before
            assert used >= 0.6 * seconds * SLOTS / WORK_S

    run_site(story, engines=0, runners=2, vms=vms)


def test_brittle_engines_turn_away_no_more_than_they_bear() -> None:
    """Engines let nobody wait, and prompts of many VMs meet at one of them."""

    async def story(site: GatewaySite) -> None:
        document = configuration(2)
        document["Services"][0]["Engine"]["Slots"] = SLOTS
        site.configure(document)
        await site.wait_met()
        for engine in site.engines.values():
            engine.room.slots = SLOTS
            make_brittle(engine)
        parts = itertools.count()

        async def ask(vm: str) -> None:
            await site.stream(f"p-{next(parts)}", vm=vm, events=40, Deadline_Ms="3000")

        async def ask_for(seconds: float, per_s: float) -> None:
            ends, vms = trio.current_time() + seconds, itertools.cycle(site.vms)
            async with trio.open_nursery() as nursery:
                while trio.current_time() < ends:
                    nursery.start_soon(ask, next(vms))
                    await trio.sleep(1.0 / per_s)

        await ask_for(KNOWN_S, per_s=4.0)
        for engine in site.engines.values():
            engine.room.most_waiting = 0
            engine.turned_away_at.clear()
        before = sum(len(engine.seen) for engine in site.engines.values())
        await ask_for(LOAD_S, per_s=40.0)
        for engine in site.engines.values():
            assert most_in_a_second(engine.turned_away_at) <= BORNE
        assert sum(len(engine.seen) for engine in site.engines.values()) - before > 20

    run_site(story, engines=3, runners=0, vms=3)


def test_one_answer_tells_every_vm_that_a_target_is_brittle_and_when_it_is_no_more() -> None:
    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        make_brittle(runner)
        await site.call("/bid/1")
        await until_known(site, "runner-0", BORNE)
        runner.says.brittle = None
        await site.call("/bid/1")
        await until_known(site, "runner-0", None)

    run_site(story, engines=0, runners=1, vms=3)


def test_a_vm_that_has_just_come_is_told_which_targets_are_brittle() -> None:
    async def story(site: GatewaySite) -> None:
        make_brittle(site.runners["runner-0"])
        await site.call("/bid/1")
        await site.wait_ready(await site.start_vm("vm-1"))
        await until_known(site, "runner-0", BORNE)

    run_site(story, engines=0, runners=1, vms=1)


def test_a_process_that_has_started_again_is_not_brittle_until_it_says_so() -> None:
    async def story(site: GatewaySite) -> None:
        make_brittle(site.engines["engine-0"])
        await site.stream("p")
        await until_known(site, "engine-0", BORNE)
        site.crash("engine-0")
        await site.start_engine("engine-0")
        await until_known(site, "engine-0", None)

    run_site(story, engines=1, runners=0, vms=2)


@pytest.mark.parametrize("odd", ["", "-1", "2.5", "many", "1e9", "9" * 30, "\xb2"])
def test_an_odd_word_changes_nothing(odd: str) -> None:
    """A target that goes on saying it in a way that can't be read is as brittle as before."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        make_brittle(runner)
        assert (await site.call("/bid/1")).status == 200
        await until_known(site, "runner-0", BORNE)
        runner.says.brittle = odd
        for _ in range(3):
            assert (await site.call("/bid/1")).status == 200
        await until_known(site, "runner-0", BORNE)

    run_site(story, engines=0, runners=1, vms=1)


def test_a_burst_is_borne_when_the_vm_that_gives_out_the_room_dies() -> None:
    """The next VM to give out the room knows nothing of the calls that are under way."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for runner in site.runners.values():
            runner.work_s, runner.room.slots = WORK_S, SLOTS
            make_brittle(runner)
        await call_for(site, KNOWN_S, per_s=20.0)
        for runner in site.runners.values():
            runner.room.most_waiting = 0
            runner.turned_away_at.clear()
        desk = next(n for n, vm in site.vms.items() if vm.daemon.parts.call_desk.is_asked)
        callers = [name for name in site.vms if name != desk]

        async def kill() -> None:
            await trio.sleep(1.0)
            site.vms[desk].kill()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill)
            await call_for(site, LOAD_S, per_s=100.0, vms=callers)
        for runner in site.runners.values():
            assert most_in_a_second(runner.turned_away_at) <= BORNE

    run_site(story, engines=0, runners=2, vms=4)
