"""Placement of runs on engines, from the runs that all VMs report to each other."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.engines.engine_avoidance import INITIAL_AVOID_S
from lagoonlever.decisions.engines.engine_scheduler import (
    EngineRun,
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


def new_scheduler(seed: int = 1, data_center: str = "a") -> EngineScheduler:
    return EngineScheduler(rng=random.Random(seed), data_center=data_center)


def run(request: str, at: str, **more: object) -> EngineRun:
    new_run = EngineRun(
        request=request, vm="vm-1", engine=at, prompt_tokens=PROMPT, memory_tokens=MEMORY
    )
    return attrs.evolve(new_run, **more)


def chosen_engine(scheduler: EngineScheduler, now: float = 0.0, **more: object) -> str:
    placement = scheduler.choose_engine(
        ENGINES, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now, **more
    )
    assert placement is not None
    return placement.engine.id


def test_a_run_goes_to_an_engine_without_prefill() -> None:
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1"), 0.0)
    scheduler.record_dispatch(run("r2", "e2"), 0.0)
    assert chosen_engine(scheduler) == "e3"


def test_a_prompt_counts_as_prefill_until_its_run_gives_an_event() -> None:
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1"), 0.0)
    scheduler.record_dispatch(run("r2", "e2"), 0.0)
    scheduler.record_dispatch(run("r3", "e3"), 0.0)
    scheduler.record_first_event("r2", 0.5)
    assert chosen_engine(scheduler) == "e2"


def test_the_expected_wait_includes_the_prompts_before_a_run() -> None:
    scheduler = new_scheduler()
    for name in ("e1", "e2", "e3"):
        scheduler.record_dispatch(run(f"r-{name}", name), 0.0)
    placement = scheduler.choose_engine(
        ENGINES, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.0
    )
    assert placement is not None and placement.expected_s > 2 * PROMPT * PRIOR_PROMPT_TOKEN_S


def test_an_engine_without_capacity_comes_last() -> None:
    """Guards against preempted runs, where copies of other runs fill the engine's memory."""
    scheduler = new_scheduler()
    for number in range(9):
        copy = RunCopy(holder="e1", address=ENGINES[0].address, name=f"c{number}")
        scheduler.record_dispatch(run(f"r{number}", "e2", copy=copy, flowing=True), 0.0)
    scheduler.record_dispatch(run("s1", "e3"), 0.0)
    assert chosen_engine(scheduler) == "e3"


def test_the_engine_that_has_a_prompt_cached_is_preferred_until_it_is_busier() -> None:
    scheduler = new_scheduler()
    assert chosen_engine(scheduler, prefer="e2") == "e2"
    scheduler.record_dispatch(run("r1", "e2"), 0.0)
    scheduler.record_dispatch(run("r2", "e2"), 0.0)
    assert chosen_engine(scheduler, prefer="e2") != "e2"


def test_a_copy_is_held_in_another_data_centre() -> None:
    """Guards against a copy lost with its run, as engines of a data centre crash together."""
    scheduler = new_scheduler()
    listed = [engine("e1", "a"), engine("e1b", "a"), engine("e2", "b")]
    scheduler.record_dispatch(run("r1", "e2"), 0.0)
    holder = scheduler.choose_copy_holder(
        listed, limits=LIMITS, run_engine=listed[0], memory_tokens=MEMORY, now=0.0
    )
    assert holder is not None and holder.id == "e2"


def test_a_failed_engine_is_avoided_for_longer_each_time() -> None:
    scheduler = new_scheduler()
    scheduler.avoidance.record_failure("e1", 0.0)
    assert scheduler.avoidance.is_avoided("e1", INITIAL_AVOID_S * 0.9)
    scheduler.avoidance.record_failure("e1", INITIAL_AVOID_S * 1.1)
    assert scheduler.avoidance.is_avoided("e1", INITIAL_AVOID_S * 2.9)


def test_a_run_is_placed_even_if_all_engines_have_failed() -> None:
    scheduler = new_scheduler()
    for each in ENGINES:
        scheduler.avoidance.record_failure(each.id, 0.0)
    assert chosen_engine(scheduler) in {"e1", "e2", "e3"}


def test_of_runs_placed_together_at_one_engine_all_but_the_first_move() -> None:
    """Guards against prompts that queue up at one engine.

    Three VMs resume streams within the same milliseconds, choose the same idle engine, and hear
    of each other a moment later. If all stay, the last one waits 4.35 s for its first event
    instead of 2.10 s; if all move, they may choose the same engine again.
    """
    stays = []
    for own in ("ra", "rb", "rc"):
        scheduler = new_scheduler()
        for offset, request in enumerate(("ra", "rb", "rc")):
            scheduler.record_dispatch(run(request, "e1", vm=f"vm-{request}"), 0.002 * offset)
        if not scheduler.should_move(own, ENGINES, limits=LIMITS, now=0.03):
            stays.append(own)
    assert stays == ["ra"]


