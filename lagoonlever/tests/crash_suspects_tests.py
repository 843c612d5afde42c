"""Which requests are taken for the cause of crashes."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.engines.crash_suspects import (
    CLEARING_RETENTION_S,
    LEAVING_NEWS_S,
    MAX_ANSWERS,
    MAX_EXCUSED,
    MAX_SUSPECTS,
    RETENTION_S,
    TOLD_AGAIN_S,
    CrashSuspects,
)
from lagoonlever.decisions.engines.part_blocks import BLOCK_S
from lagoonlever.decisions.engines.suspects import Suspects, part_suspects
from lagoonlever.decisions.engines.target_crashes import (
    MAX_REPORT_DELAY_S,
    WEIGHT_QUEUED,
    WEIGHT_STARTED,
    Crash,
    process_name,
)

MOST_ENDS = 6
"""Targets that one request may end, of whatever kind: three, and three more."""
MOST_ENDS_OF_PART = 8
"""The same for a part: five, and three more."""

CRASHES = st.lists(
    st.tuples(
        st.sampled_from(("f1", "f2")),
        st.sampled_from(("a", "b", "c", "d")),
        st.builds(
            Crash, at=st.floats(0.0, 50.0), weight=st.sampled_from((WEIGHT_STARTED, WEIGHT_QUEUED))
        ),
    ),
    max_size=12,
)


def suspects_of(*crashes: tuple[str, float]) -> CrashSuspects:
    """Return the registry after crashes under one request, each of a process with its weight."""
    suspects = CrashSuspects()
    for at, (process, weight) in enumerate(crashes):
        suspects.record_crash("f1", process, Crash(at=float(at), weight=weight))
    return suspects


def test_the_third_crash_blocks_a_request_for_a_while() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.find_block("f1", 2.0) is None
    suspects.record_crash("f1", "c", Crash(at=2.0))
    block = suspects.find_block("f1", 2.0)
    assert block is not None and (block.crash_count, block.remaining_s) == (3, BLOCK_S)
    assert suspects.find_block("f2", 2.0) is None


def test_after_its_block_one_more_crash_blocks_a_request_again() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    later = 3.0 + BLOCK_S
    suspects.expire(later)
    assert suspects.find_block("f1", later) is None
    suspects.record_crash("f1", "d", Crash(at=later))
    assert suspects.find_block("f1", later) is not None
    suspects.expire(later + RETENTION_S + 1.0)
    assert not suspects.crashes


def test_one_crash_reported_by_several_vms_counts_once() -> None:
    """Guards against a crash counted twice, as two VMs had a retry of the request at the target."""
    suspects = suspects_of(("a", WEIGHT_STARTED))
    assert not suspects.record_crash("f1", "a", Crash(at=1.0))
    assert not suspects.record_crash("f1", "a", Crash(at=1.0, weight=WEIGHT_QUEUED))
    assert suspects.count_crashes("f1") == 1


def test_a_target_that_restarts_and_crashes_again_counts_again() -> None:
    names = [process_name("engine-1", started_ms) for started_ms in (None, 1, 2)]
    assert len(set(names)) == 3


def test_a_crash_counts_half_for_a_request_that_may_only_have_been_queued() -> None:
    suspects = suspects_of(*((name, WEIGHT_QUEUED) for name in "abcde"))
    assert suspects.find_block("f1", 5.0) is None
    suspects.record_crash("f1", "f", Crash(at=5.0, weight=WEIGHT_QUEUED))
    assert suspects.find_block("f1", 5.0) is not None


def test_a_report_that_the_request_had_started_raises_the_weight_of_a_crash() -> None:
    suspects = suspects_of(("a", WEIGHT_QUEUED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    assert suspects.find_block("f1", 3.0) is None
    assert suspects.record_crash("f1", "a", Crash(at=3.0, weight=WEIGHT_STARTED))
    assert suspects.find_block("f1", 3.0) is not None


def test_a_whole_answer_clears_the_crashes_of_a_request() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.record_answer("f1", 2.0, is_own=True)
    assert not suspects.record_answer("f1", 2.0, is_own=True)
    suspects.record_crash("f1", "c", Crash(at=2.0))
    assert suspects.find_block("f1", 2.0) is None


def test_a_crash_reported_just_after_an_answer_does_not_count() -> None:
    """Guards against late reports of crashes from before the answer that clears them."""
    suspects = CrashSuspects()
    suspects.record_answer("f1", 10.0, is_own=True)
    late = {"f1": {"a": Crash(at=10.0 + MAX_REPORT_DELAY_S)}, "f2": {"a": Crash(at=10.1)}}
    assert suspects.find_cleared_here(late) == {"f1"}
    assert suspects.record_reported_crashes(late)
    assert set(suspects.crashes) == {"f2"}
    later = {"f1": {"a": Crash(at=10.1 + MAX_REPORT_DELAY_S)}}
    assert not suspects.find_cleared_here(later)
    assert suspects.record_reported_crashes(later)


def test_cleared_crashes_do_not_return_with_an_older_copy_of_the_store() -> None:
    """Guards against a store restored from before the answer, which reports its crashes again."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    restored = {"f1": dict(suspects.crashes["f1"])}
    assert suspects.record_answer("f1", 5.0, is_own=False)
    suspects.expire(5.0 + CLEARING_RETENTION_S)
    assert suspects.find_cleared(restored) == {"f1"}
    assert not suspects.find_cleared_here(restored)
    assert not suspects.record_reported_crashes(restored)
    assert suspects.record_reported_crashes({"f1": {"c": Crash(at=1.0)}})
    suspects.expire(5.1 + CLEARING_RETENTION_S)
    assert suspects.record_reported_crashes(restored)


