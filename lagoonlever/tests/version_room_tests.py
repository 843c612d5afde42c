"""Who gets the last engines of a version: streams that can go on nowhere else."""

from __future__ import annotations

from collections import Counter

import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import (
    LIMITS,
    OLD_VERSION,
    PlacingVm,
    placing_fleet,
)
from lagoonlever.decisions.streams import run_placement

ENGINES, OLD = 20, 2
GOING_ON = 6
"""Streams of the old version: as many as one of its two engines can hold."""
NEW = 84
SETTLED_S = 6.0


async def _place_over(
    vms: list[PlacingVm], names: list[str], *, version: str | None = None
) -> list[str]:
    """Place streams from all VMs in turn; return the engines, in the order of the names."""
    chosen: dict[str, str] = {}

    async def place(number: int, name: str) -> None:
        await trio.sleep(number * 0.005)
        vm = vms[(number * 7) % len(vms)]
        outcome = await vm.place(name, version=version, after_loss=version is not None)
        chosen[name] = outcome.engine
        vm.peers.flows(name)

    async with trio.open_nursery() as nursery:
        for number, name in enumerate(names):
            nursery.start_soon(place, number, name)
    return [chosen[name] for name in names]


async def _share_that_goes_on(fleet: Fleet, vms: int) -> tuple[float, float]:
    """Return the shares of streams that find a slot: going on after a loss, and new ones."""
    start_many(fleet, vms)
    await trio.sleep(SETTLED_S)
    placing = list(placing_fleet(fleet, engine_count=ENGINES, old_versions=OLD).values())
    await trio.sleep(0.1)
    old = [f"old-{n}" for n in range(GOING_ON)]
    began_at = dict(zip(old, await _place_over(placing, old, version=OLD_VERSION), strict=True))
    await trio.sleep(0.2)
    new_at = await _place_over(placing, [f"new-{n}" for n in range(NEW)])
    taken = Counter(new_at)
    lost, left = "e-0", "e-1"
    for vm in placing:
        vm.peers.engine_lost(lost)
    await trio.sleep(0.1)
    broken = [name for name in old if began_at[name] == lost]
    went_to = await _place_over(placing, broken, version=OLD_VERSION)
    assert set(went_to) <= {left}
    free = LIMITS.slots - taken[left] - sum(at == left for at in began_at.values())
    served = sum(min(count, LIMITS.slots) for count in taken.values())
    return min(len(broken), max(0, free)) / len(broken), served / NEW


def _run(vms: int) -> tuple[float, float]:
    shares: list[tuple[float, float]] = []

    async def story(fleet: Fleet) -> None:
        shares.append(await _share_that_goes_on(fleet, vms))

    run_fleet(story)
    return shares[0]


@pytest.mark.parametrize("vms", [9, 75, 195])
def test_streams_of_a_version_with_two_engines_go_on_when_one_ends(vms: int) -> None:
    """Two of twenty engines are of the old version, and new streams fill them like the others."""
    goes_on, begins = _run(vms)
    assert begins == 1.0
    assert goes_on >= 0.5 * begins


def test_without_the_rule_new_streams_take_the_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measure tells the two apart, so it can fail."""
    monkeypatch.setattr(run_placement, "engines_to_spare", lambda *_, **__: frozenset())
    goes_on, begins = _run(195)
    assert goes_on < 0.5 * begins
