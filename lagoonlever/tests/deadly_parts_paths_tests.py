"""Parts of prompts that end engines, asked for at VMs that have lost their paths to engines."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.deadly_parts_tests import LATER, MOST_ENDED, PART, arrivals, ask_all, ready
from lagoonlever.tests.gateway_site import GatewaySite, run_site

STABLE_S = 3.0
"""From the fifth end until every VM refuses the part."""
CUTS = [PathState.SILENT, PathState.ONE_WAY, PathState.RESET, PathState.REFUSED]


async def lose_paths(site: GatewaySite, *vms: str, state: PathState) -> None:
    """Cut the paths of VMs, and wait until each has found out."""
    assert site.paths is not None
    for vm in vms:
        site.paths.set(vm, state)
    for vm in vms:
        for number in range(4):
            await site.stream(f"cut-{vm}-{number}", vm=vm, shared=("system", "desk"), events=2)


@pytest.mark.parametrize("state", CUTS)
@pytest.mark.parametrize("cut", [1, 3])
def test_a_crash_seen_by_a_vm_without_paths_is_counted(state: PathState, cut: int) -> None:
    """Engines end one after the other under requests at VMs that reach them by other VMs only."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        await lose_paths(site, *(f"vm-{number}" for number in range(cut)), state=state)
        await ask_all(site, 16, shared=("system", PART), spacing_s=0.25)
        assert len(site.deaths) <= MOST_ENDED
        await trio.sleep(STABLE_S)
        before = arrivals(site)
        answers = await ask_all(site, 8, shared=("system", PART), spacing_s=0.25)
        assert arrivals(site) - before <= LATER
        reasons = [answer.headers.get(REASON_HEADER) for answer in answers]
        assert reasons.count(Reason.ENDS_TARGETS.value) >= len(answers) - LATER

    run_site(story, engines=40, vms=4, cuttable=True)


@pytest.mark.parametrize("state", CUTS)
@pytest.mark.parametrize("cut", [2, 4])
def test_a_part_is_not_stopped_as_paths_are_lost(state: PathState, cut: int) -> None:
    """VMs lose their paths as answers begin on a part; no engine ends."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        assert site.paths is not None
        for engine in site.engines.values():
            engine.event_s = 0.6
        async with trio.open_nursery() as nursery:
            for number in range(8):
                vm = f"vm-{number % 4}"
                nursery.start_soon(
                    lambda vm=vm, n=number: site.stream(
                        f"rare-{n}", vm=vm, shared=("system", "rare"), events=2, Deadline_Ms="4000"
                    )
                )
            await trio.sleep(0.3)
            for number in range(cut):
                site.paths.set(f"vm-{number}", state)
            await trio.sleep(1.5)
            for number in range(cut):
                site.paths.set(f"vm-{number}", PathState.OPEN)
        for engine in site.engines.values():
            engine.event_s = 0.005
        for number in range(4):
            answer = await site.stream(f"later-{number}", vm=f"vm-{number}", shared=("rare",))
            assert answer.headers.get(REASON_HEADER) != Reason.ENDS_TARGETS.value
            assert answer.whole

    run_site(story, engines=12, vms=4, cuttable=True)