def test_only_the_vm_that_gave_an_answer_reports_it_again() -> None:
    """Guards against replies of every VM of a fleet to one late message."""
    suspects = CrashSuspects()
    suspects.record_answer("f1", 10.0, is_own=False)
    late = {"f1": {"a": Crash(at=10.0)}}
    assert not suspects.record_reported_crashes(late)
    assert not suspects.find_cleared_here(late)


def test_a_crash_that_this_vm_saw_after_an_answer_counts() -> None:
    suspects = CrashSuspects()
    suspects.record_answer("f1", 10.0, is_own=True)
    assert suspects.record_crash("f1", "a", Crash(at=10.1))


def test_answers_are_remembered_for_a_moment_and_up_to_a_bound() -> None:
    suspects = CrashSuspects()
    for number in range(MAX_ANSWERS + 1):
        suspects.record_answer(f"f{number}", 10.0, is_own=True)
    assert suspects.record_reported_crashes({"f0": {"a": Crash(at=10.0)}})
    assert not suspects.record_reported_crashes({"f1": {"a": Crash(at=10.0)}})
    suspects.expire(10.1 + MAX_REPORT_DELAY_S)
    assert suspects.record_reported_crashes({"f1": {"a": Crash(at=10.0)}})


def test_crashes_that_a_cause_explains_count_less_for_other_requests() -> None:
    """Guards against blocking a stream that was only beside a poison request.

    It was at four engines that the poison request crashed, at two of them already started: its
    own crashes would reach the bound if those of the other request were not considered.
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
        suspects.record_crash("f2", process, Crash(at=4.0, weight=weight))
    assert suspects.find_block("f1", 5.0) is not None
    assert suspects.find_block("f2", 5.0) is None


def test_two_causes_with_common_crashes_are_both_found() -> None:
    """Two requests crash engines, three of them together; then the first one is blocked."""
    suspects = suspects_of(*((process, WEIGHT_STARTED) for process in "abcd"))
    for process in "abc":
        suspects.record_crash("f2", process, Crash(at=4.0))
    assert suspects.find_block("f2", 5.0) is None
    for process in "ef":
        suspects.record_crash("f2", process, Crash(at=5.0))
    assert suspects.find_block("f1", 5.0) is not None
    assert suspects.find_block("f2", 5.0) is not None


def crashed_together(*processes: str, last_delay_s: float = 0.0) -> CrashSuspects:
    """Return the registry after crashes under a poison request, f1, and a bystander, f2."""
    suspects = CrashSuspects()
    for at, process in enumerate(processes):
        suspects.record_crash("f2", process, Crash(at=float(at)))
        delay_s = last_delay_s if process == processes[-1] else 0.0
        suspects.record_crash("f1", process, Crash(at=at + delay_s))
    return suspects


def test_a_bystander_at_three_crashes_is_not_blocked_if_its_third_is_reported_first() -> None:
    """Guards against a stream refused for minutes, as a poison request was beside it each time."""
    suspects = crashed_together("a", "b")
    suspects.record_crash("f2", "c", Crash(at=2.0))
    assert suspects.find_block("f2", 2.0) is None
    suspects.record_crash("f1", "c", Crash(at=2.025))
    assert suspects.find_block("f2", 2.1) is None
    suspects.record_crash("f1", "d", Crash(at=3.0))
    assert suspects.find_block("f2", 3.0) is None
    assert suspects.record_answer("f2", 4.0, is_own=True)
    assert suspects.find_block("f1", 4.0) is not None


def test_two_more_crashes_identify_the_cause_beside_a_bystander_that_is_never_answered() -> None:
    suspects = crashed_together("a", "b", "c", last_delay_s=0.025)
    suspects.record_crash("f1", "d", Crash(at=3.0))
    assert suspects.find_block("f1", 3.0) is None
    suspects.record_crash("f1", "e", Crash(at=4.0))
    assert suspects.find_block("f1", 4.0) is not None
    assert suspects.find_block("f2", 4.0) is None


def test_two_requests_always_together_are_blocked_after_twice_as_many_crashes() -> None:
    """Guards against a poison request never blocked, as another one is always beside it."""
    assert not crashed_together(*"abcde").blocked
    assert crashed_together(*"abcdef").blocked == {"f1", "f2"}


def test_a_bystander_at_one_crash_does_not_delay_the_block() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for number in range(12):
        suspects.record_crash(f"stream-{number}", "abc"[number % 3], Crash(at=float(number % 3)))
    assert suspects.blocked == {"f1"}


def test_a_request_that_was_only_queued_explains_no_crash_of_a_started_one() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for at, process in enumerate("abc"):
        suspects.record_crash("f2", process, Crash(at=float(at), weight=WEIGHT_QUEUED))
    assert suspects.blocked == {"f1"}


def test_reports_long_after_a_block_do_not_lift_it() -> None:
    suspects = crashed_together("a", "b", "c", last_delay_s=0.0)
    late = crashed_together("a", "b", "c", last_delay_s=0.0)
    assert not suspects.blocked and not late.blocked
    alone = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    alone.record_reported_crashes(
        {"f2": {p: Crash(at=at + 2 * MAX_REPORT_DELAY_S) for at, p in enumerate("abc")}}
    )
    assert alone.blocked == {"f1"}


def test_a_process_that_crashed_before_is_known() -> None:
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED))
    assert suspects.has_crashed("b", 1.5)
    assert not suspects.has_crashed("b", 0.5)
    assert not suspects.has_crashed("c", 1.5)


def test_many_crashes_do_not_evict_a_blocked_request() -> None:
    """A service's targets crash with hundreds of calls, each of which has one crash."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    for number in range(2 * MAX_SUSPECTS):
        suspects.record_crash(f"call-{number}", "d", Crash(at=10.0))
    assert suspects.find_block("f1", 10.0) is not None
    assert len(suspects.crashes) == MAX_SUSPECTS


