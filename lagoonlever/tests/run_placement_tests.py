"""One attempt's place: by room and reading, kept for the asker, within budget and load."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.admission.prompt_admission import MIN_PROMPTS
from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.booked_runs import BookedRun
from lagoonlever.decisions.streams.run_placement import (
    BudgetSpent,
    NoEngine,
    Overloaded,
    Placed,
    PlacementView,
    RunAsk,
    place_run,
    reserved_run,
)
from lagoonlever.decisions.streams.run_records import RESERVED_S
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.tests.base import at

LIMITS = EngineLimits(slots=12, memory_tokens=55_000, copies=True)
ASK = RunAsk(request="r1", service="engines", prompt_tokens=5_000, memory_tokens=6_000, part="p1")


def engine(name: str, place: str, *, draining: bool = False) -> ListedTarget:
    return ListedTarget(
        id=name,
        service="engines",
        address=Address(host="10.0.0.1", port=8000 + int(name[1:])),
        data_center=place,
        draining=draining,
    )


def view(*listed: ListedTarget) -> PlacementView:
    targets = TargetRegistry()
    listed = listed or (engine("e1", "a"), engine("e2", "b"), engine("e3", "c"))
    targets.apply_list(listed, revision=at(1), now=0.0, store_back_at=None)
    return PlacementView(
        book=EngineScheduler(rng=random.Random(1), data_center="a"),
        window=RetryWindow(ratio=0.8, window_s=10.0, slack=5.0),
        targets=targets,
        limits=LIMITS,
    )


def booked(ask: RunAsk, placed: Placed) -> BookedRun:
    return attrs.evolve(reserved_run(ask, placed, vm="vm-1"), prompt_tokens=ask.prompt_tokens)


def test_a_place_is_kept_for_the_vm_that_asked() -> None:
    """Three VMs lose their engines in the same crash and ask the same hub within a millisecond.

    None of them has told of its new run yet. Sent to the same engine each prompt would
    wait for the other two.
    """
    seen = view()
    chosen = []
    for number in range(3):
        ask = attrs.evolve(ASK, request=f"r{number}", part=f"p{number}")
        outcome = place_run(ask, seen, 0.0)
        assert isinstance(outcome, Placed)
        seen.book.reserve(reserved_run(ask, outcome, vm=f"vm-{number}"), 0.0)
        chosen.append(outcome.engine)
    assert sorted(chosen) == ["e1", "e2", "e3"]


def test_a_place_that_is_never_used_is_given_to_others() -> None:
    """The VM that asked dies before it sends anything: nobody tells of an end."""
    seen = view()
    for name in ("e1", "e2", "e3"):
        run = reserved_run(attrs.evolve(ASK, request=f"r-{name}"), Placed(engine=name), vm="vm-1")
        seen.book.reserve(run, 0.0)
    for name in ("e2", "e3"):
        seen.book.record_dispatch(
            booked(attrs.evolve(ASK, request=f"s-{name}"), Placed(engine=name)), 0.1
        )
    seen.book.expire(RESERVED_S + 0.1)
    outcome = place_run(ASK, seen, RESERVED_S + 0.1)
    assert isinstance(outcome, Placed) and outcome.engine == "e1"


def test_a_kept_place_is_no_request_no_repeat_and_no_run_to_go_on_from() -> None:
    """Counted when it is asked for and again when it is sent, each stream would be a repeat.

    The budget of repeats would be spent by streams that were never repeated.
    """
    book = view().book
    placed = Placed(engine="e1")
    book.reserve(reserved_run(ASK, placed, vm="vm-1"), 0.0)
    assert not book.is_dispatched("r1")
    assert book.open_runs == ()
    assert book.find_unfinished_run("p1") is None
    book.record_dispatch(booked(ASK, placed), 0.01)
    assert book.is_dispatched("r1")
    book.reserve(reserved_run(ASK, Placed(engine="e2"), vm="vm-1"), 0.5)
    assert book.is_dispatched("r1")


def test_a_run_is_not_beside_the_place_that_was_kept_for_it() -> None:
    """A reading beside another prompt tells no pace; its own kept place is no other prompt."""
    book = view().book
    before = book.timings.prefill_s("engines", "e1", 5_000, 1.0)
    book.reserve(reserved_run(ASK, Placed(engine="e1"), vm="vm-1"), 0.0)
    book.record_dispatch(booked(ASK, Placed(engine="e1")), 0.0)
    book.record_first_event("r1", 3.0)
    assert book.timings.prefill_s("engines", "e1", 5_000, 3.0) > before


def test_a_repeat_beyond_the_budget_waits() -> None:
    seen = view()
    repeat = attrs.evolve(ASK, repeat=True)
    assert isinstance(place_run(repeat, seen, 0.0), Placed)
    for _ in range(5):
        seen.window.record_retry(0.0)
    assert isinstance(place_run(repeat, seen, 0.0), BudgetSpent)
    assert isinstance(place_run(ASK, seen, 0.0), Placed)


def test_a_run_that_stays_only_gets_a_place_for_its_copy() -> None:
    """Its engine leaves: nothing new is sent there, but the run that goes on needs a copy."""
    seen = view(engine("e1", "a", draining=True), engine("e2", "b"))
    outcome = place_run(attrs.evolve(ASK, settled="e1", attempt=False), seen, 0.0)
    assert outcome == Placed(engine="e1", copy_to="e2")


def test_copies_follow_losses_only_where_streams_differ_in_rank() -> None:
    """Guards against a change for services whose work is all alike."""
    few = attrs.evolve(LIMITS, memory_tokens=6_500)
    alike = attrs.evolve(view(), limits=few)
    for gone in ("e8", "e9"):
        alike.book.avoidance.record_failure(gone, 0.0)
    ask = attrs.evolve(ASK, settled="e1", attempt=False)
    outcome = place_run(ask, alike, 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is None
    outcome = place_run(ask, attrs.evolve(alike, ranked=True), 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is not None


def test_a_run_is_copied_by_a_call_also_where_engines_copy_none_as_they_grow() -> None:
    """Engines of this service copy a run only when they are called; its holder has left."""
    seen = view()
    only_called = attrs.evolve(seen, limits=attrs.evolve(LIMITS, copies=False, moves=True))
    outcome = place_run(attrs.evolve(ASK, settled="e1", attempt=False), only_called, 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is not None


def test_a_copy_whose_holder_was_lost_is_not_gone_on_from() -> None:
    seen = view()
    seen.book.avoidance.record_failure("e2", 0.0)
    assert place_run(attrs.evolve(ASK, settled="e2", repeat=True), seen, 0.1) == NoEngine()


def test_a_request_that_may_run_once_gets_no_copy() -> None:
    outcome = place_run(attrs.evolve(ASK, copies=False), view(), 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is None


def test_only_a_new_prompt_is_refused_for_load() -> None:
    """Engines read without a pause; a stream that has begun must go on all the same."""
    seen = view(engine("e1", "a"))
    book = seen.book
    for number in range(4 * MIN_PROMPTS):
        ask = attrs.evolve(ASK, request=f"r-{number}", part=None)
        book.record_dispatch(booked(ask, Placed(engine="e1")), 0.1 * number)
        book.record_first_event(ask.request, 0.1 * number + 1.0)
        book.record_end(ask.request, 0.1 * number + 2.0, whole=True, token_s=0.004, tokens=1_000)
    now = 0.1 * 4 * MIN_PROMPTS
    assert isinstance(place_run(attrs.evolve(ASK, allowed_s=25.0), seen, now), Overloaded)
    assert isinstance(place_run(ASK, seen, now), Placed)
