"""Placement of runs: by what engines still have to read, with what all VMs tell each other."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.engines.engine_avoidance import FIRST_AVOID_S
from lagoonlever.decisions.engines.engine_scheduler import (
    BookedRun,
    EngineScheduler,
    RunCopy,
)
from lagoonlever.decisions.engines.engine_timings import PRIOR_PROMPT_TOKEN_S
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.http.messages import Address

LIMITS = EngineLimits(slots=12, memory_tokens=55_000)
PROMPT = 5_000
MEMORY = 6_000


def engine(name: str, data_center: str = "a") -> ListedTarget:
    address = Address(host="10.0.0.1", port=80)
    return ListedTarget(id=name, service="engines", address=address, data_center=data_center)


ENGINES = [engine("e1", "a"), engine("e2", "b"), engine("e3", "c")]


def book(seed: int = 1, data_center: str = "a") -> EngineScheduler:
    return EngineScheduler(rng=random.Random(seed), data_center=data_center)


def run(request: str, at: str, **more: object) -> BookedRun:
    made = BookedRun(
        request=request, vm="vm-1", engine=at, prompt_tokens=PROMPT, memory_tokens=MEMORY
    )
    return attrs.evolve(made, **more)


def placed(on: EngineScheduler, now: float = 0.0, **more: object) -> str:
    placement = on.place(
        ENGINES, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now, **more
    )
    assert placement is not None
    return placement.engine.id


def test_a_run_goes_where_no_prompt_is_being_read() -> None:
    on = book()
    on.record_dispatch(run("r1", "e1"), 0.0)
    on.record_dispatch(run("r2", "e2"), 0.0)
    assert placed(on) == "e3"


def test_a_prompt_counts_until_its_run_flows() -> None:
    on = book()
    on.record_dispatch(run("r1", "e1"), 0.0)
    on.record_dispatch(run("r2", "e2"), 0.0)
    on.record_dispatch(run("r3", "e3"), 0.0)
    on.record_first_event("r2", 0.5)
    assert placed(on) == "e2"


def test_a_run_expects_to_wait_for_the_prompts_before_it() -> None:
    on = book()
    for name in ("e1", "e2", "e3"):
        on.record_dispatch(run(f"r-{name}", name), 0.0)
    placement = on.place(
        ENGINES, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.0
    )
    assert placement is not None and placement.expected_s > 2 * PROMPT * PRIOR_PROMPT_TOKEN_S


def test_an_engine_without_room_comes_last() -> None:
    """Copies of other runs fill an engine's memory: a run there would be preempted."""
    on = book()
    for number in range(9):
        copy = RunCopy(holder="e1", address=ENGINES[0].address, name=f"c{number}")
        on.record_dispatch(run(f"r{number}", "e2", copy=copy, flowing=True), 0.0)
    on.record_dispatch(run("s1", "e3"), 0.0)
    assert placed(on) == "e3"


def test_the_engine_that_has_read_a_prompt_is_preferred_until_it_is_busier() -> None:
    on = book()
    assert placed(on, prefer="e2") == "e2"
    on.record_dispatch(run("r1", "e2"), 0.0)
    on.record_dispatch(run("r2", "e2"), 0.0)
    assert placed(on, prefer="e2") != "e2"


def test_a_copy_is_held_in_another_data_centre() -> None:
    """All engines of a data centre die together; a copy beside its run dies with it."""
    on = book()
    beside = [engine("e1", "a"), engine("e1b", "a"), engine("e2", "b")]
    on.record_dispatch(run("r1", "e2"), 0.0)
    holder = on.place_copy(beside, limits=LIMITS, beside=beside[0], memory_tokens=MEMORY, now=0.0)
    assert holder is not None and holder.id == "e2"


def test_a_failed_engine_is_passed_over_for_longer_each_time() -> None:
    on = book()
    on.avoidance.failed("e1", 0.0)
    assert on.avoidance.is_avoided("e1", FIRST_AVOID_S * 0.9)
    on.avoidance.failed("e1", FIRST_AVOID_S * 1.1)
    assert on.avoidance.is_avoided("e1", FIRST_AVOID_S * 2.9)


def test_all_engines_failed_is_no_reason_to_give_up() -> None:
    on = book()
    for each in ENGINES:
        on.avoidance.failed(each.id, 0.0)
    assert placed(on) in {"e1", "e2", "e3"}