@given(crashes=CRASHES, seed=st.integers(0, 100))
def test_reports_in_any_order_and_repeated_block_the_same_requests(
    crashes: list[tuple[str, str, Crash]], seed: int
) -> None:
    shuffled = [*crashes, *crashes]
    random.Random(seed).shuffle(shuffled)
    here, there = CrashSuspects(), CrashSuspects()
    for fingerprint, process, crash in crashes:
        here.record_crash(fingerprint, process, crash)
    for fingerprint, process, crash in shuffled:
        there.record_crash(fingerprint, process, crash)
    for fingerprint in ("f1", "f2"):
        assert bool(here.find_block(fingerprint, 50.0)) == bool(there.find_block(fingerprint, 50.0))


@pytest.mark.parametrize("count", [1, 2])
def test_a_single_crash_is_not_written_to_the_store(count: int) -> None:
    suspects = suspects_of(*((name, WEIGHT_STARTED) for name in "ab"[:count]))
    assert bool(suspects.crashes_to_store()) == (count == 2)


def test_a_report_of_more_requests_than_the_bound_is_trimmed() -> None:
    """Guards against a stored record of thousands of requests, which a VM reads at its start."""
    suspects = suspects_of(("a", WEIGHT_STARTED), ("b", WEIGHT_STARTED), ("c", WEIGHT_STARTED))
    suspects.record_reported_crashes(
        {f"r{n}": {"x": Crash(at=5.0), "y": Crash(at=5.0)} for n in range(10_000)}
    )
    assert len(suspects.crashes) == MAX_SUSPECTS
    assert suspects.blocked == {"f1"}


