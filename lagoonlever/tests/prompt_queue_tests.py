"""Tests of the queue of prompts for engine capacity: order, rejections and expiry."""

from __future__ import annotations

from lagoonlever.decisions.admission.capacity import CapacityRequest
from lagoonlever.decisions.admission.prompt_queue import (
    MAX_CONSECUTIVE_URGENT_STARTS,
    RENEWAL_TIMEOUT_S,
    STALL_TIMEOUT_S,
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)

URGENT_S, PATIENT_S = 4.0, 10.0
PREFILL_S = 1.2
CALLER_S = 25.0
FAST, SLOW = 30.0, 2.0
"""Prompts per second that the engines can prefill."""


def prompt(
    number: int,
    *,
    rank: int = 2,
    at: float = 0.0,
    arrived: float | None = None,
    interrupted: bool = False,
) -> QueuedPrompt:
    arrived_at = at if arrived is None else arrived
    objective_s = URGENT_S if rank == 0 else PATIENT_S
    request = CapacityRequest(
        request_id=f"r{number:03}",
        service="engines",
        rank=rank,
        arrived_at=arrived_at,
        start_by=arrived_at + objective_s - PREFILL_S,
        end_by=arrived_at + CALLER_S - PREFILL_S,
    )
    prompt_id = QueuedPromptId(vm=f"vm-{number}", number=number)
    return QueuedPrompt(
        prompt_id=prompt_id, request=request, enqueued_at=at, renewed_at=at, interrupted=interrupted
    )


def queue_of(*all_waiting: QueuedPrompt) -> PromptQueue:
    queue = PromptQueue()
    for each in all_waiting:
        queue.enqueue_or_renew(each)
    return queue


def order_of(queue: PromptQueue, now: float, *, per_s: float = FAST) -> list[str]:
    return [each.request.request_id for each in queue.order(now, max_per_s=per_s)]


def serve(queue: PromptQueue, now: float, *, per_s: float = FAST) -> QueuedPrompt:
    first = queue.order(now, max_per_s=per_s)[0]
    queue.record_start(first.prompt_id, now)
    return first


def test_earliest_latest_start_goes_first_while_all_can_start_in_time() -> None:
    """Guards against a prompt that is due soon but waits behind prompts that are due later.

    While all can start in time, the order is by the latest start, not by rank or arrival.
    """
    queue = queue_of(prompt(1), prompt(2, rank=0), prompt(3, at=-7.0))
    assert order_of(queue, 0.0) == ["r003", "r002", "r001"]


def test_urgent_rank_goes_first_where_not_all_can_start_in_time() -> None:
    """Guards against an urgent prompt that misses its objective behind patient ones."""
    patient = [prompt(n, at=-7.0) for n in range(20)]
    queue = queue_of(*patient, prompt(99, rank=0))
    assert order_of(queue, 0.0, per_s=SLOW)[0] == "r099"


def test_one_start_in_four_goes_to_a_lower_rank() -> None:
    """Guards against starvation of patient prompts while urgent ones keep arriving."""
    queue = queue_of(*(prompt(n, rank=0) for n in range(100, 140)), prompt(1), prompt(2))
    served = [
        serve(queue, 0.0, per_s=SLOW).request.rank
        for _ in range(2 * (MAX_CONSECUTIVE_URGENT_STARTS + 1))
    ]
    assert served == [*[0] * MAX_CONSECUTIVE_URGENT_STARTS, 2] * 2


def test_an_interrupted_stream_is_not_starved_by_new_prompts() -> None:
    """Guards against a caller with half an answer that waits while new prompts keep arriving."""
    queue = queue_of(prompt(1, interrupted=True), *(prompt(n) for n in range(100, 110)))
    served = [
        serve(queue, 0.0).request.request_id for _ in range(MAX_CONSECUTIVE_URGENT_STARTS + 1)
    ]
    assert "r001" not in served[:MAX_CONSECUTIVE_URGENT_STARTS]
    assert served[-1] == "r001"


def test_a_late_prompt_goes_last_and_is_still_served() -> None:
    """Guards against idle capacity, and against late prompts that make others late as well."""
    queue = queue_of(prompt(1, rank=0, at=-5.0), prompt(2))
    assert order_of(queue, 0.0) == ["r002", "r001"]
    serve(queue, 0.0)
    assert serve(queue, 0.1).request.request_id == "r001"


def test_a_prompt_lost_in_a_crash_keeps_its_arrival_time() -> None:
    """Guards against a prompt that goes to the end of the queue because its engine crashed."""
    queue = queue_of(prompt(1), prompt(2, at=0.5, arrived=-3.0))
    assert order_of(queue, 0.5) == ["r002", "r001"]


