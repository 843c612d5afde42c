"""The timer service: the one place that reads the clock and tells the time to parts.

A jump between two ticks means that this process was paused: subscribers are
told, so that leases count as void and pending dispatches are checked again.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs
import trio

TICK_S = 0.05
"""The longest wait between two ticks by default: a pause is noticed this soon."""
TOGETHER_S = 0.01
"""Subscribers that are due within this time are told together.

Each wake-up of a process costs it a turn of its event loop, some 0.1 ms.
"""
PAUSE_THRESHOLD_S = 1.0
"""A tick later than this by the monotonic clock was a pause, not a busy loop."""


@attrs.frozen(kw_only=True)
class Tick:
    """The time now in seconds of the monotonic clock; ``paused_s`` is 0 but after a pause."""

    now: float
    paused_s: float = 0.0


Subscriber = Callable[[Tick], None]


@attrs.define(kw_only=True)
class _Subscription:
    period_s: float
    due: float
    notify: Subscriber


@attrs.define(kw_only=True)
class TimerService:
    """Tells subscribers the time, each at its own period; subscribers must not block.

    It wakes up when a subscriber is due, and after ``tick_s`` at the latest. A process that
    asks for pauses keeps that short; one that doesn't sets it to its longest period.
    """

    _clock: Callable[[], float] = attrs.field(default=trio.current_time)
    _tick_s: float = TICK_S
    _pause_threshold_s: float = PAUSE_THRESHOLD_S
    _last: float | None = None
    _wait_s: float = 0.0
    """From the last tick to the next one, as planned."""
    _subscriptions: list[_Subscription] = attrs.field(factory=list)
    _joined: trio.Event = attrs.field(factory=trio.Event)
    """Set when a subscriber comes, who may be due before the planned tick."""

    @property
    def now(self) -> float:
        """The monotonic time in seconds."""
        return self._clock()

    @property
    def elapsed(self) -> float:
        """Seconds of a clock that goes on while the VM is suspended; for proofs by time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    @contextlib.contextmanager
    def subscribed(self, notify: Subscriber, *, period_s: float = TICK_S) -> Iterator[None]:
        """Call ``notify`` every ``period_s`` seconds, and at once after a pause."""
        subscription = _Subscription(period_s=period_s, due=self.now, notify=notify)
        self._subscriptions.append(subscription)
        self._joined.set()
        try:
            yield
        finally:
            self._subscriptions.remove(subscription)

    def pause_since_last_tick(self) -> float:
        """Seconds that this process seems to have been paused since its last tick, or 0.

        A dispatch asks this right before it writes: after SIGCONT the dispatching
        task may run before the timer's own task has noticed the pause.
        """
        if self._last is None:
            return 0.0
        late = self.now - self._last - self._wait_s
        return late if late > self._pause_threshold_s else 0.0

    def tick(self) -> None:
        """Tell the time to every subscriber that is due."""
        paused_s = self.pause_since_last_tick()
        now = self.now
        self._last = now
        for subscription in list(self._subscriptions):
            if now + TOGETHER_S < subscription.due and not paused_s:
                continue
            subscription.due = now + subscription.period_s
            subscription.notify(Tick(now=now, paused_s=paused_s))
        self._wait_s = self._until_next(now)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._joined = trio.Event()
            self.tick()
            with trio.move_on_after(self._wait_s):
                await self._joined.wait()

    def _until_next(self, now: float) -> float:
        """Give how long nobody is due, within the bounds of a tick."""
        due = min((each.due for each in self._subscriptions), default=now + self._tick_s)
        return min(self._tick_s, max(due - now, TOGETHER_S))