def test_a_run_stays_if_no_other_engine_is_better() -> None:
    scheduler = new_scheduler()
    for name in ("e1", "e2", "e3"):
        scheduler.record_dispatch(run(f"a-{name}", name), 0.0)
        scheduler.record_dispatch(run(f"b-{name}", name), 0.0)
    assert not scheduler.should_move("b-e1", ENGINES, limits=LIMITS, now=0.03)


def test_a_run_is_found_by_the_id_of_its_own_prompt_segment() -> None:
    scheduler = new_scheduler()
    copy = RunCopy(holder="e2", address=ENGINES[1].address, name="r1")
    scheduler.record_dispatch(run("r1", "e1", part="p1", copy=copy), 0.0)
    scheduler.record_first_event("r1", 0.5)
    scheduler.record_vm_loss("vm-1", 1.0)
    former = scheduler.find_unfinished_run("p1")
    assert former is not None and former.copy == copy and former.flowing


def test_a_run_is_found_by_what_its_request_asks_beside_a_later_one_of_its_session() -> None:
    """Guards against a return that goes on with the answer to its session's next question."""
    scheduler = new_scheduler()
    copy = RunCopy(holder="e2", address=ENGINES[1].address, name="r1")
    scheduler.record_dispatch(run("r1", "e1", part="p1", fingerprint="q1", copy=copy), 0.0)
    scheduler.record_dispatch(run("r2", "e2", part="p1", fingerprint="q2"), 0.1)
    last, own = scheduler.find_unfinished_run("p1"), scheduler.find_unfinished_run_for("q1")
    assert last is not None and last.request == "r2"
    assert own is not None and own.request == "r1"
    assert own.copy_for("q1", model="") == copy
    assert own.copy_for("q2", model="") is None
    assert own.copy_for("q1", model="m-2") is None
    scheduler.record_end("r1", 1.0, whole=False)
    scheduler.expire(100.0)
    assert scheduler.find_unfinished_run_for("q1") is None


def test_a_completed_run_is_not_resumed() -> None:
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1", part="p1"), 0.0)
    scheduler.record_end("r1", 1.0, whole=True)
    assert scheduler.find_unfinished_run("p1") is None


def test_the_runs_of_a_lost_vm_no_longer_count_as_load() -> None:
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1", vm="vm-2"), 0.0)
    scheduler.record_dispatch(run("r2", "e2", vm="vm-3"), 0.0)
    scheduler.record_dispatch(run("r3", "e3", vm="vm-3"), 0.0)
    scheduler.record_vm_loss("vm-2", 0.1)
    assert chosen_engine(scheduler, now=0.1) == "e1"


def test_a_run_that_ended_long_ago_is_removed() -> None:
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1", part="p1"), 0.0)
    scheduler.record_end("r1", 1.0, whole=False)
    scheduler.expire(100.0)
    assert scheduler.find_unfinished_run("p1") is None


def test_one_broken_answer_does_not_make_an_engine_avoided() -> None:
    scheduler = new_scheduler()
    scheduler.avoidance.record_broken_answer("e1", 0.0)
    assert not scheduler.avoidance.is_avoided("e1", 0.1)
    scheduler.avoidance.record_broken_answer("e1", 0.5)
    assert scheduler.avoidance.is_avoided("e1", 0.6)


def test_a_refreshed_copy_needs_no_update() -> None:
    """Guards against updates to every VM each 1.6 s, whenever a run's copy is only refreshed."""
    scheduler = new_scheduler()
    scheduler.record_dispatch(run("r1", "e1"), 0.0)
    copy = RunCopy(holder="e2", address=ENGINES[0].address, name="h1")
    assert scheduler.record_copy("r1", copy)
    assert not scheduler.record_copy("r1", copy)
    assert scheduler.record_copy("r1", attrs.evolve(copy, name="h2"))
    assert not scheduler.record_copy("r9", copy)


def test_a_restarted_engine_has_no_former_runs_copies_or_failures() -> None:
    """Guards against the state of a former process, when an engine restarts within a second.

    Streams were sent to it for copies that it no longer had, each a failed attempt, and it was
    avoided for the failure of its former process.
    """
    scheduler = new_scheduler()
    copy = RunCopy(holder="e1", address=ENGINES[0].address, name="r2", holder_started_ms=100)
    scheduler.record_dispatch(run("r1", "e1", engine_started_ms=100, part="p1"), 0.0)
    scheduler.record_dispatch(run("r2", "e2", copy=copy), 0.0)
    scheduler.record_dispatch(run("r3", "e1", engine_started_ms=200), 0.5)
    scheduler.avoidance.record_failure("e1", 0.4)
    scheduler.record_restart("e1", 200, 0.6)
    assert not scheduler.avoidance.is_avoided("e1", 0.6)
    known = {each.request: each for each in scheduler.open_runs}
    assert known.keys() == {"r2", "r3"}
    assert known["r2"].copy is None


def test_a_copy_is_void_once_its_holder_has_restarted() -> None:
    copy = RunCopy(holder="e1", address=ENGINES[0].address, name="c", holder_started_ms=100)
    assert copy.is_lost("e1", 200)
    assert not copy.is_lost("e1", 100)
    assert not copy.is_lost("e1", None)
    assert not copy.is_lost("e2", 200)
