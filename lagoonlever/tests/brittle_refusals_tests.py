"""Engines that are brittle and have turned prompts away: they are spared by all VMs for a while."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.decisions.targets.brittle_targets import (
    REFUSALS_WINDOW_S,
    BrittleReport,
    BrittleTargets,
)
from lagoonlever.fakes.platform_engine import EngineConduct, FakeEngine
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.tests.brittle_targets_tests import make_brittle, until_known
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until, until_within

BORNE = 4
HEARD_S = 0.5


def brittle(target: str, borne: int | None) -> BrittleTargets:
    targets = BrittleTargets()
    targets.update(target, BrittleReport(refusals_per_s=borne, at=0.0))
    return targets


def test_a_target_is_spared_for_a_second_once_it_has_turned_away_half_of_what_it_bears() -> None:
    targets = brittle("e", BORNE)
    targets.record_refusal("e", "vm-0/1", 1.0)
    assert not targets.spared(1.0)
    targets.record_refusal("e", "vm-1/1", 1.2)
    assert targets.spared(1.2) == {"e"}
    assert targets.spared(1.0 + REFUSALS_WINDOW_S - 0.01) == {"e"}
    assert not targets.spared(1.0 + REFUSALS_WINDOW_S)


def test_a_refusal_that_several_vms_tell_of_counts_once() -> None:
    """Hubs tell each other what they have heard of the same VM."""
    targets = brittle("e", BORNE)
    for at in (1.0, 1.01, 1.02):
        targets.record_refusal("e", "vm-0/1", at)
    assert not targets.spared(1.1)


def test_only_a_brittle_target_of_the_same_process_is_spared() -> None:
    targets = brittle("e", 1)
    targets.record_refusal("other", "vm-0/1", 1.0)
    targets.record_refusal("e", "vm-0/2", 1.0)
    assert targets.spared(1.0) == {"e"}
    targets.forget("e")
    targets.update("e", BrittleReport(refusals_per_s=1, at=1.1))
    assert not targets.spared(1.1)


async def make_known(site: GatewaySite, engine: FakeEngine) -> None:
    """Have every VM know that an engine bears no refusal but one, and who gives out its room."""
    await site.wait_met()
    make_brittle(engine, borne=1)
    assert (await site.stream("p", events=2)).whole
    await until_known(site, engine.target_id, 1)
    parts = [vm.daemon.parts for vm in site.vms.values()]
    await until(lambda: all(each.presence.roles.value is not None for each in parts))


@pytest.mark.parametrize("vms", [1, 3])
def test_an_engine_that_turned_a_prompt_away_gets_none_for_a_while(vms: int) -> None:
    """Two VMs give out the same room while they differ on who does it, and go on to do so."""

    async def story(site: GatewaySite) -> None:
        engine = site.engines["engine-0"]
        await make_known(site, engine)
        engine.conducts.append(EngineConduct.REFUSE)
        began, arrived = trio.current_time(), len(engine.seen)
        got = await site.stream("q", events=2)
        assert got.is_events("q", 1, 2)
        assert len(engine.seen) - arrived == 2
        assert trio.current_time() - began >= REFUSALS_WINDOW_S

    run_site(story, engines=1, runners=0, vms=vms)


def test_every_vm_hears_that_a_brittle_engine_turned_a_prompt_away() -> None:
    """The next VM to give out the room goes on as if nothing had been turned away."""

    async def story(site: GatewaySite) -> None:
        engine = site.engines["engine-0"]
        await make_known(site, engine)
        engine.conducts.append(EngineConduct.REFUSE)

        async def spared_everywhere() -> None:
            parts = [vm.daemon.parts for vm in site.vms.values()]
            await until_within(
                HEARD_S, lambda: all(each.brittle.spared() == {"engine-0"} for each in parts)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(spared_everywhere)
            assert (await site.stream("q", events=2)).whole

    run_site(story, engines=1, runners=0, vms=3)


def test_a_vm_that_begins_to_give_out_room_knows_what_was_turned_away_before() -> None:
    """The VM that gave it out dies, and the next one sends on to a runner that is about to fall."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        make_brittle(runner, borne=1)
        assert (await site.call("/bid/1")).status == 200
        await until_known(site, "runner-0", 1)
        assert (await site.call("/bid/1")).status == 200
        runner.conducts.append(Conduct.REFUSE)
        desk = next(n for n, vm in site.vms.items() if vm.daemon.parts.call_desk.is_asked)
        caller = next(name for name in site.vms if name != desk)
        refused_at = trio.current_time()
        await site.call("/bid/1", vm=caller)
        site.vms[desk].kill()
        assert (await site.call("/bid/1", vm=caller)).status == 200
        assert trio.current_time() - refused_at >= REFUSALS_WINDOW_S

    run_site(story, engines=0, runners=1, vms=3)