def test_a_prompt_that_can_start_in_time_is_not_rejected() -> None:
    """Guards against rejections of patient callers whose prompts could start in time."""
    queue = queue_of(*(prompt(n) for n in range(100)))
    last = QueuedPromptId(vm="vm-99", number=99)
    assert queue.rejection(last, 0.0, max_per_s=FAST) is None


def test_a_prompt_that_cannot_start_in_time_is_rejected_with_a_retry_time() -> None:
    """Guards against callers that wait for seconds for a rejection that was certain at once."""
    queue = queue_of(*(prompt(n) for n in range(100)))
    last = QueuedPromptId(vm="vm-99", number=99)
    refused = queue.rejection(last, 0.0, max_per_s=SLOW)
    assert refused is not None
    assert 0.5 <= refused.retry_after_s <= CALLER_S / 3


def test_an_urgent_prompt_is_not_rejected_for_queued_patient_ones() -> None:
    """Guards against rejections by the length of the whole queue, where the prompt goes first."""
    queue = queue_of(*(prompt(n) for n in range(100)), prompt(200, rank=0))
    assert queue.rejection(QueuedPromptId(vm="vm-200", number=200), 0.0, max_per_s=SLOW) is None


def test_a_late_prompt_is_not_rejected_where_no_other_waits() -> None:
    """Guards against a rejection where the next engine that is ready would take the prompt."""
    queue = queue_of(prompt(1, rank=0, arrived=-6.0, at=0.0))
    prompt_id = QueuedPromptId(vm="vm-1", number=1)
    assert queue.rejection(prompt_id, 0.0, max_per_s=SLOW) is None


def test_the_start_rate_is_measured_while_the_queue_is_busy() -> None:
    """Guards against waits estimated by prefill rate alone, while full memory delays starts."""
    queue = queue_of(*(prompt(n, at=0.0) for n in range(60)))
    for step in range(8):
        serve(queue, 0.25 * step)
    late = prompt(200, at=2.0)
    queue.enqueue_or_renew(late)
    assert queue.rejection(late.prompt_id, 2.0, max_per_s=FAST) is not None


def test_a_prompt_that_is_not_renewed_is_dropped() -> None:
    """Guards against capacity given to VMs that are dead or have turned to another VM."""
    queue = queue_of(prompt(1), prompt(2))
    again = prompt(2, at=RENEWAL_TIMEOUT_S)
    assert not queue.enqueue_or_renew(again)
    silent = queue.expire(RENEWAL_TIMEOUT_S + 0.1)
    assert [each.request.request_id for each in silent] == ["r001"]
    assert len(queue) == 1


def test_a_renewal_does_not_change_when_a_prompt_is_late() -> None:
    """Guards against prompts that move back in the queue because renewals are delayed."""
    queue = queue_of(prompt(1))
    queue.enqueue_or_renew(prompt(1, at=0.5))
    assert queue.waiting[0].request.start_by == PATIENT_S - PREFILL_S


def test_prompts_that_cannot_end_in_time_are_listed() -> None:
    """Guards against useless prefills of prompts that have waited too long."""
    queue = queue_of(prompt(1), prompt(2, at=1.0))
    assert queue.unfinishable(CALLER_S - PREFILL_S) == ()
    assert [w.request.request_id for w in queue.unfinishable(CALLER_S - PREFILL_S + 0.5)] == [
        "r001"
    ]


def test_a_queue_without_starts_is_stalled() -> None:
    """Guards against a queue that is stuck because all engines are wrongly believed to be full."""
    queue = queue_of(prompt(1), prompt(2))
    assert not queue.is_stalled(STALL_TIMEOUT_S - 0.1, max_per_s=FAST)
    assert queue.is_stalled(STALL_TIMEOUT_S, max_per_s=FAST)
    queue.record_start(QueuedPromptId(vm="vm-1", number=1), STALL_TIMEOUT_S)
    assert not queue.is_stalled(STALL_TIMEOUT_S + 0.5, max_per_s=FAST)


def test_a_queue_is_not_stalled_while_engines_take_seconds_per_prompt() -> None:
    """Guards against prompts that pile up inside the engines of a small, slow service."""
    queue = queue_of(prompt(1), prompt(2))
    assert not queue.is_stalled(2 * STALL_TIMEOUT_S, max_per_s=1.0)
    assert queue.is_stalled(4 * STALL_TIMEOUT_S, max_per_s=1.0)
