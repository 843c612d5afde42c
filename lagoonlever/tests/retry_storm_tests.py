"""Many runs that begin, or are retried, in one moment on all VMs."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import placing_fleet
from lagoonlever.decisions.streams.run_placement import Placed

SETTLED_S = 6.0
ENGINES = 60
MANY = 600
"""Runs that begin in one moment, as callers return after a loss of all VMs."""


@pytest.mark.parametrize("vms", [9, 195])
def test_news_of_many_runs_at_one_moment_is_heard(vms: int) -> None:
    """Guards against retries and loads that are not counted as too much is told at once."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, vms)
        await trio.sleep(SETTLED_S)
        placing = sorted(placing_fleet(fleet, engine_count=ENGINES).items())
        await trio.sleep(0.1)
        for number in range(MANY):
            vm = placing[number % len(placing)][1]
            vm.peers.begin(vm.booked(f"r-{number}", Placed(engine=f"e-{number % ENGINES}")))
        await trio.sleep(0.5)
        holders = [vm for _, vm in placing if vm.is_hub or vms == 9]
        heard = {vm.name: len(vm.vm.beliefs.book.open_runs) for vm in holders}
        assert set(heard.values()) == {MANY}, heard

    run_fleet(story)
