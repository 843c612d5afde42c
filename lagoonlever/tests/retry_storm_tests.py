"""Streams that lose their engines at one moment, on all VMs, within the budget of retries."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import (
    MEMORY,
    PROMPT,
    SERVICE,
    PlacingVm,
    placing_fleet,
)
from lagoonlever.decisions.streams.run_placement import Placed, PlacementRequest
from lagoonlever.gateway.settings import RetryBudgetBounds

SETTLED_S = 6.0
ENGINES = 60
STREAMS = 400
MANY = 600
"""Runs that begin in one moment, as callers return after a loss of all VMs."""
RETRY_S = 0.1
"""Between two questions of a stream that is denied."""
ATTEMPTS_S = 2.0
BOUNDS = RetryBudgetBounds()
BOUND = BOUNDS.ratio * STREAMS + BOUNDS.slack
RETRIES_EACH = 2


def retry_of(number: int) -> PlacementRequest:
    return PlacementRequest(
        request=f"r-{number}",
        service=SERVICE,
        prompt_tokens=PROMPT,
        memory_tokens=MEMORY,
        crowd=True,
        repeat=True,
    )


async def retry(vm: PlacingVm, number: int, connect_s: float) -> int:
    """Retry a stream whenever the budget allows it; return how often it was sent."""
    sent = 0
    ends_at = trio.current_time() + ATTEMPTS_S
    while sent < RETRIES_EACH and trio.current_time() < ends_at:
        outcome = await vm.placer.place(retry_of(number))
        if not isinstance(outcome, Placed):
            await trio.sleep(RETRY_S)
            continue
        await trio.sleep(connect_s)
        vm.peers.begin(vm.booked(f"r-{number}", outcome))
        sent += 1
    return sent


@pytest.mark.parametrize("vms", [9, 75, 195])
@pytest.mark.parametrize("connect_s", [0.0, 0.003])
def test_vms_that_retry_at_one_moment_stay_within_the_budget(vms: int, connect_s: float) -> None:
    """All engines fall silent for a second, and no VM has heard yet what the others send."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, vms)
        await trio.sleep(SETTLED_S)
        placing = sorted(placing_fleet(fleet, engine_count=ENGINES).items())
        await trio.sleep(0.1)
        owners = [placing[number % len(placing)][1] for number in range(STREAMS)]
        for number, vm in enumerate(owners):
            vm.peers.begin(vm.booked(f"r-{number}", Placed(engine=f"e-{number % ENGINES}")))
        await trio.sleep(0.5)
        sent: list[int] = []

        async def run(number: int, vm: PlacingVm) -> None:
            sent.append(await retry(vm, number, connect_s))

        async with trio.open_nursery() as nursery:
            for number, vm in enumerate(owners):
                nursery.start_soon(run, number, vm)
        assert sum(sent) <= BOUND
        assert sum(sent) >= BOUND / 2

    run_fleet(story)


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
