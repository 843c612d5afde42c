"""Tests of single decisions of the call queue."""

from __future__ import annotations

from lagoonlever.decisions.admission.call_queue import (
    MAX_QUEUED_PER_RUNNER,
    MAX_RETRY_AFTER_S,
    RENEWAL_TIMEOUT_S,
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
from lagoonlever.decisions.targets.reported_load import ReportedLoad

OBJECTIVE_S = 0.25
FULL = 2 * (2 + MAX_QUEUED_PER_RUNNER)
"""Slots and queue places at two runners of two slots."""


def slot_request(
    name: str,
    *,
    now: float = 0.0,
    rank: int = 0,
    objective_s: float = OBJECTIVE_S,
    repeatable: bool = False,
    data_center: str = "",
    avoid: frozenset[str] = frozenset(),
) -> SlotRequest:
    capacity = CapacityRequest(
        request_id=name,
        service="apps",
        rank=rank,
        arrived_at=now,
        start_by=now + objective_s,
        end_by=now + 1.5,
        repeatable=repeatable,
    )
    return SlotRequest(capacity=capacity, data_center=data_center, avoid=avoid)


def load_report(slowness: float = 1.0, *, running: float = 0, slots: float = 2) -> ReportedLoad:
    return ReportedLoad(running=running, waiting=0, slots=slots, slowness=slowness)


def queue_of(**slowness: float) -> CallQueue:
    """Return a queue whose runners have two slots each, and have just reported their slowdown."""
    queue = CallQueue()
    queue.retain({name: f"dc-{name}" for name in slowness})
    for name, slowdown in slowness.items():
        queue.record_end(
            "-", name, CallEnd.ANSWERED, 0.0, seconds=0.1 * slowdown, load=load_report(slowdown)
        )
    return queue


def fill(queue: CallQueue, count: int, *, now: float = 0.0) -> list[str]:
    """Request slots, and return the runners of those granted."""
    outcomes = [
        queue.request_slot(slot_request(f"fill-{number}", now=now), now) for number in range(count)
    ]
    return [outcome.target for outcome in outcomes if isinstance(outcome, CapacityGranted)]


def overload(queue: CallQueue, *, now: float = 0.0) -> None:
    """Make more requests than the runners can serve, and withdraw them all."""
    for number in range(40):
        queue.request_slot(slot_request(f"crowd-{number}", now=now), now)
        queue.withdraw(f"crowd-{number}")


def test_calls_are_spread_over_free_slots() -> None:
    assert sorted(fill(queue_of(a=1, b=1), 4)) == ["a", "a", "b", "b"]


def test_an_idle_runner_of_the_same_data_centre_is_preferred() -> None:
    queue = queue_of(a=1, b=1)
    assert queue.request_slot(slot_request("x", data_center="dc-b"), 0.0) == CapacityGranted(
        target="b"
    )


def test_a_slow_runner_gets_calls_last() -> None:
    assert fill(queue_of(a=2.5, b=1, c=1), 4).count("a") == 0


def test_a_reported_slowdown_fades() -> None:
    queue = queue_of(a=2.5, b=1)
    runner = queue.runner("a")
    assert runner is not None
    assert runner.slowdown(0.3) < 2.0
    assert runner.slowdown(1.0) == 1.0


def test_a_call_waits_in_the_queue_and_is_granted_the_next_free_slot() -> None:
    queue = queue_of(a=1, b=1)
    fill(queue, FULL)
    assert isinstance(queue.request_slot(slot_request("x"), 0.0), QueuedForCapacity)
    queue.record_end(
        "fill-0", "a", CallEnd.ANSWERED, 0.01, seconds=0.07, load=load_report(running=1)
    )
    (decision,) = queue.tick(0.01)
    assert (decision.request_id, decision.outcome) == ("x", CapacityGranted(target="a"))


def test_a_repeated_request_gets_one_slot() -> None:
    queue = queue_of(a=1)
    assert (
        queue.request_slot(slot_request("x"), 0.0)
        == queue.request_slot(slot_request("x"), 0.0)
        == CapacityGranted(target="a")
    )
    runner = queue.runner("a")
    assert runner is not None
    assert len(runner.granted) == 1


def test_order_is_by_rank_then_latest_start_then_non_repeatable_first() -> None:
    queue = queue_of(a=1, b=1)
    fill(queue, FULL)
    queue.request_slot(slot_request("patient", rank=1), 0.0)
    queue.request_slot(slot_request("lookup", repeatable=True), 0.0)
    queue.request_slot(slot_request("posting"), 0.0)
    queue.request_slot(slot_request("short", objective_s=0.2), 0.0)
    for number in range(4):
        queue.record_end(f"fill-{number}", "ab"[number % 2], CallEnd.UNUSED, 0.01)
    order = [decision.request_id for decision in queue.tick(0.01)]
    assert order == ["short", "posting", "lookup", "patient"]


def test_calls_that_cannot_start_in_time_are_rejected_with_spread_retries() -> None:
    queue = queue_of(a=1, b=1)
    fill(queue, FULL)
    overload(queue)
    outcomes: list[CapacityOutcome] = [
        queue.request_slot(slot_request(f"x-{number}"), 0.0) for number in range(40)
    ]
    waits = [each for each in outcomes if isinstance(each, QueuedForCapacity)]
    refused = [each for each in outcomes if isinstance(each, RejectedWithRetryAfter)]
    assert len(waits) == 10, "what two runners of two slots do in 0.25 s"
    assert len(refused) == 30
    returns = [each.retry_after_s for each in refused]
    assert returns == sorted(returns)
    assert 0 < returns[0] < returns[5] <= MAX_RETRY_AFTER_S


def test_a_late_call_is_granted_a_free_slot() -> None:
    queue = queue_of(a=1)
    assert isinstance(queue.request_slot(slot_request("x", objective_s=-1.0), 0.0), CapacityGranted)


def test_a_late_call_is_served_after_those_on_time() -> None:
    queue = queue_of(a=1, b=1)
    fill(queue, FULL)
    assert isinstance(
        queue.request_slot(slot_request("late", objective_s=-0.1), 0.0), QueuedForCapacity
    )
    queue.request_slot(slot_request("on-time"), 0.0)
    queue.record_end("fill-0", "a", CallEnd.UNUSED, 0.01)
    assert [decision.request_id for decision in queue.tick(0.01)] == ["on-time"]


def test_an_urgent_call_is_queued_where_a_patient_one_is_rejected() -> None:
    queue = queue_of(a=1, b=1)
    fill(queue, FULL)
    overload(queue)
    for number in range(10):
        queue.request_slot(slot_request(f"x-{number}", rank=2), 0.0)
    assert isinstance(
        queue.request_slot(slot_request("patient", rank=2), 0.0), RejectedWithRetryAfter
    )
    assert isinstance(queue.request_slot(slot_request("urgent"), 0.0), QueuedForCapacity)


def test_a_slot_is_released_if_the_end_of_its_call_is_lost() -> None:
    """Guards against a slot that is never released because the message of its end was lost."""
    queue = queue_of(a=1)
    fill(queue, 2)
    queue.tick(1.5)
    assert len(fill(queue, 2, now=1.6)) == 2


def test_a_lost_end_is_detected_by_the_runner_s_call_count() -> None:
    """Guards against a slot held until its timeout though the runner reports fewer calls."""
    queue = queue_of(a=1)
    fill(queue, 2)
    queue.record_end("fill-0", "a", CallEnd.ANSWERED, 0.6, seconds=0.1, load=load_report(running=0))
    runner = queue.runner("a")
    assert runner is not None
    assert not runner.granted


def test_calls_from_other_vms_are_counted_for_a_short_time() -> None:
    """Guards against an overloaded runner where another VM grants slots or sends calls directly.

    Those calls are visible only in the runner's load report, whose weight fades.
    """
    queue = queue_of(a=1, b=1)
    queue.record_end("-", "a", CallEnd.ANSWERED, 0.0, seconds=0.1, load=load_report(running=3))
    assert fill(queue, 2) == ["b", "b"]
    assert isinstance(queue.request_slot(slot_request("later", now=0.4), 0.4), CapacityGranted)


def test_a_silent_runner_gets_no_more_calls() -> None:
    """Guards against a crashed runner that gets each free slot, as its calls never end."""
    queue = queue_of(a=1, b=1)
    fill(queue, 2)
    queue.record_end("fill-0", "a", CallEnd.ANSWERED, 0.5, seconds=0.1, load=load_report())
    assert queue.request_slot(slot_request("x", now=0.9), 0.9) == CapacityGranted(target="a")
    assert queue.request_slot(slot_request("y", now=0.9), 0.9) == CapacityGranted(target="a")


def test_a_runner_that_loses_calls_is_probed_by_one_call_at_a_time() -> None:
    queue = queue_of(a=1, b=1)
    for _ in range(2):
        queue.record_end("-", "a", CallEnd.LOST, 0.0)
    assert fill(queue, 2) == ["b", "b"]
    queue.record_end("fill-0", "b", CallEnd.UNUSED, 0.6)
    queue.record_end("fill-1", "b", CallEnd.UNUSED, 0.6)
    assert fill(queue, 4, now=1.5).count("a") == 1


def test_a_failing_runner_gets_only_samples_of_repeatable_calls() -> None:
    queue = queue_of(a=1, b=1)
    for _ in range(5):
        queue.record_end("-", "a", CallEnd.FAILED, 0.0)
    assert queue.request_slot(slot_request("posting"), 0.0) == CapacityGranted(target="b")
    found = set()
    for number in range(20):
        outcome = queue.request_slot(slot_request(f"look-{number}", repeatable=True), 0.0)
        assert isinstance(outcome, CapacityGranted)
        queue.record_end(f"look-{number}", outcome.target, CallEnd.UNUSED, 0.0)
        found.add(outcome.target)
    assert found == {"a", "b"}


def test_a_waiting_attempt_of_a_dead_vm_gets_no_slot() -> None:
    queue = queue_of(a=1)
    fill(queue, 2)
    queue.request_slot(slot_request("dead"), 0.0)
    queue.record_end("fill-0", "a", CallEnd.UNUSED, RENEWAL_TIMEOUT_S + 0.1)
    assert queue.tick(RENEWAL_TIMEOUT_S + 0.1) == ()
    assert queue.waiting == 0


def test_a_hedge_needs_a_first_runner_in_trouble_and_a_free_slot() -> None:
    queue = queue_of(a=1, b=1)
    first = queue.request_slot(slot_request("x"), 0.0)
    assert isinstance(first, CapacityGranted)
    second = slot_request("x/2", now=0.1, avoid=frozenset((first.target,)))
    assert isinstance(
        queue.request_second_slot(second, first=first.target, now=0.1), QueuedForCapacity
    )
    queue.record_end(
        "-", first.target, CallEnd.ANSWERED, 0.1, seconds=0.2, load=load_report(2.5, running=1)
    )
    outcome = queue.request_second_slot(second, first=first.target, now=0.1)
    assert isinstance(outcome, CapacityGranted)
    assert outcome.target != first.target


def test_a_hedge_takes_no_slot_that_an_attempt_waits_for() -> None:
    queue = queue_of(a=2.5, b=1)
    fill(queue, FULL)
    queue.request_slot(slot_request("waits"), 0.0)
    second = slot_request("fill-0/2", avoid=frozenset(("a",)))
    assert isinstance(queue.request_second_slot(second, first="a", now=0.0), QueuedForCapacity)


def test_a_runner_is_tried_if_all_look_stalled() -> None:
    queue = queue_of(a=1)
    for _ in range(2):
        queue.record_end("-", "a", CallEnd.LOST, 0.0)
    assert queue.request_slot(slot_request("x"), 0.0) == CapacityGranted(target="a")


def test_a_restart_discards_the_state_of_a_runner() -> None:
    queue = queue_of(a=2.5)
    fill(queue, 2)
    queue.record_restart("a")
    runner = queue.runner("a")
    assert runner is not None
    assert (runner.slowdown(0.0), len(runner.granted)) == (1.0, 0)


def test_nothing_waits_at_a_runner_that_is_brittle() -> None:
    """It may let fewer wait than usual, and each that it turns away brings its fall nearer."""
    queue = queue_of(a=1.0, b=1.0)
    queue.set_brittle({"a": 3, "b": None})
    granted = fill(queue, FULL + 2)
    assert granted.count("a") == 2
    assert granted.count("b") == 2 + MAX_QUEUED_PER_RUNNER


def test_a_brittle_runner_that_turned_away_half_of_what_it_bears_is_spared_for_a_second() -> None:
    queue = queue_of(a=1.0)
    queue.set_brittle({"a": 4})
    for number in range(2):
        now = 0.1 * number
        name = f"call-{number}"
        assert isinstance(queue.request_slot(slot_request(name, now=now), now), CapacityGranted)
        queue.record_end(name, "a", CallEnd.REFUSED, now)
    waits = queue.request_slot(slot_request("next", now=0.2), 0.2)
    assert not isinstance(waits, CapacityGranted)
    later = queue.request_slot(slot_request("later", now=1.05), 1.05)
    assert isinstance(later, CapacityGranted)


def test_a_refusal_of_a_brittle_runner_does_not_make_it_look_stalled() -> None:
    queue = queue_of(a=1.0)
    queue.set_brittle({"a": 100})
    for number in range(3):
        name = f"call-{number}"
        queue.request_slot(slot_request(name), 0.0)
        queue.record_end(name, "a", CallEnd.REFUSED, 0.0)
    runner = queue.runner("a")
    assert runner is not None and not runner.stalled
