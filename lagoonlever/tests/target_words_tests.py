"""Targets that say that they leave, or that they want rest: what is still sent there."""

from __future__ import annotations

import itertools

import trio

from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.tests.gateway_site import GatewaySite, run_site

REST_GRACE_S = 0.5
"""From a target's asking for rest until it has to be kept to."""
MOST_RESTING = 2
"""Requests of one VM that a target may get in its rest."""
LEAVE_GRACE_S = 2.0
"""From a target's word that it leaves until nothing may come any more."""


async def call_for(site: GatewaySite, seconds: float, *, per_s: float) -> list[int]:
    """Send bids and lookups in turn, at one VM after the other; gives the statuses."""
    statuses: list[int] = []

    async def one(vm: str, path: str) -> None:
        method = "GET" if path.startswith("/look") else "POST"
        statuses.append((await site.call(path, vm=vm, method=method)).status)

    vms = itertools.cycle(site.vms)
    paths = itertools.cycle(("/bid/1", "/look/1"))
    ends = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends:
            nursery.start_soon(one, next(vms), next(paths))
            await trio.sleep(1.0 / per_s)
    return statuses


def test_a_runner_that_says_that_it_leaves_gets_nothing_though_the_store_is_silent() -> None:
    """Guards against leaves that are heard only as the store tells them, many seconds late."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.runners["runner-0"].says.leaving = "1"
        said_at = trio.current_time()
        statuses = await call_for(site, LEAVE_GRACE_S + 1.5, per_s=20.0)
        late = [at for at in site.runners["runner-0"].arrived_at if at > said_at + LEAVE_GRACE_S]
        assert late == []
        assert set(statuses) == {200}

    run_site(story, engines=0, runners=2, vms=2)


def test_a_runner_that_asks_for_rest_gets_next_to_nothing_in_its_rest() -> None:
    """Guards against tries at a runner that has just said how long it wants none."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        runner.says.rest = "3.0"
        runner.conducts.extend([Conduct.REFUSE, Conduct.SERVE] * 100)
        began = trio.current_time()
        await call_for(site, 2.9, per_s=30.0)
        in_rest = [at for at in runner.arrived_at if at > began + REST_GRACE_S]
        assert len(in_rest) <= MOST_RESTING

    run_site(story, engines=0, runners=2, vms=1)
