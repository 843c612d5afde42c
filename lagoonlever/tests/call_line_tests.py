"""Decisions of the line for calls, one by one."""

from __future__ import annotations

from lagoonlever.decisions.admission.call_line import (
    MOST_RETURN_S,
    QUEUED,
    SILENT_S,
    CallEnd,
    CallLine,
    LineAsk,
)
from lagoonlever.decisions.admission.room import (
    RefusedWithReturn,
    RoomAsk,
    RoomGiven,
    RoomOutcome,
    WaitInLine,
)
from lagoonlever.decisions.targets.reported_load import ReportedLoad

AIM_S = 0.25
FULL = 2 * (2 + QUEUED)
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
) -> LineAsk:
    room = RoomAsk(
        request=name,
        service="apps",
        rank=rank,
        arrived=now,
        start_by=now + aim_s,
        end_by=now + 1.5,
        repeatable=repeatable,
    )
    return LineAsk(room=room, data_center=data_center, avoid=avoid)


def told(slowness: float = 1.0, *, running: float = 0, slots: float = 2) -> ReportedLoad:
    return ReportedLoad(running=running, waiting=0, slots=slots, slowness=slowness)


def line_of(**slowness: float) -> CallLine:
    """Give a line whose runners have two slots each, and have told their slowness now."""
    line = CallLine()
    line.retain({name: f"dc-{name}" for name in slowness})
    for name, pace in slowness.items():
        line.ended("-", name, CallEnd.ANSWERED, 0.0, seconds=0.1 * pace, load=told(pace))
    return line


def fill(line: CallLine, count: int, *, now: float = 0.0) -> list[str]:
    """Take places; gives where."""
    outcomes = [line.ask(ask(f"fill-{number}", now=now), now) for number in range(count)]
    return [outcome.target for outcome in outcomes if isinstance(outcome, RoomGiven)]


def crowd(line: CallLine, *, now: float = 0.0) -> None:
    """Let more ask than the runners can serve; all of them leave."""
    for number in range(40):
        line.ask(ask(f"crowd-{number}", now=now), now)
        line.leave(f"crowd-{number}")


def test_places_are_spread_over_free_slots() -> None:
    assert sorted(fill(line_of(a=1, b=1), 4)) == ["a", "a", "b", "b"]


def test_an_idle_runner_of_the_same_data_centre_goes_first() -> None:
    line = line_of(a=1, b=1)
    assert line.ask(ask("x", data_center="dc-b"), 0.0) == RoomGiven(target="b")


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
    assert isinstance(line.ask(ask("x"), 0.0), WaitInLine)
    line.ended("fill-0", "a", CallEnd.ANSWERED, 0.01, seconds=0.07, load=told(running=1))
    (news,) = line.tick(0.01)
    assert (news.request, news.outcome) == ("x", RoomGiven(target="a"))


def test_nobody_is_given_two_places_for_asking_twice() -> None:
    line = line_of(a=1)
    assert line.ask(ask("x"), 0.0) == line.ask(ask("x"), 0.0) == RoomGiven(target="a")
    runner = line.runner("a")
    assert runner is not None
    assert len(runner.places) == 1


def test_order_is_by_rank_then_latest_start_then_what_may_not_be_repeated() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    line.ask(ask("patient", rank=1), 0.0)
    line.ask(ask("lookup", repeatable=True), 0.0)
    line.ask(ask("posting"), 0.0)
    line.ask(ask("short", aim_s=0.2), 0.0)
    for number in range(4):
        line.ended(f"fill-{number}", "ab"[number % 2], CallEnd.UNUSED, 0.01)
    order = [news.request for news in line.tick(0.01)]
    assert order == ["short", "posting", "lookup", "patient"]


def test_what_cannot_begin_in_its_aim_is_refused_at_once_with_spread_returns() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    crowd(line)
    outcomes: list[RoomOutcome] = [line.ask(ask(f"x-{number}"), 0.0) for number in range(40)]
    waits = [each for each in outcomes if isinstance(each, WaitInLine)]
    refused = [each for each in outcomes if isinstance(each, RefusedWithReturn)]
    assert len(waits) == 10, "what two runners of two slots do in 0.25 s"
    assert len(refused) == 30
    returns = [each.retry_after_s for each in refused]
    assert returns == sorted(returns)
    assert 0 < returns[0] < returns[5] <= MOST_RETURN_S


def test_nothing_is_refused_while_a_slot_is_free_and_nothing_waits() -> None:
    line = line_of(a=1)
    assert isinstance(line.ask(ask("x", aim_s=-1.0), 0.0), RoomGiven)


def test_a_late_call_is_served_after_those_on_time_where_there_is_room() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    assert isinstance(line.ask(ask("late", aim_s=-0.1), 0.0), WaitInLine)
    line.ask(ask("on-time"), 0.0)
    line.ended("fill-0", "a", CallEnd.UNUSED, 0.01)
    assert [news.request for news in line.tick(0.01)] == ["on-time"]


