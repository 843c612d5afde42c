"""How full of copies an engine may get, by the losses of late."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.decisions.engines.copy_room import RISK, WHOLE, copies_most, risk_of_loss
from lagoonlever.decisions.engines.engine_avoidance import LOSSES_WINDOW_S, EngineAvoidance
from lagoonlever.decisions.engines.engine_scheduler import MAX_COPIES_SHARE, EngineScheduler
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.booked_runs import BookedRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.http.messages import Address

LIMITS = EngineLimits(slots=16, memory_tokens=55_000)
MEMORY = 6_400
DATA_CENTERS = "abcd"
LATER = 2.0
"""After a crash, when its engines are no longer avoided."""


def engines(count: int) -> list[ListedTarget]:
    address = Address(host="10.0.0.1", port=80)
    return [
        ListedTarget(id=f"e{n}", service="s", address=address, data_center=DATA_CENTERS[n % 4])
        for n in range(count)
    ]


def nearly_full(listed: list[ListedTarget]) -> EngineScheduler:
    """Give a book by which each engine has seven runs: one more fits, and leaves little."""
    book = EngineScheduler(rng=random.Random(1), data_center="a")
    for number, engine in enumerate(listed * 7):
        run = BookedRun(
            request=f"r{number}",
            vm="vm-1",
            engine=engine.id,
            prompt_tokens=5_200,
            memory_tokens=MEMORY,
            service="s",
        )
        book.record_dispatch(attrs.evolve(run, flowing=True), 0.0)
    return book


def holder(book: EngineScheduler, listed: list[ListedTarget], *, by_losses: bool) -> object:
    return book.place_copy(
        listed,
        limits=LIMITS,
        beside=listed[0],
        memory_tokens=MEMORY,
        now=LATER,
        by_losses=by_losses,
    )


def crash(book: EngineScheduler, listed: list[ListedTarget], data_center: str) -> None:
    for engine in listed:
        if engine.data_center == data_center:
            book.avoidance.failed(engine.id, 0.0)


def test_runs_are_copied_in_a_burst_that_meets_the_crash_of_a_data_centre() -> None:
    """Guards against runs without a copy, each of which costs a whole reading in the next crash."""
    listed = engines(44)
    book = nearly_full(listed)
    crash(book, listed, "b")
    assert holder(book, listed, by_losses=True) is not None


def test_room_is_kept_for_prompts_while_engines_stay() -> None:
    """Guards against copies that nobody will need and that keep prompts out."""
    listed = engines(44)
    book = nearly_full(listed)
    assert holder(book, listed, by_losses=True) is None


def test_where_all_runs_are_alike_copies_leave_a_fixed_room() -> None:
    """Guards against a change for services whose work is all alike."""
    listed = engines(44)
    book = nearly_full(listed)
    crash(book, listed, "b")
    assert holder(book, listed, by_losses=False) is None


@pytest.mark.parametrize(
    ("losses", "most"), [(0, MAX_COPIES_SHARE), (1, MAX_COPIES_SHARE), (11, WHOLE)]
)
def test_one_lost_engine_is_no_crash_of_a_data_centre(losses: int, most: float) -> None:
    """Guards against a single faulty engine that changes the room of all."""
    risk = risk_of_loss(losses, engines=45, window_s=LOSSES_WINDOW_S, run_s=6.0)
    assert copies_most(risk, usual=MAX_COPIES_SHARE) == most


def test_losses_are_forgotten_after_their_window() -> None:
    avoidance = EngineAvoidance()
    avoidance.failed("e1", 0.0)
    avoidance.failed("e1", 0.1)
    assert avoidance.losses(1.0) == 1
    assert avoidance.losses(LOSSES_WINDOW_S + 0.1) == 0


def test_the_risk_is_a_chance() -> None:
    assert risk_of_loss(3, engines=0, window_s=15.0, run_s=6.0) == 0.0
    assert risk_of_loss(100, engines=3, window_s=15.0, run_s=60.0) == 1.0


def test_without_the_mechanism_the_room_is_fixed() -> None:
    MECHANISMS.switch_off(["copies-by-risk"])
    try:
        assert copies_most(2 * RISK, usual=MAX_COPIES_SHARE) == MAX_COPIES_SHARE
    finally:
        MECHANISMS.switch_off(())
