"""When a process stood still itself."""

from __future__ import annotations

from lagoonlever.gateway.standstills import LOOK_PERIOD_S, STANDSTILL_S, Standstills
from lagoonlever.timers import TimerService

STILL_S = LOOK_PERIOD_S + STANDSTILL_S + 0.01


def test_what_was_waited_for_through_a_standstill_is_told_apart() -> None:
    """Guards against answers that count as late where this process was."""
    now = [0.0]
    timers = TimerService(clock=lambda: now[0])
    standstills = Standstills(timers=timers)
    with standstills.watched():
        timers.tick()
        for _ in range(10):
            now[0] += LOOK_PERIOD_S + STANDSTILL_S
            timers.tick()
            assert not standstills.any_since(0.0)
        began = now[0]
        now[0] += STILL_S
        assert standstills.any_since(began), "asked before the timer's own task has a turn"
        timers.tick()
        assert standstills.any_since(began)
        assert not standstills.any_since(now[0])