@given(weight=st.floats(), at=st.floats(allow_nan=False))
def test_an_invalid_weight_from_outside_is_mapped_to_a_valid_one(weight: float, at: float) -> None:
    assert Crash.from_report(at=at, weight=weight).weight in (WEIGHT_STARTED, WEIGHT_QUEUED)


def test_the_end_of_a_process_that_leaves_counts_for_nothing_whoever_reports_it() -> None:
    """Guards against a request that is refused as engines ended that were to end in any case."""
    suspects = CrashSuspects()
    suspects.set_leaving({"a": 0.0, "b": 0.0})
    suspects.record_crash("f1", "a", Crash(at=1.0))
    suspects.record_reported_crashes({"f1": {"b": Crash(at=1.0, tested=True)}})
    assert not suspects.crashes
    assert not suspects.has_crashed("a", 2.0)
    assert suspects.record_crash("f1", "c", Crash(at=1.0))


def test_ends_are_taken_back_once_it_is_known_that_their_processes_left() -> None:
    """Guards against a block by ends whose engines' entries were read a moment after them."""
    suspects = suspects_of(*((name, WEIGHT_STARTED) for name in ("a", "b", "c")))
    assert suspects.find_block("f1", 2.0) is not None
    assert suspects.set_leaving({"c": 2.0 + LEAVING_NEWS_S})
    assert suspects.find_block("f1", 2.0) is None
    assert suspects.count_crashes("f1") == 2


def test_an_entry_that_is_changed_long_after_the_end_takes_nothing_back() -> None:
    """Guards against a request that ends engines, and a program that lists these as leaving."""
    suspects = suspects_of(*((name, WEIGHT_STARTED) for name in ("a", "b", "c")))
    assert not suspects.set_leaving({"c": 2.1 + LEAVING_NEWS_S})
    assert suspects.find_block("f1", 2.0) is not None


def test_the_end_of_the_next_process_under_an_id_counts() -> None:
    """Guards against a process that is taken to leave as the one before it did."""
    suspects = CrashSuspects()
    suspects.set_leaving({process_name("e", 1): 0.0})
    assert suspects.record_crash("f1", process_name("e", 2), Crash(at=1.0))


def test_a_part_is_free_again_once_it_is_known_that_engines_left() -> None:
    """Guards against a rare part that is refused, as engines ended with their last answers."""
    suspects = CrashSuspects()
    for number, name in enumerate("abc"):
        crash = Crash(at=float(number), requests=(f"r{number}",))
        suspects.record_crash(part_suspects(service="s", model="m", shared=("p",))[0], name, crash)
    assert suspects.part_causes(2.0)
    assert suspects.set_leaving(dict.fromkeys("abc", 2.0))
    assert not suspects.part_causes(2.0)
    assert not suspects.crashes


def test_many_ends_of_processes_that_leave_under_one_suspect_count() -> None:
    """Guards against a request whose engines say that they leave before it ends each of them."""
    suspects = CrashSuspects()
    names = [f"e{number}" for number in range(MAX_EXCUSED + 1)]
    suspects.set_leaving(dict.fromkeys(names, 0.0))
    for name in names[:-1]:
        assert suspects.record_crash("f1", name, Crash(at=1.0))
    assert not suspects.crashes
    assert suspects.is_excused("f1", names[0])
    suspects.record_crash("f1", names[-1], Crash(at=1.0))
    assert suspects.find_block("f1", 1.0) is not None
    assert not suspects.is_excused("f1", names[0])


def test_an_answer_forgets_the_ends_of_processes_that_left() -> None:
    """Guards against a request that meets one leaving engine an hour, and is served each time."""
    suspects = CrashSuspects()
    names = [f"e{number}" for number in range(MAX_EXCUSED + 1)]
    suspects.set_leaving(dict.fromkeys(names, 0.0))
    for number, name in enumerate(names):
        suspects.record_crash("f1", name, Crash(at=float(number)))
        suspects.record_answer("f1", number + 0.5, is_own=True)
    assert not suspects.crashes


@pytest.mark.parametrize("is_known", [False, True], ids=["forgotten", "known"])
def test_an_end_that_is_aside_stays_there_when_it_is_told_again(is_known: bool) -> None:
    """Guards against an end that counts and counts for nothing, so that its record is never done.

    The record of an older copy holds it, whose list calls the leaving off; another VM saw it before
    the time in which the news of a leaving comes.
    """
    suspects = CrashSuspects()
    suspects.set_leaving({"a": 10.0})
    suspects.record_crash("f1", "a", Crash(at=10.0))
    if not is_known:
        suspects.set_leaving({})
    told = Crash(at=9.9 - LEAVING_NEWS_S, tested=True)
    assert not suspects.record_reported_crashes({"f1": {"a": told}})
    assert not suspects.has_crashed("a", 20.0)
    assert suspects.is_excused("f1", "a")


