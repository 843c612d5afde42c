"""Tests of the rejection of prompts while engines spend too much of their time on prefill."""

from __future__ import annotations

import random

import pytest

from lagoonlever.decisions.admission.prompt_admission import (
    MIN_PROMPTS,
    RETRY_AFTER_RANGE_S,
    WINDOW_S,
    PrefillLoad,
    admits_prompt,
    max_prefill_share,
    random_retry_after_s,
)
from lagoonlever.tests.engine_paces_tests import PROMPT, SERVICE, book, run, seen
from lagoonlever.tests.gateway_site import GatewaySite, run_site


def most(times: float) -> float:
    """Return the bound for engines that are slower by a factor."""
    return max_prefill_share(
        decode_s=3.9 * times, prefill_s=1.1 * times, allowed_s=25.0, slowdown=7.0
    )


def test_fast_engines_may_prefill_for_most_of_their_time() -> None:
    assert most(1.0) > 0.85


def test_slower_engines_may_prefill_less() -> None:
    bounds = [most(times) for times in (1.0, 1.5, 2.0, 2.5, 3.0, 6.0)]
    assert bounds == sorted(bounds, reverse=True)
    assert bounds[-1] == 0.0


def test_there_is_no_bound_if_prefill_does_not_slow_down_decode() -> None:
    assert max_prefill_share(decode_s=4.0, prefill_s=1.0, allowed_s=25.0, slowdown=1.0) == float(
        "inf"
    )


def test_too_few_prompts_are_never_rejected() -> None:
    assert admits_prompt(PrefillLoad(prompts=MIN_PROMPTS - 1, share=5.0), max_share=0.5)
    assert not admits_prompt(PrefillLoad(prompts=MIN_PROMPTS, share=0.6), max_share=0.5)
    assert admits_prompt(PrefillLoad(prompts=MIN_PROMPTS, share=0.4), max_share=0.5)


def test_callers_get_different_retry_times() -> None:
    told = {random_retry_after_s(random.Random(seed)) for seed in range(20)}
    assert len(told) == 20
    assert all(RETRY_AFTER_RANGE_S[0] <= each <= RETRY_AFTER_RANGE_S[1] for each in told)


def test_the_load_counts_the_prompts_of_all_vms_over_the_window() -> None:
    on = book()
    on.timings = seen(times=2.0)
    for number in range(24):
        on.record_dispatch(run(f"r{number}", f"e{number % 6}"), 10.0 + 0.25 * number)
    load = on.prefill_load(SERVICE, engines=6, now=16.0)
    assert load.prompts == 24
    assert load.share == pytest.approx(24 * 2.0 / (WINDOW_S * 6), rel=0.05)
    assert on.prefill_load(SERVICE, engines=6, now=40.0).prompts == 0


def test_runs_announced_to_a_starting_vm_are_not_prefill_load() -> None:
    """Guards against rejections at a VM that has just started.

    It receives the open runs of all VMs, most of them prefilled long ago. Counted as prompts of
    that moment they would exceed the bound on slow engines.
    """
    on = book()
    on.timings = seen(times=2.0)
    for number in range(24):
        on.record_reported_run(run(f"r{number}", f"e{number % 6}"), 10.0)
    assert on.prefill_load(SERVICE, engines=6, now=10.1).prompts == 0


def test_engines_that_crashed_within_the_window_still_count() -> None:
    """Guards against rejections after a crash of a third of the engines.

    Such crashes come every few seconds, and the engines are back in two. If only the engines of
    that moment counted, prompts would be rejected that all engines together can bear.
    """
    on = book()
    on.timings = seen(times=1.0)
    for number in range(24):
        on.record_dispatch(run(f"r{number}", f"e{number % 6}"), 10.0 + 0.25 * number)
    before = on.prefill_load(SERVICE, engines=6, now=16.0)
    assert on.prefill_load(SERVICE, engines=4, now=16.1).share == before.share
    assert on.prefill_load(SERVICE, engines=4, now=16.1 + WINDOW_S).prompts == 0


def test_prompts_that_go_from_one_ended_engine_to_the_next_are_read_once() -> None:
    """Guards against new prompts that are refused for reading which no engine does.

    A prompt in a line of engines that end counted in full at each, so that idle engines seemed
    to read for most of their time.
    """
    on = book()
    on.timings = seen(times=1.0)
    for number in range(24):
        at = 10.0 + 0.25 * number
        for turn in range(4):
            on.record_dispatch(run(f"r{number}", f"e{(number + turn) % 18}"), at + 0.02 * turn)
    load = on.prefill_load(SERVICE, engines=18, now=16.5)
    assert load.share == pytest.approx(24 * 1.0 / (WINDOW_S * 18), rel=0.1)


def test_what_an_engine_read_in_vain_still_counts() -> None:
    """A prompt that goes on elsewhere after a whole reading, or after a part of one."""
    on = book()
    on.timings = seen(times=1.0)
    for number in range(24):
        on.record_dispatch(run(f"r{number}", f"e{number % 6}"), 10.0)
        if number < 12:
            on.record_first_event(f"r{number}", 11.0)
        on.record_dispatch(run(f"r{number}", f"e{(number + 1) % 6}"), 10.5 + (number < 12))
    load = on.prefill_load(SERVICE, engines=6, now=16.0)
    assert load.share == pytest.approx((12 * 2.0 + 12 * 1.5) / (WINDOW_S * 6), rel=0.05)


def test_overloaded_engines_reject_new_prompts_and_accept_resumed_streams() -> None:
    """Guards against new prompts on slow engines whose time is already full of prefills.

    A new caller is rejected with a retry time, and nothing of its request has run. A caller
    that resumes a partly received answer is served.
    """

    async def story(site: GatewaySite) -> None:
        book = site.vms["vm-0"].daemon.parts.beliefs.book
        now = site.vms["vm-0"].daemon.parts.timers.now
        for number in range(10):
            for name in site.engines:
                book.timings.observe_prefill("engines", name, tokens=PROMPT, seconds=6.0, now=now)
                book.timings.observe_decode("engines", name, token_s=0.012, now=now)
            book.timings.observe_answer("engines", tokens=1_000, now=now)
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


def test_a_caller_with_little_time_is_not_rejected_under_usual_load() -> None:
    """Guards against rejections of callers that return after a loss of all VMs.

    They have five seconds left, and have received no event. The engines prefill for a quarter
    of their time, which is a usual load. The callers were rejected although their answers would
    have ended in time.
    """

    async def story(site: GatewaySite) -> None:
        book = site.vms["vm-0"].daemon.parts.beliefs.book
        now = site.vms["vm-0"].daemon.parts.timers.now
        for _ in range(10):
            for name in site.engines:
                book.timings.observe_prefill("engines", name, tokens=PROMPT, seconds=0.25, now=now)
                book.timings.observe_decode("engines", name, token_s=0.004, now=now)
            book.timings.observe_answer("engines", tokens=1_000, now=now)
        for number in range(MIN_PROMPTS + 4):
            book.record_dispatch(run(f"f{number}", "engine-0"), now)
            book.record_end(f"f{number}", now, whole=False)
        load = book.prefill_load("engines", engines=len(site.engines), now=now)
        assert load.prompts >= MIN_PROMPTS and 0.2 < load.share < 0.3
        got = await site.stream("p1", events=10, Deadline_Ms="4500")
        assert got.status == 200 and got.whole and got.is_events("p1", 1, 10)

    run_site(story, vms=1)
