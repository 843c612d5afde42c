"""What is learnt of engines' speeds, and the refusals and choices that rest on it."""

from __future__ import annotations

import random

import attrs
import pytest

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.engines.engine_timings import PRIOR_PROMPT_TOKEN_S, EngineTimings
from lagoonlever.decisions.streams.booked_runs import BookedRun
from lagoonlever.decisions.streams.time import least_time_s
from lagoonlever.tests.engine_book_tests import ENGINES, LIMITS

SERVICE = "engines"
PROMPT, OUTPUT = 8_000, 1_000


def seen(*, times: float, engines: int = 3, streams: int = 10) -> EngineTimings:
    """Give what was learnt of engines that take so many times as long as some others."""
    paces = EngineTimings()
    for number in range(streams):
        now, engine = float(number), f"e{1 + number % engines}"
        paces.read(SERVICE, engine, tokens=PROMPT, seconds=times, now=now)
        paces.made(SERVICE, engine, token_s=0.004 * times, now=now)
    return paces


def needed_s(paces: EngineTimings, *, position: int = 0, cached: bool = False) -> float:
    return least_time_s(
        pace=paces.fastest(SERVICE),
        prompt_tokens=PROMPT,
        output_tokens=OUTPUT,
        position=position,
        event_tokens=8,
        cached=cached,
    )


@pytest.mark.parametrize("times", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_no_stream_is_refused_that_an_idle_engine_ends_in_time(times: float) -> None:
    """A stream takes a second of reading and four of tokens, or half or twice of that.

    A refusal by the figures of one customer's engines was false on faster ones, and let
    hopeless prompts be read on slower ones.
    """
    paces = seen(times=times)
    assert needed_s(paces) < times * (1.0 + 0.004 * OUTPUT)
    assert needed_s(paces, cached=True) < times * 0.004 * OUTPUT


@pytest.mark.parametrize("times", [0.5, 1.0, 2.0])
def test_a_stream_that_no_engine_could_end_is_known(times: float) -> None:
    assert needed_s(seen(times=times)) > 0.4 * times * (1.0 + 0.004 * OUTPUT)


def test_before_anything_was_seen_no_stream_is_refused_that_fast_engines_can_end() -> None:
    """All VMs have just started, and callers of before come back with a few seconds left.

    Engines that read 16,000 tokens a second and make 480 are twice as fast as any served.
    """
    on_fast_engines_s = PROMPT / 16_000 + OUTPUT / 480
    assert 0.8 * on_fast_engines_s < needed_s(EngineTimings()) < on_fast_engines_s


def test_a_slow_engine_is_known_and_lesser_differences_are_not() -> None:
    paces = seen(times=1.0)
    for number in range(10):
        paces.read(SERVICE, "slow", tokens=PROMPT, seconds=4.0, now=10.0 + number)
        paces.read(SERVICE, "e1", tokens=PROMPT, seconds=1.2, now=10.0 + number)
        for fast in ("e2", "e3"):
            paces.read(SERVICE, fast, tokens=PROMPT, seconds=1.0, now=10.0 + number)
    usual_s = paces.reading_s(SERVICE, "e2", PROMPT, 20.0)
    assert paces.reading_s(SERVICE, "slow", PROMPT, 20.0) > 1.5 * usual_s
    assert paces.reading_s(SERVICE, "e1", PROMPT, 20.0) == usual_s
    assert paces.reading_s(SERVICE, "slow", PROMPT, 100.0) == usual_s


def test_one_slow_reading_makes_no_engine_slow() -> None:
    """The first reading of an engine takes four times as long, as its connection was lost.

    The engine was known as slow for half a minute and the others were crowded.
    """
    paces = seen(times=1.0)
    paces.read(SERVICE, "new", tokens=PROMPT, seconds=4.0, now=10.0)
    assert paces.reading_s(SERVICE, "new", PROMPT, 11.0) == paces.reading_s(
        SERVICE, "e1", PROMPT, 11.0
    )


def test_an_engine_at_the_address_of_a_slow_one_is_taken_for_slow() -> None:
    paces = seen(times=1.0)
    for number in range(10):
        paces.read(SERVICE, "slow", tokens=PROMPT, seconds=4.0, now=10.0 + number)
    paces.inherit(SERVICE, "slow", "new")
    assert paces.reading_s(SERVICE, "new", PROMPT, 20.0) == paces.reading_s(
        SERVICE, "slow", PROMPT, 20.0
    )


def run(request: str, engine: str = "e1") -> BookedRun:
    return BookedRun(
        request=request,
        vm="vm-1",
        engine=engine,
        service=SERVICE,
        prompt_tokens=PROMPT,
        memory_tokens=9_000,
    )


def book() -> EngineScheduler:
    return EngineScheduler(rng=random.Random(1), data_center="a")


def test_a_book_learns_from_the_runs_of_all_vms() -> None:
    on = book()
    for number in range(5):
        on.record_dispatch(attrs.evolve(run(f"r{number}"), vm=f"vm-{number}"), 10.0 * number)
        on.record_first_event(f"r{number}", 10.0 * number + 2.0)
        on.record_end(f"r{number}", 10.0 * number + 9.0, whole=True, token_s=0.009)
    assert on.paces.usual_reading_s(SERVICE) == pytest.approx(2.0, rel=0.05)
    assert on.paces.reading_s(SERVICE, "e9", PROMPT, 50.0) == pytest.approx(2.0, rel=0.05)
    assert on.paces.fastest(SERVICE).token_s == pytest.approx(0.7 * 0.009, rel=0.05)


def test_a_prompt_that_waited_for_another_teaches_nothing() -> None:
    on = book()
    on.record_dispatch(run("r1"), 0.0)
    on.record_dispatch(run("r2"), 0.1)
    on.record_first_event("r1", 1.0)
    on.record_first_event("r2", 2.0)
    assert on.paces.reading_s(SERVICE, "e1", PROMPT, 3.0) == PROMPT * PRIOR_PROMPT_TOKEN_S


@pytest.mark.parametrize("times", [0.5, 1.0, 2.2])
def test_the_choice_between_engines_is_the_same_however_fast_they_are(times: float) -> None:
    """One engine reads a prompt and one makes tokens for four runs; a third has two runs.

    With weights in seconds, engines twice as slow had the tokens of others count for half.
    """
    on = book()
    on.paces = seen(times=times)
    on.record_dispatch(run("r1", "e1"), 10.0)
    for number in range(4):
        on.record_dispatch(run(f"f{number}", "e2"), 5.0)
        on.record_first_event(f"f{number}", 5.1)
    for number in range(2):
        on.record_dispatch(run(f"g{number}", "e3"), 5.0)
        on.record_first_event(f"g{number}", 5.1)
    limits = attrs.evolve(LIMITS, memory_tokens=200_000)
    placement = on.place(
        ENGINES, limits=limits, prompt_tokens=PROMPT, memory_tokens=9_000, now=10.0
    )
    assert placement is not None and placement.engine.id == "e3"