def test_an_end_that_counts_is_not_aside_when_another_vm_saw_it_later() -> None:
    """Guards against an end that is held aside and counts, as VMs saw it at different times."""
    suspects = CrashSuspects()
    suspects.set_leaving({"a": 10.0})
    suspects.record_crash("f1", "a", Crash(at=9.9 - LEAVING_NEWS_S))
    suspects.record_reported_crashes({"f1": {"a": Crash(at=10.0)}})
    assert suspects.count_crashes("f1") == 1
    assert not suspects.is_excused("f1", "a")


def test_the_next_life_of_a_process_that_names_no_start_counts() -> None:
    """Guards against a request that ends an engine for ever, as it left once under its id."""
    suspects = CrashSuspects()
    suspects.set_leaving({"a": 0.0})
    suspects.record_crash("f1", "a", Crash(at=1.0))
    suspects.set_leaving({})
    assert suspects.record_crash("f1", "a", Crash(at=1.1 + TOLD_AGAIN_S))
    assert suspects.count_crashes("f1") == 1
    assert not suspects.is_excused("f1", "a")


@given(
    tellings=st.lists(
        st.tuples(
            st.sampled_from(("a", "b", "c", "d", "e", "f")),
            st.floats(0.0, 30.0),
            st.dictionaries(st.sampled_from(("a", "b", "c", "d", "e", "f")), st.floats(0.0, 30.0)),
        ),
        max_size=12,
    )
)
def test_no_end_counts_and_is_excused(
    tellings: list[tuple[str, float, dict[str, float]]],
) -> None:
    """Guards against a record whose ends are to be taken out and written in at once."""
    suspects = CrashSuspects()
    for process, at, leaving in tellings:
        suspects.record_reported_crashes({"f1": {process: Crash(at=at)}})
        suspects.set_leaving(leaving)
        counted = suspects.crashes.get("f1", {})
        assert not any(suspects.is_excused("f1", name) for name in counted)
        aside = suspects._excused.get("f1", {})
        if len(aside) <= MAX_EXCUSED and len(aside.keys() | counted) < MOST_ENDS:
            assert all(counted[p].at > aside[p].at + TOLD_AGAIN_S for p in aside.keys() & counted)


@pytest.mark.parametrize("weight", [WEIGHT_STARTED, WEIGHT_QUEUED])
@pytest.mark.parametrize("leaving", range(MOST_ENDS + 1))
def test_a_request_ends_no_more_targets_as_some_of_these_leave(leaving: int, weight: float) -> None:
    """Guards against a fourth retry after the third crash, as four engines had left by then."""
    suspects = CrashSuspects()
    suspects.set_leaving({f"e{number}": 0.0 for number in range(leaving)})
    ended = 0
    while suspects.find_block("f1", float(ended)) is None:
        suspects.record_crash("f1", f"e{ended}", Crash(at=0.1 * ended, weight=weight))
        ended += 1
    assert ended <= MOST_ENDS


@pytest.mark.parametrize("leaves_first", [False, True])
@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize("leaving", range(MOST_ENDS_OF_PART + 1))
def test_a_part_ends_no_more_targets_as_some_of_these_leave(
    leaving: int, is_known: bool, leaves_first: bool
) -> None:
    """Guards against a fourth request after the fifth crash, as four engines had left by then."""
    suspects = CrashSuspects(answers_known=is_known)
    asked = Suspects(request="f", parts=part_suspects(service="s", model="m", shared=("p",)))
    names = [f"e{number}" for number in range(MOST_ENDS_OF_PART + 2)]
    suspects.set_leaving(dict.fromkeys(names[:leaving], 0.0))
    order = names if leaves_first else [*names[leaving:], *names[:leaving]]
    for ended, name in enumerate(order):
        if suspects.find_any_block(asked, 2.0 * ended) is not None:
            break
        for suspect, requests in ((f"f{ended}", ()), (asked.parts[0], (f"f{ended}",))):
            crash = Crash(at=2.0 * ended, weight=WEIGHT_QUEUED, requests=requests)
            suspects.record_crash(suspect, name, crash)
    assert ended <= MOST_ENDS_OF_PART
