"""When a prompt is refused because engines read too much, and what its caller is told."""

from __future__ import annotations

import random

import pytest

from lagoonlever.decisions.admission.prompt_admission import (
    COME_BACK_S,
    LEAST_PROMPTS,
    WINDOW_S,
    ReadingLoad,
    admits,
    come_back_s,
    most_share,
)
from lagoonlever.tests.engine_paces_tests import PROMPT, SERVICE, book, run, seen
from lagoonlever.tests.gateway_site import GatewaySite, run_site


def most(times: float) -> float:
    """Give the bound on engines that take so many times as long as some others."""
    return most_share(making_s=3.9 * times, reading_s=1.1 * times, allowed_s=25.0, slowdown=7.0)


def test_engines_that_end_an_answer_soon_may_read_for_most_of_their_time() -> None:
    assert most(1.0) > 0.85


def test_the_slower_engines_are_the_less_they_may_read() -> None:
    bounds = [most(times) for times in (1.0, 1.5, 2.0, 2.5, 3.0, 6.0)]
    assert bounds == sorted(bounds, reverse=True)
    assert bounds[-1] == 0.0


def test_where_prompts_slow_nobody_down_there_is_no_bound() -> None:
    assert most_share(making_s=4.0, reading_s=1.0, allowed_s=25.0, slowdown=1.0) == float("inf")


def test_a_few_prompts_tell_no_share() -> None:
    assert admits(ReadingLoad(prompts=LEAST_PROMPTS - 1, share=5.0), most=0.5)
    assert not admits(ReadingLoad(prompts=LEAST_PROMPTS, share=0.6), most=0.5)
    assert admits(ReadingLoad(prompts=LEAST_PROMPTS, share=0.4), most=0.5)


def test_callers_are_told_different_times_to_come_back() -> None:
    told = {come_back_s(random.Random(seed)) for seed in range(20)}
    assert len(told) == 20
    assert all(COME_BACK_S[0] <= each <= COME_BACK_S[1] for each in told)


def test_the_load_counts_the_prompts_of_all_vms_over_the_window() -> None:
    on = book()
    on.paces = seen(times=2.0)
    for number in range(24):
        on.record_dispatch(run(f"r{number}", f"e{number % 6}"), 10.0 + 0.25 * number)
    load = on.reading_load(SERVICE, engines=6, now=16.0)
    assert load.prompts == 24
    assert load.share == pytest.approx(24 * 2.0 / (WINDOW_S * 6), rel=0.05)
    assert on.reading_load(SERVICE, engines=6, now=40.0).prompts == 0


def test_runs_that_a_vm_hears_of_at_its_start_are_no_load() -> None:
    """A VM starts and is told of the open runs of all others, most of them read long ago.

    It took them for prompts of that moment, and would have refused new ones on slow engines.
    """
    on = book()
    on.paces = seen(times=2.0)
    for number in range(24):
        on.record_reported_run(run(f"r{number}", f"e{number % 6}"), 10.0)
    assert on.reading_load(SERVICE, engines=6, now=10.1).prompts == 0


def test_engines_that_have_just_crashed_still_count() -> None:
    """A third of the engines crashes, as it does every few seconds, and is back in two.

    By the engines of that moment alone prompts were refused that all could bear.
    """
    on = book()
    on.paces = seen(times=1.0)
    for number in range(24):
        on.record_dispatch(run(f"r{number}", f"e{number % 6}"), 10.0 + 0.25 * number)
    before = on.reading_load(SERVICE, engines=6, now=16.0)
    assert on.reading_load(SERVICE, engines=4, now=16.1).share == before.share
    assert on.reading_load(SERVICE, engines=4, now=16.1 + WINDOW_S).prompts == 0


def test_a_prompt_that_engines_can_t_bear_is_refused_at_once_and_returns_are_not() -> None:
    """Engines are slow and have been given prompts for all of their time.

    A new caller is told when to come back, and nothing of its request has run. One that
    comes back with a part of its answer is served.
    """

    async def story(site: GatewaySite) -> None:
        book = site.vms["vm-0"].daemon.parts.beliefs.book
        now = site.vms["vm-0"].daemon.parts.timers.now
        for number in range(10):
            for name in site.engines:
                book.paces.observe_prefill("engines", name, tokens=PROMPT, seconds=6.0, now=now)
                book.paces.observe_decode("engines", name, token_s=0.012, now=now)
            book.paces.observe_answer("engines", tokens=1_000, now=now)
            book.record_dispatch(run(f"f{number}", "engine-0"), now)
            book.record_dispatch(run(f"g{number}", "engine-1"), now)
            book.record_end(f"f{number}", now, whole=False)
            book.record_end(f"g{number}", now, whole=False)
        refused = await site.stream("p1", events=10)
        assert refused.status == 503
        assert 0.5 < float(refused.headers.get("Retry-After") or 0) < 5.0
        assert not any(engine.seen for engine in site.engines.values())
        returned = await site.stream("p2", events=10, Last_Event_Id="4")
        assert returned.whole and returned.is_events("p2", 5, 10)

    run_site(story, vms=1)


def test_a_caller_with_little_time_is_not_refused_for_a_usual_load() -> None:
    """All VMs were lost, and callers come back with five seconds, before any event.

    Engines read for a quarter of their time. The callers were refused as if that were too
    much, and their answers would have come in time.
    """

    async def story(site: GatewaySite) -> None:
        book = site.vms["vm-0"].daemon.parts.beliefs.book
        now = site.vms["vm-0"].daemon.parts.timers.now
        for _ in range(10):
            for name in site.engines:
                book.paces.observe_prefill("engines", name, tokens=PROMPT, seconds=0.25, now=now)
                book.paces.observe_decode("engines", name, token_s=0.004, now=now)
            book.paces.observe_answer("engines", tokens=1_000, now=now)
        for number in range(LEAST_PROMPTS + 4):
            book.record_dispatch(run(f"f{number}", "engine-0"), now)
            book.record_end(f"f{number}", now, whole=False)
        load = book.reading_load("engines", engines=len(site.engines), now=now)
        assert load.prompts >= LEAST_PROMPTS and 0.2 < load.share < 0.3
        got = await site.stream("p1", events=10, Deadline_Ms="4500")
        assert got.status == 200 and got.whole and got.is_events("p1", 1, 10)

    run_site(story, vms=1)
