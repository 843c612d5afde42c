"""Measured timings of engines, and the refusals and placements that rest on them."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.engines.engine_timings import PRIOR_PROMPT_TOKEN_S, EngineTimings
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.streams.stream_time import RemainingStream
from lagoonlever.tests.engine_book_tests import ENGINES, LIMITS

SERVICE = "engines"
PROMPT, OUTPUT = 8_000, 1_000


def seen(*, times: float, engines: int = 3, streams: int = 10) -> EngineTimings:
    """Return the timings measured of engines that take ``times`` as long as usual ones."""
    timings = EngineTimings()
    for number in range(streams):
        now, engine = float(number), f"e{1 + number % engines}"
        timings.observe_prefill(SERVICE, engine, tokens=PROMPT, seconds=times, now=now)
        timings.observe_decode(SERVICE, engine, token_s=0.004 * times, now=now)
    return timings


def needed_s(timings: EngineTimings, *, position: int = 0, cached: bool = False) -> float:
    remaining = RemainingStream(
        prompt_tokens=PROMPT,
        output_tokens=OUTPUT,
        position=position,
        event_tokens=8,
        cached=cached,
    )
    return remaining.min_time_s(timings.lower_bound(SERVICE))


@pytest.mark.parametrize("times", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_no_stream_is_refused_that_an_idle_engine_can_finish_in_time(times: float) -> None:
    """Guards against refusals by the figures of one deployment's engines.

    A usual stream takes a second of prefill and four of decode. Fixed figures refused streams
    wrongly on faster engines, and on slower ones accepted prompts that couldn't end in time.
    """
    timings = seen(times=times)
    assert needed_s(timings) < times * (1.0 + 0.004 * OUTPUT)
    assert needed_s(timings, cached=True) < times * 0.004 * OUTPUT


@pytest.mark.parametrize("times", [0.5, 1.0, 2.0])
def test_a_stream_that_no_engine_can_finish_is_detected(times: float) -> None:
    assert needed_s(seen(times=times)) > 0.4 * times * (1.0 + 0.004 * OUTPUT)


def test_before_any_measurement_no_stream_is_refused_that_fast_engines_can_finish() -> None:
    """Guards against wrong refusals after a restart of all VMs.

    Callers come back with a few seconds left before anything was measured. Engines of 16,000
    tokens a second in prefill and 480 in decode are twice as fast as any that is served.
    """
    on_fast_engines_s = PROMPT / 16_000 + OUTPUT / 480
    assert 0.8 * on_fast_engines_s < needed_s(EngineTimings()) < on_fast_engines_s


def test_only_an_engine_far_slower_than_its_service_has_its_own_figures() -> None:
    timings = seen(times=1.0)
    for number in range(10):
        timings.observe_prefill(SERVICE, "slow", tokens=PROMPT, seconds=4.0, now=10.0 + number)
        timings.observe_prefill(SERVICE, "e1", tokens=PROMPT, seconds=1.2, now=10.0 + number)
        for fast in ("e2", "e3"):
            timings.observe_prefill(SERVICE, fast, tokens=PROMPT, seconds=1.0, now=10.0 + number)
    usual_s = timings.prefill_s(SERVICE, "e2", PROMPT, 20.0)
    assert timings.prefill_s(SERVICE, "slow", PROMPT, 20.0) > 1.5 * usual_s
    assert timings.prefill_s(SERVICE, "e1", PROMPT, 20.0) == usual_s
    assert timings.prefill_s(SERVICE, "slow", PROMPT, 100.0) == usual_s


def test_one_slow_prefill_does_not_make_an_engine_slow() -> None:
    """Guards against an engine that counts as slow for half a minute after one outlier.

    Its first prefill takes four times as long, as its connection was lost; meanwhile the other
    engines are overloaded.
    """
    timings = seen(times=1.0)
    timings.observe_prefill(SERVICE, "new", tokens=PROMPT, seconds=4.0, now=10.0)
    assert timings.prefill_s(SERVICE, "new", PROMPT, 11.0) == timings.prefill_s(
        SERVICE, "e1", PROMPT, 11.0
    )


def test_an_engine_at_the_address_of_a_slow_one_counts_as_slow() -> None:
    timings = seen(times=1.0)
    for number in range(10):
        timings.observe_prefill(SERVICE, "slow", tokens=PROMPT, seconds=4.0, now=10.0 + number)
    timings.copy_to_successor(SERVICE, "slow", "new")
    assert timings.prefill_s(SERVICE, "new", PROMPT, 20.0) == timings.prefill_s(
        SERVICE, "slow", PROMPT, 20.0
    )


def run(request: str, engine: str = "e1") -> EngineRun:
    return EngineRun(
        request=request,
        vm="vm-1",
        engine=engine,
        service=SERVICE,
        prompt_tokens=PROMPT,
        memory_tokens=9_000,
    )


def book() -> EngineScheduler:
    return EngineScheduler(rng=random.Random(1), data_center="a")


def test_timings_are_measured_from_the_runs_of_all_vms() -> None:
    scheduler = book()
    for number in range(5):
        scheduler.record_dispatch(attrs.evolve(run(f"r{number}"), vm=f"vm-{number}"), 10.0 * number)
        scheduler.record_first_event(f"r{number}", 10.0 * number + 2.0)
        scheduler.record_end(f"r{number}", 10.0 * number + 9.0, whole=True, token_s=0.009)
    assert scheduler.timings.usual_prefill_s(SERVICE) == pytest.approx(2.0, rel=0.05)
    assert scheduler.timings.prefill_s(SERVICE, "e9", PROMPT, 50.0) == pytest.approx(2.0, rel=0.05)
    assert scheduler.timings.lower_bound(SERVICE).token_s == pytest.approx(0.7 * 0.009, rel=0.05)


def test_a_prefill_that_waited_for_another_one_is_not_measured() -> None:
    scheduler = book()
    scheduler.record_dispatch(run("r1"), 0.0)
    scheduler.record_dispatch(run("r2"), 0.1)
    scheduler.record_first_event("r1", 1.0)
    scheduler.record_first_event("r2", 2.0)
    assert scheduler.timings.prefill_s(SERVICE, "e1", PROMPT, 3.0) == PROMPT * PRIOR_PROMPT_TOKEN_S


@pytest.mark.parametrize("times", [0.5, 1.0, 2.2])
def test_the_choice_between_engines_does_not_depend_on_their_speed(times: float) -> None:
    """Guards against costs in seconds, which weigh decoding runs half on engines half as fast.

    One engine has a prompt in prefill, one has four decoding runs and one has two.
    """
    scheduler = book()
    scheduler.timings = seen(times=times)
    scheduler.record_dispatch(run("r1", "e1"), 10.0)
    for number in range(4):
        scheduler.record_dispatch(run(f"f{number}", "e2"), 5.0)
        scheduler.record_first_event(f"f{number}", 5.1)
    for number in range(2):
        scheduler.record_dispatch(run(f"g{number}", "e3"), 5.0)
        scheduler.record_first_event(f"g{number}", 5.1)
    limits = attrs.evolve(LIMITS, memory_tokens=200_000)
    placement = scheduler.choose_engine(
        ENGINES, limits=limits, prompt_tokens=PROMPT, memory_tokens=9_000, now=10.0
    )
    assert placement is not None and placement.engine.id == "e3"
