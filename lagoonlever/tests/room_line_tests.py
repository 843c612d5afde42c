"""The line for room at engines: who goes first, who is told that it can't be, who is dropped."""

from __future__ import annotations

from lagoonlever.decisions.admission.capacity import CapacityRequest
from lagoonlever.decisions.admission.prompt_queue import (
    OTHERS_FIRST,
    RENEWAL_TIMEOUT_S,
    STALLED_S,
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)

URGENT_S, PATIENT_S = 4.0, 10.0
READING_S = 1.2
CALLER_S = 25.0
FAST, SLOW = 30.0, 2.0
"""Prompts a second that engines can read."""


def waiting(
    number: int,
    *,
    rank: int = 2,
    at: float = 0.0,
    arrived: float | None = None,
    broken: bool = False,
) -> QueuedPrompt:
    came = at if arrived is None else arrived
    aim_s = URGENT_S if rank == 0 else PATIENT_S
    ask = CapacityRequest(
        request_id=f"r{number:03}",
        service="engines",
        rank=rank,
        arrived_at=came,
        start_by=came + aim_s - READING_S,
        end_by=came + CALLER_S - READING_S,
    )
    place = QueuedPromptId(vm=f"vm-{number}", number=number)
    return QueuedPrompt(
        prompt_id=place, request=ask, enqueued_at=at, renewed_at=at, interrupted=broken
    )


def line_of(*all_waiting: QueuedPrompt) -> PromptQueue:
    line = PromptQueue()
    for each in all_waiting:
        line.enqueue_or_renew(each)
    return line


def order_of(line: PromptQueue, now: float, *, per_s: float = FAST) -> list[str]:
    return [each.request_id.request for each in line.order(now, most_per_s=per_s)]


def serve(line: PromptQueue, now: float, *, per_s: float = FAST) -> QueuedPrompt:
    first = line.order(now, most_per_s=per_s)[0]
    line.record_start(first.prompt_id, now)
    return first


def test_who_must_start_sooner_goes_first_while_all_can_be_reached() -> None:
    """Guards against urgent prompts that wait behind patient ones who came before."""
    line = line_of(waiting(1), waiting(2, rank=0), waiting(3, at=-7.0))
    assert order_of(line, 0.0) == ["r003", "r002", "r001"]


def test_rank_goes_first_where_both_cannot_be_served() -> None:
    """Guards against an urgent prompt that is late for a patient one that started before it."""
    patient = [waiting(n, at=-7.0) for n in range(20)]
    line = line_of(*patient, waiting(99, rank=0))
    assert order_of(line, 0.0, per_s=SLOW)[0] == "r099"


def test_the_patient_get_one_place_in_four() -> None:
    """Guards against patient callers who get nothing while urgent ones keep coming."""
    line = line_of(*(waiting(n, rank=0) for n in range(100, 140)), waiting(1), waiting(2))
    served = [serve(line, 0.0, per_s=SLOW).request.rank for _ in range(2 * (OTHERS_FIRST + 1))]
    assert served == [*[0] * OTHERS_FIRST, 2] * 2


def test_a_stream_that_broke_off_is_not_passed_by_for_good() -> None:
    """Guards against a caller with half an answer who waits while fresh prompts keep coming."""
    line = line_of(waiting(1, broken=True), *(waiting(n) for n in range(100, 110)))
    served = [serve(line, 0.0).request_id.request for _ in range(OTHERS_FIRST + 1)]
    assert "r001" not in served[:OTHERS_FIRST]
    assert served[-1] == "r001"


def test_who_is_late_goes_last_and_is_still_served() -> None:
    """Guards against room that stays idle, and against room that is spent on lateness."""
    line = line_of(waiting(1, rank=0, at=-5.0), waiting(2))
    assert order_of(line, 0.0) == ["r002", "r001"]
    serve(line, 0.0)
    assert serve(line, 0.1).request_id.request == "r001"


def test_a_prompt_lost_before_its_first_event_keeps_its_arrival() -> None:
    """Guards against a prompt that goes to the end of the line as its engine crashed."""
    line = line_of(waiting(1), waiting(2, at=0.5, arrived=-3.0))
    assert order_of(line, 0.5) == ["r002", "r001"]