def test_of_runs_that_met_at_one_engine_all_but_the_first_leave() -> None:
    """Three VMs resume streams in the same milliseconds and choose the same idle engine.

    Each hears of the others a moment later. Had all stayed, the last would have waited
    4.35 s for its first event instead of 2.10 s; had all left, they would meet again.
    """
    stays = []
    for own in ("ra", "rb", "rc"):
        on = book()
        for offset, request in enumerate(("ra", "rb", "rc")):
            on.record_dispatch(run(request, "e1", vm=f"vm-{request}"), 0.002 * offset)
        if not on.has_better(own, ENGINES, limits=LIMITS, now=0.03):
            stays.append(own)
    assert stays == ["ra"]


def test_a_run_stays_where_nothing_else_is_better() -> None:
    on = book()
    for name in ("e1", "e2", "e3"):
        on.record_dispatch(run(f"a-{name}", name), 0.0)
        on.record_dispatch(run(f"b-{name}", name), 0.0)
    assert not on.has_better("b-e1", ENGINES, limits=LIMITS, now=0.03)


def test_a_caller_that_returns_is_known_by_its_prompt_s_own_part() -> None:
    on = book()
    copy = RunCopy(holder="e2", address=ENGINES[1].address, name="r1")
    on.record_dispatch(run("r1", "e1", part="p1", copy=copy), 0.0)
    on.record_first_event("r1", 0.5)
    on.record_vm_loss("vm-1", 1.0)
    former = on.last_run_of("p1")
    assert former is not None and former.copy == copy and former.flowing


def test_a_run_that_ended_whole_is_no_reason_to_go_anywhere() -> None:
    on = book()
    on.record_dispatch(run("r1", "e1", part="p1"), 0.0)
    on.record_end("r1", 1.0, whole=True)
    assert on.last_run_of("p1") is None


def test_the_runs_of_a_lost_vm_no_longer_count_as_load() -> None:
    on = book()
    on.record_dispatch(run("r1", "e1", vm="vm-2"), 0.0)
    on.record_dispatch(run("r2", "e2", vm="vm-3"), 0.0)
    on.record_dispatch(run("r3", "e3", vm="vm-3"), 0.0)
    on.record_vm_loss("vm-2", 0.1)
    assert placed(on, now=0.1) == "e1"


def test_what_ended_long_ago_is_forgotten() -> None:
    on = book()
    on.record_dispatch(run("r1", "e1", part="p1"), 0.0)
    on.record_end("r1", 1.0, whole=False)
    on.expire(100.0)
    assert on.last_run_of("p1") is None


def test_one_broken_answer_of_a_living_engine_is_no_reason_to_leave_it() -> None:
    on = book()
    on.avoidance.broke("e1", 0.0)
    assert not on.avoidance.is_avoided("e1", 0.1)
    on.avoidance.broke("e1", 0.5)
    assert on.avoidance.is_avoided("e1", 0.6)


def test_a_copy_that_was_only_refreshed_is_no_news() -> None:
    """A run's copy is refreshed every 1.6 s, and every VM was told each time, nothing new."""
    on = book()
    on.record_dispatch(run("r1", "e1"), 0.0)
    copy = RunCopy(holder="e2", address=ENGINES[0].address, name="h1")
    assert on.record_copy("r1", copy)
    assert not on.record_copy("r1", copy)
    assert on.record_copy("r1", attrs.evolve(copy, name="h2"))
    assert not on.record_copy("r9", copy)


def test_an_engine_that_has_started_again_holds_nothing_of_before() -> None:
    """An engine crashes and is back under its id within a second.

    Streams were sent to it for copies that it no longer had, each an attempt in vain, and
    it was passed over for the failure of its former process.
    """
    on = book()
    copy = RunCopy(holder="e1", address=ENGINES[0].address, name="r2", holder_started_ms=100)
    on.record_dispatch(run("r1", "e1", engine_started_ms=100, part="p1"), 0.0)
    on.record_dispatch(run("r2", "e2", copy=copy), 0.0)
    on.record_dispatch(run("r3", "e1", engine_started_ms=200), 0.5)
    on.avoidance.failed("e1", 0.4)
    on.started_again("e1", 200, 0.6)
    assert not on.avoidance.is_avoided("e1", 0.6)
    known = {each.request: each for each in on.open_runs}
    assert known.keys() == {"r2", "r3"}
    assert known["r2"].copy is None


def test_a_copy_is_void_once_its_holder_has_started_again() -> None:
    copy = RunCopy(holder="e1", address=ENGINES[0].address, name="c", holder_started_ms=100)
    assert copy.is_void("e1", 200)
    assert not copy.is_void("e1", 100)
    assert not copy.is_void("e1", None)
    assert not copy.is_void("e2", 200)
