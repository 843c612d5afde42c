"""The bound by the processor's time."""

from __future__ import annotations

import itertools
import signal
import time

import pytest
import trio
import trio.testing

from lagoonlever.tests.working_time import WorkedTooLong, works_at_most

LIMIT_S = 0.1
LONG_S = 30.0


class MetInLoop(trio.abc.Clock):
    """Has the bound met whenever trio's loop asks how long it may sleep."""

    def start_clock(self) -> None:
        """Need no start."""

    def current_time(self) -> float:
        return time.monotonic()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        signal.raise_signal(signal.SIGPROF)
        return deadline - time.monotonic()


def test_what_works_too_long_is_stopped() -> None:
    """Guards against a simulation that goes round for ever."""

    async def go_round() -> None:
        for _ in itertools.count():
            await trio.sleep(1.0)

    began = time.process_time()
    with pytest.raises(WorkedTooLong), works_at_most(LIMIT_S):
        trio.run(go_round, clock=trio.testing.MockClock(autojump_threshold=0))
    assert LIMIT_S / 2 <= time.process_time() - began < LONG_S


def test_a_bound_that_is_met_in_the_loop_itself_stops_the_work_too() -> None:
    """Guards against a signal that breaks trio's loop, which then tells of an error of its own."""
    with pytest.raises(WorkedTooLong), works_at_most(LONG_S):
        trio.run(trio.sleep, LIMIT_S, clock=MetInLoop())


def test_an_error_of_the_work_itself_is_told_as_it_is() -> None:
    with pytest.raises(ZeroDivisionError), works_at_most(LONG_S):
        _ = 1 / 0


def test_what_waits_for_the_processor_is_not() -> None:
    with works_at_most(LIMIT_S):
        time.sleep(2 * LIMIT_S)


def test_the_bound_ends_with_its_block() -> None:
    with works_at_most(LIMIT_S):
        pass
    began = time.process_time()
    while time.process_time() - began < 2 * LIMIT_S:
        pass
