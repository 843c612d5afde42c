"""Which requests are taken for the cause of ends: the decision by itself."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.engines.crash_suspects import (
    BARRED_S,
    KEPT_S,
    MOST_ANSWERED,
    MOST_KNOWN,
    RECALLED_S,
    CrashSuspects,
)
from lagoonlever.decisions.engines.target_crashes import (
    LATE_NEWS_S,
    WEIGHT_QUEUED,
    WEIGHT_STARTED,
    Crash,
    process_name,
)

ENDS = st.lists(
    st.tuples(
        st.sampled_from(("f1", "f2")),
        st.sampled_from(("a", "b", "c", "d")),
        st.builds(
            Crash, at=st.floats(0.0, 50.0), weight=st.sampled_from((WEIGHT_STARTED, WEIGHT_QUEUED))
        ),
    ),
    max_size=12,
)


def suspects_of(*ends: tuple[str, float]) -> CrashSuspects:
    """Give what is known after ends under one request, each of a process and its weight."""
    suspects = CrashSuspects()
    for at, (process, weight) in enumerate(ends):
        suspects.ended_under("f1", process, Crash(at=float(at), weight=weight))
    return suspects


def test_the_third_end_bars_a_request_for_a_while() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.bar("f1", 2.0) is None
    suspects.ended_under("f1", "c", Crash(at=2.0))
    bar = suspects.bar("f1", 2.0)
    assert bar is not None and (bar.ended, bar.for_s) == (3, BARRED_S)
    assert suspects.bar("f2", 2.0) is None


def test_after_its_time_one_more_end_bars_it_again() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    later = 3.0 + BARRED_S
    suspects.expire(later)
    assert suspects.bar("f1", later) is None
    suspects.ended_under("f1", "d", Crash(at=later))
    assert suspects.bar("f1", later) is not None
    suspects.expire(later + KEPT_S + 1.0)
    assert not suspects.ends


def test_one_end_told_by_many_counts_once() -> None:
    """Two returns of one caller are at an engine as it ends, and both VMs tell of it."""
    suspects = suspects_of(("a", WEIGHT_STARTED))
    assert not suspects.ended_under("f1", "a", Crash(at=1.0))
    assert not suspects.ended_under("f1", "a", Crash(at=1.0, weight=WEIGHT_QUEUED))
    assert suspects.count("f1") == 1


def test_a_target_that_ends_again_under_its_id_counts_again() -> None:
    names = [process_name("engine-1", started_ms) for started_ms in (None, 1, 2)]
    assert len(set(names)) == 3


def test_a_request_that_may_only_have_waited_counts_half() -> None:
    suspects = suspects_of(*((name, WEIGHT_QUEUED) for name in "abcde"))
    assert suspects.bar("f1", 5.0) is None
    suspects.ended_under("f1", "f", Crash(at=5.0, weight=WEIGHT_QUEUED))
    assert suspects.bar("f1", 5.0) is not None


def test_where_it_had_begun_goes_before_where_it_may_have_waited() -> None:
    suspects = suspects_of(("a", WEIGHT_QUEUED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    assert suspects.bar("f1", 3.0) is None
    assert suspects.ended_under("f1", "a", Crash(at=3.0, weight=WEIGHT_STARTED))
    assert suspects.bar("f1", 3.0) is not None


def test_a_whole_answer_forgets_what_was_counted() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.served("f1", 2.0, is_own=True)
    assert not suspects.served("f1", 2.0, is_own=True)
    suspects.ended_under("f1", "c", Crash(at=2.0))
    assert suspects.bar("f1", 2.0) is None


def test_news_of_an_end_just_after_an_answer_is_late_and_does_not_count() -> None:
    """Guards against ends that are told a moment after the answer that clears them."""
    suspects = CrashSuspects()
    suspects.served("f1", 10.0, is_own=True)
    late = {"f1": {"a": Crash(at=10.0 + LATE_NEWS_S)}, "f2": {"a": Crash(at=10.1)}}
    assert suspects.cleared_here(late) == {"f1"}
    assert suspects.learn(late)
    assert set(suspects.ends) == {"f2"}
    later = {"f1": {"a": Crash(at=10.1 + LATE_NEWS_S)}}
    assert not suspects.cleared_here(later)
    assert suspects.learn(later)


def test_ends_that_an_answer_cleared_do_not_come_back_with_an_older_record() -> None:
    """Guards against a store that comes back from before the answer, and tells its ends again."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    recalled = {"f1": dict(suspects.ends["f1"])}
    assert suspects.served("f1", 5.0, is_own=False)
    suspects.expire(5.0 + RECALLED_S)
    assert suspects.cleared(recalled) == {"f1"}
    assert not suspects.cleared_here(recalled)
    assert not suspects.learn(recalled)
    assert suspects.learn({"f1": {"c": Crash(at=1.0)}})
    suspects.expire(5.1 + RECALLED_S)
    assert suspects.learn(recalled)


