"""Decisions of the line for calls, one by one."""

from __future__ import annotations

from lagoonlever.decisions.admission.call_queue import (
    MAX_QUEUED_PER_RUNNER,
    MOST_RETURN_S,
    SILENT_S,
    CallEnd,
    CallQueue,
    SlotRequest,
)
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityOutcome,
    CapacityRequest,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.targets.told_load import ToldLoad

AIM_S = 0.25
FULL = 2 * (2 + MAX_QUEUED_PER_RUNNER)
"""Places at two runners of two slots."""


def ask(
    name: str,
    *,
    now: float = 0.0,
    rank: int = 0,
    aim_s: float = AIM_S,
    repeatable: bool = False,
    data_center: str = "",
    avoid: frozenset[str] = frozenset(),
) -> SlotRequest:
    room = CapacityRequest(
        request_id=name,
        service="apps",
        rank=rank,
        arrived_at=now,
        start_by=now + aim_s,
        end_by=now + 1.5,
        repeatable=repeatable,
    )
    return SlotRequest(capacity=room, data_center=data_center, avoid=avoid)


def told(slowness: float = 1.0, *, running: float = 0, slots: float = 2) -> ToldLoad:
    return ToldLoad(running=running, waiting=0, slots=slots, slowness=slowness)


def line_of(**slowness: float) -> CallQueue:
    """Give a line whose runners have two slots each, and have told their slowness now."""
    line = CallQueue()
    line.retain({name: f"dc-{name}" for name in slowness})
    for name, pace in slowness.items():
        line.record_end("-", name, CallEnd.ANSWERED, 0.0, seconds=0.1 * pace, load=told(pace))
    return line


def fill(line: CallQueue, count: int, *, now: float = 0.0) -> list[str]:
    """Take places; gives where."""
    outcomes = [line.request_slot(ask(f"fill-{number}", now=now), now) for number in range(count)]
    return [outcome.target for outcome in outcomes if isinstance(outcome, CapacityGranted)]


def crowd(line: CallQueue, *, now: float = 0.0) -> None:
    """Let more ask than the runners can serve; all of them leave."""
    for number in range(40):
        line.request_slot(ask(f"crowd-{number}", now=now), now)
        line.withdraw(f"crowd-{number}")


def test_places_are_spread_over_free_slots() -> None:
    assert sorted(fill(line_of(a=1, b=1), 4)) == ["a", "a", "b", "b"]


def test_an_idle_runner_of_the_same_data_centre_goes_first() -> None:
    line = line_of(a=1, b=1)
    assert line.request_slot(ask("x", data_center="dc-b"), 0.0) == CapacityGranted(target="b")


def test_a_runner_whose_machine_is_slow_now_goes_last() -> None:
    assert fill(line_of(a=2.5, b=1, c=1), 4).count("a") == 0


def test_a_word_of_slowness_fades() -> None:
    line = line_of(a=2.5, b=1)
    runner = line.runner("a")
    assert runner is not None
    assert runner.slowness(0.3) < 2.0
    assert runner.slowness(1.0) == 1.0


def test_a_call_waits_for_a_slot_rather_than_at_a_runner_and_is_told_when_it_is_free() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    assert isinstance(line.request_slot(ask("x"), 0.0), QueuedForCapacity)
    line.record_end("fill-0", "a", CallEnd.ANSWERED, 0.01, seconds=0.07, load=told(running=1))
    (news,) = line.tick(0.01)
    assert (news.request_id, news.outcome) == ("x", CapacityGranted(target="a"))


def test_nobody_is_given_two_places_for_asking_twice() -> None:
    line = line_of(a=1)
    assert (
        line.request_slot(ask("x"), 0.0)
        == line.request_slot(ask("x"), 0.0)
        == CapacityGranted(target="a")
    )
    runner = line.runner("a")
    assert runner is not None
    assert len(runner.places) == 1


def test_order_is_by_rank_then_latest_start_then_what_may_not_be_repeated() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    line.request_slot(ask("patient", rank=1), 0.0)
    line.request_slot(ask("lookup", repeatable=True), 0.0)
    line.request_slot(ask("posting"), 0.0)
    line.request_slot(ask("short", aim_s=0.2), 0.0)
    for number in range(4):
        line.record_end(f"fill-{number}", "ab"[number % 2], CallEnd.UNUSED, 0.01)
    order = [news.request_id for news in line.tick(0.01)]
    assert order == ["short", "posting", "lookup", "patient"]


def test_what_cannot_begin_in_its_aim_is_refused_at_once_with_spread_returns() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    crowd(line)
    outcomes: list[CapacityOutcome] = [
        line.request_slot(ask(f"x-{number}"), 0.0) for number in range(40)
    ]
    waits = [each for each in outcomes if isinstance(each, QueuedForCapacity)]
    refused = [each for each in outcomes if isinstance(each, RejectedWithRetryAfter)]
    assert len(waits) == 10, "what two runners of two slots do in 0.25 s"
    assert len(refused) == 30
    returns = [each.retry_after_s for each in refused]
    assert returns == sorted(returns)
    assert 0 < returns[0] < returns[5] <= MOST_RETURN_S


def test_nothing_is_refused_while_a_slot_is_free_and_nothing_waits() -> None:
    line = line_of(a=1)
    assert isinstance(line.request_slot(ask("x", aim_s=-1.0), 0.0), CapacityGranted)


