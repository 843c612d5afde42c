"""Tests of whose status the soak's operator acts on."""

from __future__ import annotations

import random
from pathlib import Path

import attrs
import trio
import trio.testing

from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutState
from lagoonlever.fakes.metadata_store import OutsideChange
from lagoonlever.platform.documents import order_document
from lagoonlever.platform.rollouts import RolloutStatus, status_document, status_key
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.rollouts import DECIDED_WITHIN_S, ORDER_KEY, SoakRollout
from lagoonlever.soak.site import SoakSite

FORMER = RolloutOrder(service="apps", version="v2", duration_s=4.0)
ORDER = attrs.evolve(FORMER, duration_s=5.0)
STATUS_KEY = status_key("apps")
DECIDED_S = 1.0


def put_status(site: SoakSite, state: RolloutState) -> None:
    """Write a status of the ordered version, as a VM does."""
    site.store.put(STATUS_KEY, status_document(RolloutStatus(state=state, version="v2")))


def decided(*, restores: bool, final: RolloutState | None) -> tuple[RolloutState | None, float]:
    """Return what the operator takes for the state of an order, and after how long.

    A former order of the same version was rolled back before. With ``restores`` the store comes
    back from a copy of that time, and the order is written again after the final state's time.
    """
    results: list[tuple[RolloutState | None, float]] = []

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            site = SoakSite(
                nursery=nursery,
                judge=Judge(organisation="org-1"),
                folder=Path(),
                rng=random.Random(1),
            )
            site.store.put(ORDER_KEY, order_document(FORMER))
            put_status(site, RolloutState.ROLLED_BACK)
            copy = site.store.copy()
            site.store.put(ORDER_KEY, order_document(ORDER))
            lost = site.store.restore(copy) if restores else ()
            nursery.start_soon(carry_on, site, [each for each in lost if each.key == ORDER_KEY])
            begun = trio.current_time()
            rollout = SoakRollout(site=site, duration_s=ORDER.duration_s, is_bad=False)
            state = await rollout._wait_decided(ORDER)
            results.append((state, trio.current_time() - begun))

    async def carry_on(site: SoakSite, lost: list[OutsideChange]) -> None:
        await trio.sleep(DECIDED_S / 2)
        site.store.write_again(lost)
        await trio.sleep(DECIDED_S / 2)
        if final is not None:
            put_status(site, final)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    return results[0]


def test_a_status_of_a_former_order_of_the_same_version_decides_nothing() -> None:
    """Guards against new runners that drain by the end of an earlier order."""
    for restores in (False, True):
        for final in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK):
            state, after_s = decided(restores=restores, final=final)
            assert state is final
            assert DECIDED_S <= after_s < DECIDED_S + 0.5


def test_an_order_without_a_status_of_its_own_is_not_decided() -> None:
    state, after_s = decided(restores=False, final=None)
    assert state is None
    assert after_s >= ORDER.duration_s + DECIDED_WITHIN_S