def test_one_that_the_line_reaches_in_time_is_not_refused() -> None:
    """Guards against refusals of patient callers that engines could have read in time."""
    line = line_of(*(waiting(n) for n in range(100)))
    last = QueuedPromptId(vm="vm-99", number=99)
    assert line.rejection(last, 0.0, most_per_s=FAST) is None


def test_one_that_the_line_cannot_reach_is_told_when_to_come_back() -> None:
    """Guards against callers who wait for seconds for a refusal that was known at once."""
    line = line_of(*(waiting(n) for n in range(100)))
    last = QueuedPromptId(vm="vm-99", number=99)
    refused = line.rejection(last, 0.0, most_per_s=SLOW)
    assert refused is not None
    assert 0.5 <= refused.retry_after_s <= CALLER_S / 3


def test_an_urgent_one_is_not_refused_for_the_patient_before_it() -> None:
    """Guards against a length of line that is told to those who would go first."""
    line = line_of(*(waiting(n) for n in range(100)), waiting(200, rank=0))
    assert line.rejection(QueuedPromptId(vm="vm-200", number=200), 0.0, most_per_s=SLOW) is None


def test_nobody_is_refused_where_nobody_waits() -> None:
    """Guards against a refusal while the next engine that is ready would be the caller's."""
    line = line_of(waiting(1, rank=0, arrived=-6.0, at=0.0))
    place = QueuedPromptId(vm="vm-1", number=1)
    assert line.rejection(place, 0.0, most_per_s=SLOW) is None


def test_the_rate_is_learnt_from_what_engines_take_while_the_line_is_busy() -> None:
    """Guards against waits that are told by idle engines, when full memory holds them back."""
    line = line_of(*(waiting(n, at=0.0) for n in range(60)))
    for step in range(8):
        serve(line, 0.25 * step)
    late = waiting(200, at=2.0)
    line.enqueue_or_renew(late)
    assert line.rejection(late.prompt_id, 2.0, most_per_s=FAST) is not None


def test_who_is_not_asked_for_again_is_dropped() -> None:
    """Guards against places for VMs that are dead, or that ask elsewhere."""
    line = line_of(waiting(1), waiting(2))
    again = waiting(2, at=RENEWAL_TIMEOUT_S)
    assert not line.enqueue_or_renew(again)
    silent = line.expire(RENEWAL_TIMEOUT_S + 0.1)
    assert [each.request_id.request for each in silent] == ["r001"]
    assert len(line) == 1


def test_a_later_question_does_not_change_when_a_prompt_is_late() -> None:
    """Guards against prompts that move back in line as their questions travel slowly."""
    line = line_of(waiting(1))
    line.enqueue_or_renew(waiting(1, at=0.5))
    assert line.waiting[0].request.start_by == PATIENT_S - READING_S


def test_who_cannot_end_in_its_time_any_more_is_named() -> None:
    """Guards against prompts that are read in vain after a long wait."""
    line = line_of(waiting(1), waiting(2, at=1.0))
    assert line.unfinishable(CALLER_S - READING_S) == ()
    assert [w.request_id.request for w in line.unfinishable(CALLER_S - READING_S + 0.5)] == ["r001"]


def test_a_line_in_which_nobody_moves_is_stalled() -> None:
    """Guards against a book that takes all engines for full for good."""
    line = line_of(waiting(1), waiting(2))
    assert not line.is_stalled(STALLED_S - 0.1, most_per_s=FAST)
    assert line.is_stalled(STALLED_S, most_per_s=FAST)
    line.record_start(QueuedPromptId(vm="vm-1", number=1), STALLED_S)
    assert not line.is_stalled(STALLED_S + 0.5, most_per_s=FAST)


def test_engines_that_take_seconds_for_a_prompt_are_not_stalled() -> None:
    """Guards against prompts that pile up inside the engines of a small, slow service."""
    line = line_of(waiting(1), waiting(2))
    assert not line.is_stalled(2 * STALLED_S, most_per_s=1.0)
    assert line.is_stalled(4 * STALLED_S, most_per_s=1.0)
