"""The share of an engine's memory for copies, by how many engines were lost recently."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.decisions.engines.copy_capacity import (
    FULL_COPIES_RISK,
    WHOLE_MEMORY,
    loss_probability,
    max_copies_share,
)
from lagoonlever.decisions.engines.engine_avoidance import LOSSES_WINDOW_S, EngineAvoidance
from lagoonlever.decisions.engines.engine_scheduler import MAX_COPIES_SHARE, EngineScheduler
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.http.messages import Address

LIMITS = EngineLimits(slots=16, memory_tokens=55_000)
MEMORY = 6_400
DATA_CENTERS = "abcd"
AFTER_CRASH_S = 2.0
"""Time after a crash at which its engines are no longer avoided."""


def engines(count: int) -> list[ListedTarget]:
    address = Address(host="10.0.0.1", port=80)
    return [
        ListedTarget(id=f"e{n}", service="s", address=address, data_center=DATA_CENTERS[n % 4])
        for n in range(count)
    ]


def nearly_full(listed: list[ListedTarget]) -> EngineScheduler:
    """Return a scheduler with seven runs at each engine: one more fits, and leaves little."""
    scheduler = EngineScheduler(rng=random.Random(1), data_center="a")
    for number, engine in enumerate(listed * 7):
        run = EngineRun(
            request=f"r{number}",
            vm="vm-1",
            engine=engine.id,
            prompt_tokens=5_200,
            memory_tokens=MEMORY,
            service="s",
        )
        scheduler.record_dispatch(attrs.evolve(run, flowing=True), 0.0)
    return scheduler


def holder(scheduler: EngineScheduler, listed: list[ListedTarget], *, by_losses: bool) -> object:
    return scheduler.choose_copy_holder(
        listed,
        limits=LIMITS,
        run_engine=listed[0],
        memory_tokens=MEMORY,
        now=AFTER_CRASH_S,
        by_losses=by_losses,
    )


def crash(scheduler: EngineScheduler, listed: list[ListedTarget], data_center: str) -> None:
    for engine in listed:
        if engine.data_center == data_center:
            scheduler.avoidance.record_failure(engine.id, 0.0)


def test_runs_are_copied_in_a_burst_after_the_crash_of_a_data_centre() -> None:
    """Guards against runs without a copy, each of which costs a prefill in the next crash."""
    listed = engines(44)
    scheduler = nearly_full(listed)
    crash(scheduler, listed, "b")
    assert holder(scheduler, listed, by_losses=True) is not None


def test_memory_is_kept_for_prompts_while_no_engine_is_lost() -> None:
    """Guards against copies that are not needed and take the memory of prompts."""
    listed = engines(44)
    scheduler = nearly_full(listed)
    assert holder(scheduler, listed, by_losses=True) is None


def test_without_by_losses_copies_leave_a_fixed_share_of_memory() -> None:
    """Guards against a change for services whose work is all alike."""
    listed = engines(44)
    scheduler = nearly_full(listed)
    crash(scheduler, listed, "b")
    assert holder(scheduler, listed, by_losses=False) is None


@pytest.mark.parametrize(
    ("losses", "most"), [(0, MAX_COPIES_SHARE), (1, MAX_COPIES_SHARE), (11, WHOLE_MEMORY)]
)
def test_a_single_lost_engine_does_not_raise_the_share_for_copies(losses: int, most: float) -> None:
    """Guards against a single faulty engine that changes the share at all engines."""
    risk = loss_probability(losses, engines=45, window_s=LOSSES_WINDOW_S, run_s=6.0)
    assert max_copies_share(risk, usual=MAX_COPIES_SHARE) == most


def test_losses_expire_after_their_window() -> None:
    avoidance = EngineAvoidance()
    avoidance.record_failure("e1", 0.0)
    avoidance.record_failure("e1", 0.1)
    assert avoidance.count_losses(1.0) == 1
    assert avoidance.count_losses(LOSSES_WINDOW_S + 0.1) == 0


def test_the_loss_probability_stays_within_0_and_1() -> None:
    assert loss_probability(3, engines=0, window_s=15.0, run_s=6.0) == 0.0
    assert loss_probability(100, engines=3, window_s=15.0, run_s=60.0) == 1.0


def test_without_the_mechanism_the_share_is_fixed() -> None:
    MECHANISMS.switch_off(["copies-by-risk"])
    try:
        assert max_copies_share(2 * FULL_COPIES_RISK, usual=MAX_COPIES_SHARE) == MAX_COPIES_SHARE
    finally:
        MECHANISMS.switch_off(())