def test_only_the_vm_that_gave_an_answer_tells_again_of_it() -> None:
    """Guards against every VM of a fleet answering one late message."""
    suspects = CrashSuspects()
    suspects.served("f1", 10.0, is_own=False)
    late = {"f1": {"a": Crash(at=10.0)}}
    assert not suspects.learn(late)
    assert not suspects.cleared_here(late)


def test_an_end_that_this_vm_saw_after_an_answer_counts() -> None:
    suspects = CrashSuspects()
    suspects.served("f1", 10.0, is_own=True)
    assert suspects.ended_under("f1", "a", Crash(at=10.1))


def test_answers_are_remembered_for_a_moment_and_up_to_a_bound() -> None:
    suspects = CrashSuspects()
    for number in range(MOST_ANSWERED + 1):
        suspects.served(f"f{number}", 10.0, is_own=True)
    assert suspects.learn({"f0": {"a": Crash(at=10.0)}})
    assert not suspects.learn({"f1": {"a": Crash(at=10.0)}})
    suspects.expire(10.1 + LATE_NEWS_S)
    assert suspects.learn({"f1": {"a": Crash(at=10.0)}})


def test_what_the_cause_explains_counts_less_against_those_that_followed_it() -> None:
    """A stream is at four engines that a question ends, twice with an answer just begun.

    Its own ends would do to bar it, if nobody looked who else was there.
    """
    suspects = suspects_of(
        ("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED), ("d", WEIGHT_STARTED)
    )
    for process, weight in (
        ("a", WEIGHT_STARTED),
        ("b", WEIGHT_STARTED),
        ("c", WEIGHT_QUEUED),
        ("d", WEIGHT_QUEUED),
    ):
        suspects.ended_under("f2", process, Crash(at=4.0, weight=weight))
    assert suspects.bar("f1", 5.0) is not None
    assert suspects.bar("f2", 5.0) is None


def test_two_causes_that_met_are_both_found() -> None:
    """Two questions end engines, three of them together; then the first one is barred."""
    suspects = suspects_of(*((process, WEIGHT_STARTED) for process in "abcd"))
    for process in "abc":
        suspects.ended_under("f2", process, Crash(at=4.0))
    assert suspects.bar("f2", 5.0) is None
    for process in "ef":
        suspects.ended_under("f2", process, Crash(at=5.0))
    assert suspects.bar("f1", 5.0) is not None
    assert suspects.bar("f2", 5.0) is not None


def ended_together(*processes: str, last_told_s: float = 0.0) -> CrashSuspects:
    """Give what is known after ends of processes under a deadly request and a bystander, f2."""
    suspects = CrashSuspects()
    for at, process in enumerate(processes):
        suspects.ended_under("f2", process, Crash(at=float(at)))
        late_s = last_told_s if process == processes[-1] else 0.0
        suspects.ended_under("f1", process, Crash(at=at + late_s))
    return suspects


def test_a_bystander_at_three_ends_is_not_barred_though_its_third_is_told_first() -> None:
    """Guards against a stream refused for minutes, as it was beside a deadly one each time."""
    suspects = ended_together("a", "b")
    suspects.ended_under("f2", "c", Crash(at=2.0))
    assert suspects.bar("f2", 2.0) is None
    suspects.ended_under("f1", "c", Crash(at=2.025))
    assert suspects.bar("f2", 2.1) is None
    suspects.ended_under("f1", "d", Crash(at=3.0))
    assert suspects.bar("f2", 3.0) is None
    assert suspects.served("f2", 4.0, is_own=True)
    assert suspects.bar("f1", 4.0) is not None


def test_one_more_end_each_tells_the_cause_from_a_bystander_that_is_never_served() -> None:
    suspects = ended_together("a", "b", "c", last_told_s=0.025)
    suspects.ended_under("f1", "d", Crash(at=3.0))
    assert suspects.bar("f1", 3.0) is None
    suspects.ended_under("f1", "e", Crash(at=4.0))
    assert suspects.bar("f1", 4.0) is not None
    assert suspects.bar("f2", 4.0) is None


def test_two_that_are_always_together_are_barred_after_twice_as_many_ends() -> None:
    """Guards against a request that ends targets for good, in the company of another one."""
    assert not ended_together(*"abcde").barred
    assert ended_together(*"abcdef").barred == {"f1", "f2"}


def test_a_bystander_at_one_end_delays_nothing() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for number in range(12):
        suspects.ended_under(f"stream-{number}", "abc"[number % 3], Crash(at=float(number % 3)))
    assert suspects.barred == {"f1"}


def test_one_that_may_only_have_waited_explains_no_end_of_one_that_had_begun() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for at, process in enumerate("abc"):
        suspects.ended_under("f2", process, Crash(at=float(at), weight=WEIGHT_QUEUED))
    assert suspects.barred == {"f1"}


def test_what_is_told_long_after_a_bar_does_not_lift_it() -> None:
    suspects = ended_together("a", "b", "c", last_told_s=0.0)
    late = ended_together("a", "b", "c", last_told_s=0.0)
    assert not suspects.barred and not late.barred
    alone = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    alone.learn({"f2": {p: Crash(at=at + 2 * LATE_NEWS_S) for at, p in enumerate("abc")}})
    assert alone.barred == {"f1"}


def test_a_process_that_had_ended_before_is_known() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.has_ended("b", 1.5)
    assert not suspects.has_ended("b", 0.5)
    assert not suspects.has_ended("c", 1.5)


def test_a_crash_of_many_targets_does_not_push_out_what_is_barred() -> None:
    """A service's targets crash with hundreds of calls, each of them counted once."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for number in range(2 * MOST_KNOWN):
        suspects.ended_under(f"call-{number}", "d", Crash(at=10.0))
    assert suspects.bar("f1", 10.0) is not None
    assert len(suspects.ends) == MOST_KNOWN


@given(ends=ENDS, seed=st.integers(0, 100))
def test_news_in_any_order_and_twice_bar_the_same_requests(
    ends: list[tuple[str, str, Crash]], seed: int
) -> None:
    shuffled = [*ends, *ends]
    random.Random(seed).shuffle(shuffled)
    here, there = CrashSuspects(), CrashSuspects()
    for fingerprint, process, end in ends:
        here.ended_under(fingerprint, process, end)
    for fingerprint, process, end in shuffled:
        there.ended_under(fingerprint, process, end)
    for fingerprint in ("f1", "f2"):
        assert bool(here.bar(fingerprint, 50.0)) == bool(there.bar(fingerprint, 50.0))


@pytest.mark.parametrize("count", [1, 2])
def test_one_end_is_not_worth_a_call_to_the_store(count: int) -> None:
    suspects = suspects_of(*((name, WEIGHT_STARTED) for name in "ab"[:count]))
    assert bool(suspects.kept()) == (count == 2)


def test_more_than_can_be_remembered_is_taken_at_once() -> None:
    """Somebody writes thousands of requests into the record; a VM reads them at its start."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    suspects.learn({f"r{n}": {"x": Crash(at=5.0), "y": Crash(at=5.0)} for n in range(10_000)})
    assert len(suspects.ends) == MOST_KNOWN
    assert suspects.barred == {"f1"}


@given(weight=st.floats(), at=st.floats(allow_nan=False))
def test_an_odd_weight_from_outside_counts_as_one_that_there_is(weight: float, at: float) -> None:
    assert Crash.told(at=at, weight=weight).weight in (WEIGHT_STARTED, WEIGHT_QUEUED)
