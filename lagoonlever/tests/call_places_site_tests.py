"""Calls through gateways as processes speak: with runners that tell their slowness, and without."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.tests.gateway_calls_tests import order, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until_within

ASK = "ca"


def says(site: GatewaySite, load: str) -> None:
    for runner in site.runners.values():
        runner.says.load = load


async def warm(site: GatewaySite) -> None:
    """Have each VM hear of a runner once, which it chooses by itself."""
    await site.wait_met()
    for name in site.vms:
        assert (await site.call("/bid/warm", vm=name)).status == 200


def asked(site: GatewaySite) -> int:
    """Count the places that VMs have asked each other for."""
    sent = [vm.daemon.parts.bus.traffic.sent for vm in site.vms.values()]
    return sum(counts[ASK].messages for counts in sent if ASK in counts)


def test_places_are_asked_for_where_runners_tell_their_slowness() -> None:
    async def story(site: GatewaySite) -> None:
        says(site, "1,0,6,100")
        await warm(site)
        for name in site.vms:
            assert (await site.call("/bid/1", vm=name)).status == 200
            assert (await site.call("/look/1", vm=name, method="GET")).status == 200
        assert asked(site) > 0

    run_site(story, engines=0)


def test_nothing_is_asked_where_runners_tell_three_figures() -> None:
    async def story(site: GatewaySite) -> None:
        says(site, "1,0,6")
        await warm(site)
        for name in site.vms:
            assert (await site.call("/bid/1", vm=name)).status == 200
            assert (await site.call("/look/1", vm=name, method="GET")).status == 200
        assert asked(site) == 0

    run_site(story, engines=0)


def test_every_slot_taken_makes_calls_wait_and_none_is_refused() -> None:
    async def story(site: GatewaySite) -> None:
        says(site, "0,0,1,100")
        await warm(site)
        statuses: list[int] = []

        async def call(number: int) -> None:
            vm = f"vm-{number % 2}"
            statuses.append((await site.call(f"/bid/{number}", vm=vm)).status)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
        assert statuses == [200] * 6
        assert max(runs(site).values()) <= 4

    run_site(story, engines=0)


@pytest.mark.parametrize("conduct", [Conduct.LOSE_ANSWER, Conduct.CUT_ANSWER, Conduct.GARBAGE])
def test_a_bid_with_a_place_never_runs_again(conduct: Conduct) -> None:
    """The answer of a bid with a place is lost: sent once more, the dealer would bid twice."""

    async def story(site: GatewaySite) -> None:
        says(site, "0,0,6,100")
        await warm(site)
        before = sum(runs(site).values())
        order(site, conduct)
        assert (await site.call("/bid/1")).status in (502, 504)
        assert sum(runs(site).values()) == before + 1

    run_site(story, engines=0)


@pytest.mark.parametrize("conduct", [Conduct.LOSE_ANSWER, Conduct.FAIL, Conduct.REFUSE])
def test_a_lookup_with_a_place_goes_to_a_second_runner(conduct: Conduct) -> None:
    async def story(site: GatewaySite) -> None:
        says(site, "0,0,6,100")
        await warm(site)
        site.runners["runner-0"].conducts.extend([conduct] * 20)
        for number in range(4):
            assert (await site.call(f"/look/{number}", method="GET")).status == 200

    run_site(story, engines=0)


def test_a_lookup_at_a_runner_that_is_gone_silent_gets_a_second_place() -> None:
    """A runner hangs with a lookup: nothing is heard of it, and the other one has a free slot."""

    async def story(site: GatewaySite) -> None:
        says(site, "0,0,6,100")
        await warm(site)
        site.runners["runner-0"].conducts.extend([Conduct.STAY_SILENT] * 20)
        for number in range(4):
            assert (await site.call(f"/look/{number}", method="GET")).status == 200

    run_site(story, engines=0)


def test_a_bid_is_served_where_the_vm_that_gives_out_places_is_gone() -> None:
    async def story(site: GatewaySite) -> None:
        says(site, "0,0,6,100")
        await warm(site)
        site.vms["vm-1"].kill()
        began = trio.current_time()
        assert (await site.call("/bid/1")).status == 200
        assert trio.current_time() - began < 2.0

    run_site(story, engines=0)


def test_places_are_given_back_when_callers_leave() -> None:
    """Callers leave before their answers: their places would be taken until they lapse."""

    async def story(site: GatewaySite) -> None:
        says(site, "0,0,1,100")
        await warm(site)
        order(site, Conduct.STAY_SILENT, count=2)
        for number in range(2):
            with trio.move_on_after(0.2):
                await site.call(f"/bid/{number}")
        parts = site.vms["vm-0"].daemon.parts
        await until_within(5.0, lambda: parts.open_requests() == 0)
        for runner in site.runners.values():
            runner.conducts.clear()
        assert (await site.call("/bid/last")).status == 200

    run_site(story, engines=0)
