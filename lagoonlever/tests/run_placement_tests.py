"""Tests of the placement of one attempt: capacity, reservation, retry budget and load limit."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.admission.prompt_admission import MIN_PROMPTS
from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.streams.run_placement import (
    NoEngine,
    Overloaded,
    Placed,
    PlacementContext,
    PlacementRequest,
    RetryBudgetExhausted,
    place_run,
    reserved_run,
)
from lagoonlever.decisions.streams.run_records import RESERVATION_S
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.http.messages import Address
from lagoonlever.tests.base import at

LIMITS = EngineLimits(slots=12, memory_tokens=55_000, copies=True)
REQUEST = PlacementRequest(
    request="r1", service="engines", prompt_tokens=5_000, memory_tokens=6_000, part="p1"
)


def engine(name: str, data_center: str, *, draining: bool = False) -> ListedTarget:
    return ListedTarget(
        id=name,
        service="engines",
        address=Address(host="10.0.0.1", port=8000 + int(name[1:])),
        data_center=data_center,
        draining=draining,
    )


def view(*listed: ListedTarget) -> PlacementContext:
    targets = TargetRegistry()
    listed = listed or (engine("e1", "a"), engine("e2", "b"), engine("e3", "c"))
    targets.apply_list(listed, revision=at(1), now=0.0, store_back_at=None)
    return PlacementContext(
        book=EngineScheduler(rng=random.Random(1), data_center="a"),
        retry_window=RetryWindow(ratio=0.8, window_s=10.0, slack=5.0),
        targets=targets,
        limits=LIMITS,
    )


def sent_run(request: PlacementRequest, placed: Placed) -> EngineRun:
    return attrs.evolve(
        reserved_run(request, placed, vm="vm-1"), prompt_tokens=request.prompt_tokens
    )


def test_a_placement_is_reserved_for_the_vm_that_asked() -> None:
    """Three VMs lose their engines in the same crash and ask the same hub within a millisecond.

    None of them has announced its new run yet. If all were sent to the same engine, each
    prompt would wait for the other two.
    """
    context = view()
    chosen = []
    for number in range(3):
        request = attrs.evolve(REQUEST, request=f"r{number}", part=f"p{number}")
        outcome = place_run(request, context, 0.0)
        assert isinstance(outcome, Placed)
        context.book.reserve(reserved_run(request, outcome, vm=f"vm-{number}"), 0.0)
        chosen.append(outcome.engine)
    assert sorted(chosen) == ["e1", "e2", "e3"]


def test_an_unused_reservation_lapses() -> None:
    """The VM that asked dies before it sends anything, so no VM announces the run's end."""
    context = view()
    for name in ("e1", "e2", "e3"):
        run = reserved_run(
            attrs.evolve(REQUEST, request=f"r-{name}"), Placed(engine=name), vm="vm-1"
        )
        context.book.reserve(run, 0.0)
    for name in ("e2", "e3"):
        context.book.record_dispatch(
            sent_run(attrs.evolve(REQUEST, request=f"s-{name}"), Placed(engine=name)), 0.1
        )
    context.book.expire(RESERVATION_S + 0.1)
    outcome = place_run(REQUEST, context, RESERVATION_S + 0.1)
    assert isinstance(outcome, Placed) and outcome.engine == "e1"


def test_a_reservation_is_no_request_no_retry_and_no_run_to_resume() -> None:
    """A stream is recorded when its placement is reserved and again when it is sent.

    If both counted, each stream would count as a retry, and streams that were never retried
    would use up the retry budget.
    """
    book = view().book
    placed = Placed(engine="e1")
    book.reserve(reserved_run(REQUEST, placed, vm="vm-1"), 0.0)
    assert not book.is_dispatched("r1")
    assert book.open_runs == ()
    assert book.find_unfinished_run("p1") is None
    book.record_dispatch(sent_run(REQUEST, placed), 0.01)
    assert book.is_dispatched("r1")
    book.reserve(reserved_run(REQUEST, Placed(engine="e2"), vm="vm-1"), 0.5)
    assert book.is_dispatched("r1")