def test_an_urgent_call_gets_in_where_a_patient_one_is_refused() -> None:
    line = line_of(a=1, b=1)
    fill(line, FULL)
    crowd(line)
    for number in range(10):
        line.ask(ask(f"x-{number}", rank=2), 0.0)
    assert isinstance(line.ask(ask("patient", rank=2), 0.0), RefusedWithReturn)
    assert isinstance(line.ask(ask("urgent"), 0.0), WaitInLine)


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
    line.ended("fill-0", "a", CallEnd.ANSWERED, 0.6, seconds=0.1, load=told(running=0))
    runner = line.runner("a")
    assert runner is not None
    assert not runner.places


def test_calls_that_others_sent_are_counted_for_a_moment() -> None:
    """Two VMs give out places, or one chooses by itself: its calls show in the runner's word."""
    line = line_of(a=1, b=1)
    line.ended("-", "a", CallEnd.ANSWERED, 0.0, seconds=0.1, load=told(running=3))
    assert fill(line, 2) == ["b", "b"]
    assert isinstance(line.ask(ask("later", now=0.4), 0.4), RoomGiven)


def test_a_silent_runner_gets_nothing_more() -> None:
    """A runner is gone without a word: its places stay open and it would be given each free one."""
    line = line_of(a=1, b=1)
    fill(line, 2)
    line.ended("fill-0", "a", CallEnd.ANSWERED, 0.5, seconds=0.1, load=told())
    assert line.ask(ask("x", now=0.9), 0.9) == RoomGiven(target="a")
    assert line.ask(ask("y", now=0.9), 0.9) == RoomGiven(target="a")


def test_a_runner_that_loses_calls_is_probed_by_one_at_a_time() -> None:
    line = line_of(a=1, b=1)
    for _ in range(2):
        line.ended("-", "a", CallEnd.LOST, 0.0)
    assert fill(line, 2) == ["b", "b"]
    line.ended("fill-0", "b", CallEnd.UNUSED, 0.6)
    line.ended("fill-1", "b", CallEnd.UNUSED, 0.6)
    assert fill(line, 4, now=1.5).count("a") == 1


def test_a_runner_that_fails_calls_gets_only_samples_of_lookups() -> None:
    line = line_of(a=1, b=1)
    for _ in range(5):
        line.ended("-", "a", CallEnd.FAILED, 0.0)
    assert line.ask(ask("posting"), 0.0) == RoomGiven(target="b")
    found = set()
    for number in range(20):
        outcome = line.ask(ask(f"look-{number}", repeatable=True), 0.0)
        assert isinstance(outcome, RoomGiven)
        line.ended(f"look-{number}", outcome.target, CallEnd.UNUSED, 0.0)
        found.add(outcome.target)
    assert found == {"a", "b"}


def test_a_vm_that_waits_and_dies_takes_no_place() -> None:
    line = line_of(a=1)
    fill(line, 2)
    line.ask(ask("dead"), 0.0)
    line.ended("fill-0", "a", CallEnd.UNUSED, SILENT_S + 0.1)
    assert line.tick(SILENT_S + 0.1) == ()
    assert line.waiting == 0


def test_a_second_attempt_needs_a_runner_in_trouble_and_a_free_slot() -> None:
    line = line_of(a=1, b=1)
    first = line.ask(ask("x"), 0.0)
    assert isinstance(first, RoomGiven)
    second = ask("x/2", now=0.1, avoid=frozenset((first.target,)))
    assert isinstance(line.ask_second(second, first=first.target, now=0.1), WaitInLine)
    line.ended("-", first.target, CallEnd.ANSWERED, 0.1, seconds=0.2, load=told(2.5, running=1))
    outcome = line.ask_second(second, first=first.target, now=0.1)
    assert isinstance(outcome, RoomGiven)
    assert outcome.target != first.target


def test_a_second_attempt_takes_no_slot_that_somebody_waits_for() -> None:
    line = line_of(a=2.5, b=1)
    fill(line, FULL)
    line.ask(ask("waits"), 0.0)
    second = ask("fill-0/2", avoid=frozenset(("a",)))
    assert isinstance(line.ask_second(second, first="a", now=0.0), WaitInLine)


def test_where_every_runner_looks_stalled_one_is_tried() -> None:
    line = line_of(a=1)
    for _ in range(2):
        line.ended("-", "a", CallEnd.LOST, 0.0)
    assert line.ask(ask("x"), 0.0) == RoomGiven(target="a")


def test_another_process_of_a_runner_begins_with_nothing() -> None:
    line = line_of(a=2.5)
    fill(line, 2)
    line.started_again("a")
    runner = line.runner("a")
    assert runner is not None
    assert (runner.slowness(0.0), len(runner.places)) == (1.0, 0)