def test_a_late_call_is_served_after_those_on_time_where_there_is_room() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    assert isinstance(line.request_slot(ask("late", aim_s=-0.1), 0.0), QueuedForCapacity)
    line.request_slot(ask("on-time"), 0.0)
    line.record_end("fill-0", "a", CallEnd.UNUSED, 0.01)
    assert [news.request_id for news in line.tick(0.01)] == ["on-time"]


def test_an_urgent_call_gets_in_where_a_patient_one_is_refused() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    crowd(line)
    for number in range(10):
        line.request_slot(ask(f"x-{number}", rank=2), 0.0)
    assert isinstance(line.request_slot(ask("patient", rank=2), 0.0), RejectedWithRetryAfter)
    assert isinstance(line.request_slot(ask("urgent"), 0.0), QueuedForCapacity)


def test_a_place_whose_end_is_lost_is_free_again() -> None:
    """The message of an end is lost: the slot would be missing for good."""
    line = line_of(a=1)
    fill(line, 2)
    line.tick(1.5)
    assert len(fill(line, 2, now=1.6)) == 2


def test_a_lost_end_is_found_by_the_runner_s_own_count() -> None:
    """The message of an end is lost, and the runner says that it has fewer calls."""
    line = line_of(a=1)
    fill(line, 2)
    line.record_end("fill-0", "a", CallEnd.ANSWERED, 0.6, seconds=0.1, load=told(running=0))
    runner = line.runner("a")
    assert runner is not None
    assert not runner.places


def test_calls_that_others_sent_are_counted_for_a_moment() -> None:
    """Two VMs give out places, or one chooses by itself: its calls show in the runner's word."""
    line = line_of(a=1, b=1)
    line.record_end("-", "a", CallEnd.ANSWERED, 0.0, seconds=0.1, load=told(running=3))
    assert fill(line, 2) == ["b", "b"]
    assert isinstance(line.request_slot(ask("later", now=0.4), 0.4), CapacityGranted)


def test_a_silent_runner_gets_nothing_more() -> None:
    """A runner is gone without a word: its places stay open and it would be given each free one."""
    line = line_of(a=1, b=1)
    fill(line, 2)
    line.record_end("fill-0", "a", CallEnd.ANSWERED, 0.5, seconds=0.1, load=told())
    assert line.request_slot(ask("x", now=0.9), 0.9) == CapacityGranted(target="a")
    assert line.request_slot(ask("y", now=0.9), 0.9) == CapacityGranted(target="a")


def test_a_runner_that_loses_calls_is_probed_by_one_at_a_time() -> None:
    line = line_of(a=1, b=1)
    for _ in range(2):
        line.record_end("-", "a", CallEnd.LOST, 0.0)
    assert fill(line, 2) == ["b", "b"]
    line.record_end("fill-0", "b", CallEnd.UNUSED, 0.6)
    line.record_end("fill-1", "b", CallEnd.UNUSED, 0.6)
    assert fill(line, 4, now=1.5).count("a") == 1


def test_a_runner_that_fails_calls_gets_only_samples_of_lookups() -> None:
    line = line_of(a=1, b=1)
    for _ in range(5):
        line.record_end("-", "a", CallEnd.FAILED, 0.0)
    assert line.request_slot(ask("posting"), 0.0) == CapacityGranted(target="b")
    found = set()
    for number in range(20):
        outcome = line.request_slot(ask(f"look-{number}", repeatable=True), 0.0)
        assert isinstance(outcome, CapacityGranted)
        line.record_end(f"look-{number}", outcome.target, CallEnd.UNUSED, 0.0)
        found.add(outcome.target)
    assert found == {"a", "b"}


def test_a_vm_that_waits_and_dies_takes_no_place() -> None:
    line = line_of(a=1)
    fill(line, 2)
    line.request_slot(ask("dead"), 0.0)
    line.record_end("fill-0", "a", CallEnd.UNUSED, SILENT_S + 0.1)
    assert line.tick(SILENT_S + 0.1) == ()
    assert line.waiting == 0


def test_a_second_attempt_needs_a_runner_in_trouble_and_a_free_slot() -> None:
    line = line_of(a=1, b=1)
    first = line.request_slot(ask("x"), 0.0)
    assert isinstance(first, CapacityGranted)
    second = ask("x/2", now=0.1, avoid=frozenset((first.target,)))
    assert isinstance(
        line.request_second_slot(second, first=first.target, now=0.1), QueuedForCapacity
    )
    line.record_end(
        "-", first.target, CallEnd.ANSWERED, 0.1, seconds=0.2, load=told(2.5, running=1)
    )
    outcome = line.request_second_slot(second, first=first.target, now=0.1)
    assert isinstance(outcome, CapacityGranted)
    assert outcome.target != first.target


def test_a_second_attempt_takes_no_slot_that_somebody_waits_for() -> None:
    line = line_of(a=2.5, b=1)
    fill(line, FULL)
    line.request_slot(ask("waits"), 0.0)
    second = ask("fill-0/2", avoid=frozenset(("a",)))
    assert isinstance(line.request_second_slot(second, first="a", now=0.0), QueuedForCapacity)


def test_where_every_runner_looks_stalled_one_is_tried() -> None:
    line = line_of(a=1)
    for _ in range(2):
        line.record_end("-", "a", CallEnd.LOST, 0.0)
    assert line.request_slot(ask("x"), 0.0) == CapacityGranted(target="a")


def test_another_process_of_a_runner_begins_with_nothing() -> None:
    line = line_of(a=2.5)
    fill(line, 2)
    line.record_restart("a")
    runner = line.runner("a")
    assert runner is not None
    assert (runner.slowness(0.0), len(runner.places)) == (1.0, 0)
