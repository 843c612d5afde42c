"""Gateways that lose their paths to targets, while callers and the other VMs still reach them."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until_within

CUTS = [PathState.SILENT, PathState.ONE_WAY, PathState.RESET, PathState.REFUSED]
NOTICED_S = 3.0
"""From the beginning of a cut until callers are to be served as at other VMs."""
CALLS = 20
SPACING_S = 0.05


async def _cut(site: GatewaySite, *vms: str, state: PathState) -> None:
    """Cut all paths of some VMs once each of them has open connections."""
    for vm in vms:
        for _ in range(4):
            await site.call("/bid/1", vm=vm, body=b"bid")
            await site.call("/look/1", vm=vm, method="GET")
    assert site.paths is not None
    for vm in vms:
        site.paths.set(vm, state)


async def _call_for(seconds: float, site: GatewaySite, vm: str) -> None:
    """Send calls for a while, whatever becomes of them."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        await site.call("/bid/1", vm=vm, body=b"bid", headers=site.headers(Deadline_Ms="500"))
        await site.call("/look/1", vm=vm, method="GET", headers=site.headers(Deadline_Ms="500"))
        await trio.sleep(SPACING_S)


async def _statuses(site: GatewaySite, vm: str) -> list[int]:
    """Return the statuses of bids, lookups and streams at a VM, each tried once."""
    statuses = []
    for number in range(CALLS):
        bid = await site.call("/bid/1", vm=vm, body=b"bid")
        look = await site.call("/look/1", vm=vm, method="GET")
        statuses += [bid.status, look.status]
        if number % 4 == 0:
            stream = await site.stream(f"p-{vm}-{number}", vm=vm, events=4)
            statuses.append(stream.status if stream.whole else 0)
    return statuses


@pytest.mark.parametrize("state", CUTS)
def test_callers_of_a_vm_without_a_path_are_served(state: PathState) -> None:
    """A VM loses its paths to all targets, and its callers are refused or wait in vain."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await _cut(site, "vm-0", state=state)
        await _call_for(NOTICED_S, site, "vm-0")
        assert set(await _statuses(site, "vm-0")) == {200}

    run_site(story, cuttable=True, vms=3)


def test_callers_are_served_where_most_vms_have_no_path() -> None:
    """Four of five VMs lose their paths; the one that is left has to carry them all."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        cut = ("vm-0", "vm-1", "vm-2", "vm-3")
        await _cut(site, *cut, state=PathState.REFUSED)
        async with trio.open_nursery() as nursery:
            for vm in cut:
                nursery.start_soon(_call_for, NOTICED_S, site, vm)
        for vm in cut:
            assert set(await _statuses(site, vm)) == {200}, vm

    run_site(story, cuttable=True, vms=5)


def test_the_word_of_a_vm_without_a_path_keeps_no_other_from_engines() -> None:
    """A VM that reaches no engine tells all others that the engines are lost."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        assert site.paths is not None
        site.paths.set("vm-0", PathState.REFUSED)
        await site.stream("p-1", vm="vm-0", events=4, Deadline_Ms="2000")
        await trio.sleep(0.2)
        other = site.vms["vm-1"].daemon.parts
        avoidance, now = other.beliefs.book.avoidance, other.timers.now
        assert [name for name in site.engines if avoidance.is_avoided(name, now)] == []

    run_site(story, cuttable=True, vms=2)


@pytest.mark.parametrize("state", CUTS)
def test_a_stream_goes_on_when_its_vm_loses_its_paths(state: PathState) -> None:
    """A VM loses its paths while it passes on a stream, and its caller waits for the rest."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        assert site.paths is not None
        paths = site.paths

        def on_event(count: int) -> None:
            if count == 5:
                paths.set("vm-0", state)

        stream = await site.stream("p-1", vm="vm-0", events=40, on_event=on_event)
        assert stream.whole
        assert stream.is_events("p-1", 1, 40)

    run_site(story, cuttable=True, vms=2)


def test_a_vm_uses_its_own_path_again_once_it_is_back() -> None:
    """After a cut a VM went on avoiding engines for seconds, as each had failed again and again."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        assert site.paths is not None
        await _cut(site, "vm-0", state=PathState.REFUSED)
        for number in range(4):
            await site.stream(f"p-{number}", vm="vm-0", events=2, Deadline_Ms="1000")
        site.paths.set("vm-0", PathState.OPEN)
        parts = site.vms["vm-0"].daemon.parts

        def uses_engines() -> bool:
            avoidance, now = parts.beliefs.book.avoidance, parts.timers.now
            return not any(avoidance.is_avoided(name, now) for name in site.engines)

        await until_within(1.0, uses_engines)
        assert set(await _statuses(site, "vm-0")) == {200}

    run_site(story, cuttable=True, vms=2)
