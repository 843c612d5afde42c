"""The timer service: who is told when, how often it wakes up, and what counts as a pause."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from lagoonlever.timers import PAUSE_THRESHOLD_S, Tick, TimerService

LONGEST_WAIT_S = 1.0
PERIOD_S = 0.3


def test_a_process_at_rest_wakes_up_only_when_somebody_is_due() -> None:
    """Hundreds of VMs serve nothing, and each costs a core's hundredth.

    Most of it was the timer service, which woke up 20 times a second for parts that
    have a word to say three times in that time.
    """
    ticks: list[float] = []

    class Counted(TimerService):
        def tick(self) -> None:
            ticks.append(self.now)
            super().tick()

    timers = Counted(tick_s=LONGEST_WAIT_S)
    told: dict[str, int] = {"presence": 0, "log": 0, "file": 0}

    def teller(name: str) -> None:
        told[name] += 1

    async def main() -> None:
        with (
            timers.subscribed(lambda _: teller("presence"), period_s=PERIOD_S),
            timers.subscribed(lambda _: teller("log"), period_s=PERIOD_S),
            timers.subscribed(lambda _: teller("file"), period_s=3 * PERIOD_S),
            trio.move_on_after(8.95),
        ):
            await timers.run()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert told == {"presence": 30, "log": 30, "file": 10}
    assert len(ticks) == 30


def test_a_subscriber_that_joins_between_two_ticks_is_told_at_once() -> None:
    timers = TimerService(tick_s=LONGEST_WAIT_S)
    told: list[float] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            await trio.sleep(0.4)
            joined = timers.now
            with timers.subscribed(lambda tick: told.append(tick.now - joined), period_s=PERIOD_S):
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert told == [0.0]


def test_a_wait_as_planned_is_no_pause_and_a_longer_one_is() -> None:
    now = [100.0]
    timers = TimerService(clock=lambda: now[0], tick_s=LONGEST_WAIT_S)
    ticks: list[Tick] = []
    with timers.subscribed(ticks.append, period_s=LONGEST_WAIT_S):
        timers.tick()
        now[0] += LONGEST_WAIT_S
        assert timers.pause_since_last_tick() == 0.0
        timers.tick()
        now[0] += LONGEST_WAIT_S + PAUSE_THRESHOLD_S + 0.5
        assert timers.pause_since_last_tick() > PAUSE_THRESHOLD_S
        timers.tick()
    assert [tick.paused_s > 0 for tick in ticks] == [False, False, True]
