"""Which attempts that were left are held to have been at a crash."""

from __future__ import annotations

import pytest

from lagoonlever.decisions.engines.answer_stages import STARTED, CrashWeights
from lagoonlever.decisions.engines.left_attempts import (
    KEPT_S,
    LINGER_S,
    MAX_LEFT,
    LeftAttempt,
    LeftAttempts,
    weigh_found_late,
)

PROCESS = "engine-1@1"
SENT_AT = 10.0
LEFT_AT = 11.0


def _left(work: str = "r", *, process: str = PROCESS) -> LeftAttempt[str]:
    return LeftAttempt(work=work, process=process, sent_at=SENT_AT, left_at=LEFT_AT)


@pytest.mark.parametrize(
    ("crashed_at", "counts"),
    [
        (SENT_AT - 0.1, False),
        (LEFT_AT - 0.1, True),
        (LEFT_AT + LINGER_S, True),
        (LEFT_AT + LINGER_S + 0.1, False),
    ],
)
def test_a_crash_counts_while_its_engine_may_be_at_work_on_the_request(
    crashed_at: float, counts: bool
) -> None:
    left = LeftAttempts[str]()
    left.record(_left())
    assert left.take_crashed(PROCESS, crashed_at) == (("r",) if counts else ())
    assert left.take_crashed(PROCESS, LEFT_AT) == ()


def test_a_crash_of_another_process_is_not_counted() -> None:
    left = LeftAttempts[str]()
    left.record(_left())
    assert left.take_crashed("engine-1@2", LEFT_AT) == ()
    assert len(left) == 1


def test_an_engine_is_asked_for_only_once_it_has_let_go() -> None:
    left = LeftAttempts[str]()
    left.record(_left("a"))
    left.record(_left("b", process="engine-2@1"))
    assert left.take_shown(lambda work: work == "a", LEFT_AT) == ()
    assert left.take_shown(lambda work: work == "a", LEFT_AT + LINGER_S) == ("a",)
    assert len(left) == 1


def test_attempts_are_forgotten_after_a_while_and_beyond_a_bound() -> None:
    left = LeftAttempts[str]()
    for number in range(MAX_LEFT + 10):
        left.record(_left(str(number)))
    assert len(left) == MAX_LEFT
    left.expire(LEFT_AT + KEPT_S)
    assert len(left) == MAX_LEFT
    left.expire(LEFT_AT + KEPT_S + 0.1)
    assert len(left) == 0


def test_a_crash_that_is_found_late_is_a_half_at_most() -> None:
    assert weigh_found_late(STARTED) == CrashWeights(request=0.5, parts=0.5)
    assert weigh_found_late(CrashWeights(request=0.0, parts=1.0)).request == 0.0
