"""When a process stood still itself."""

from __future__ import annotations

import pytest

from lagoonlever.gateway.standstills import LOOK_PERIOD_S, STANDSTILL_S, Standstills
from lagoonlever.timers import TimerService

STILL_S = 3.0
STEP_S = LOOK_PERIOD_S + STANDSTILL_S


def test_what_was_waited_for_through_a_standstill_is_told_apart() -> None:
    """Guards against answers, and a stream's pace, that count as late where this process was."""
    now = [0.0]
    timers = TimerService(clock=lambda: now[0])
    standstills = Standstills(timers=timers)
    with standstills.watched():
        timers.tick()
        for _ in range(10):
            now[0] += STEP_S
            timers.tick()
            assert standstills.seconds_since(0.0) == 0.0
        began = now[0]
        now[0] += LOOK_PERIOD_S + STILL_S
        seen = standstills.seconds_since(began)
        assert seen == pytest.approx(STILL_S), "asked before the timer's own task has a turn"
        timers.tick()
        for _ in range(10):
            now[0] += LOOK_PERIOD_S
            timers.tick()
        assert standstills.seconds_since(began) == pytest.approx(STILL_S)
        assert standstills.seconds_since(now[0] - 1.5) == pytest.approx(0.5), "a part of it"
        assert standstills.seconds_since(now[0]) == 0.0
