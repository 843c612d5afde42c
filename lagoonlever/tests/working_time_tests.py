"""The bound by the processor's time."""

from __future__ import annotations

import itertools
import time

import pytest
import trio
import trio.testing

from lagoonlever.tests.working_time import WorkedTooLong, works_at_most

LIMIT_S = 0.1
LONG_S = 30.0


def test_what_works_too_long_is_stopped() -> None:
    """Guards against a simulation that goes round for ever."""

    async def go_round() -> None:
        for _ in itertools.count():
            await trio.sleep(1.0)

    began = time.process_time()
    with pytest.raises(BaseException) as raised, works_at_most(LIMIT_S):
        trio.run(go_round, clock=trio.testing.MockClock(autojump_threshold=0))
    told = raised.value
    while isinstance(told, BaseExceptionGroup):
        told = told.exceptions[0]
    assert isinstance(told, WorkedTooLong)
    assert LIMIT_S / 2 <= time.process_time() - began < LONG_S


def test_what_waits_for_the_processor_is_not() -> None:
    with works_at_most(LIMIT_S):
        time.sleep(2 * LIMIT_S)


def test_the_bound_ends_with_its_block() -> None:
    with works_at_most(LIMIT_S):
        pass
    began = time.process_time()
    while time.process_time() - began < 2 * LIMIT_S:
        pass