def test_a_run_does_not_share_its_prefill_with_its_own_reservation() -> None:
    """A prefill beside another prompt is no measurement; its own reservation is no other prompt."""
    book = view().book
    before = book.timings.prefill_s("engines", "e1", 5_000, 1.0)
    book.reserve(reserved_run(REQUEST, Placed(engine="e1"), vm="vm-1"), 0.0)
    book.record_dispatch(sent_run(REQUEST, Placed(engine="e1")), 0.0)
    book.record_first_event("r1", 3.0)
    assert book.timings.prefill_s("engines", "e1", 5_000, 3.0) > before


def test_a_retry_beyond_the_budget_waits() -> None:
    context = view()
    retry = attrs.evolve(REQUEST, repeat=True)
    assert isinstance(place_run(retry, context, 0.0), Placed)
    context.retry_window.record_retry(0.0, request=retry.request)
    for _ in range(4):
        context.retry_window.record_retry(0.0)
    assert isinstance(place_run(retry, context, 0.0), RetryBudgetExhausted)
    assert isinstance(place_run(REQUEST, context, 0.0), Placed)


def test_a_run_that_stays_at_its_engine_is_placed_only_for_its_copy() -> None:
    """Its engine leaves and gets no new runs, but the run that continues there needs a copy."""
    context = view(engine("e1", "a", draining=True), engine("e2", "b"))
    outcome = place_run(attrs.evolve(REQUEST, settled="e1", attempt=False), context, 0.0)
    assert outcome == Placed(engine="e1", copy_to="e2")


def test_copies_follow_losses_only_where_streams_differ_in_rank() -> None:
    """Services whose streams all have the same rank must be placed as before."""
    small_engines = attrs.evolve(LIMITS, memory_tokens=6_500)
    equal_ranks = attrs.evolve(view(), limits=small_engines)
    for gone in ("e8", "e9"):
        equal_ranks.book.avoidance.record_failure(gone, 0.0)
    request = attrs.evolve(REQUEST, settled="e1", attempt=False)
    outcome = place_run(request, equal_ranks, 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is None
    outcome = place_run(request, attrs.evolve(equal_ranks, ranks_differ=True), 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is not None


def test_a_run_is_copied_on_demand_if_engines_make_no_incremental_copies() -> None:
    """Engines of this service copy a run only on demand, and the holder of its copy has left."""
    context = view()
    on_demand_only = attrs.evolve(context, limits=attrs.evolve(LIMITS, copies=False, moves=True))
    outcome = place_run(attrs.evolve(REQUEST, settled="e1", attempt=False), on_demand_only, 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is not None


def test_a_run_is_not_resumed_from_a_copy_whose_holder_was_lost() -> None:
    context = view()
    context.book.avoidance.record_failure("e2", 0.0)
    assert place_run(attrs.evolve(REQUEST, settled="e2", repeat=True), context, 0.1) == NoEngine()


def test_a_request_that_may_run_once_gets_no_copy() -> None:
    outcome = place_run(attrs.evolve(REQUEST, copies=False), view(), 0.0)
    assert isinstance(outcome, Placed) and outcome.copy_to is None


def test_only_a_new_prompt_is_refused_for_load() -> None:
    """Engines prefill without a pause; a stream that has started must continue nevertheless."""
    context = view(engine("e1", "a"))
    book = context.book
    for number in range(4 * MIN_PROMPTS):
        request = attrs.evolve(REQUEST, request=f"r-{number}", part=None)
        book.record_dispatch(sent_run(request, Placed(engine="e1")), 0.1 * number)
        book.record_first_event(request.request, 0.1 * number + 1.0)
        book.record_end(
            request.request, 0.1 * number + 2.0, whole=True, token_s=0.004, tokens=1_000
        )
    now = 0.1 * 4 * MIN_PROMPTS
    assert isinstance(place_run(attrs.evolve(REQUEST, allowed_s=25.0), context, now), Overloaded)
    assert isinstance(place_run(REQUEST, context, now), Placed)
